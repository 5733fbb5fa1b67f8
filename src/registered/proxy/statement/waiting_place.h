// The place of one waiting statement among all that wait at this proxy, given up when this object ends.
#pragma once

#include <optional>

#include "registered/placement/waiting_room.h"
#include "registered/proxy/statement/statement_request.h"

namespace cairnhollow::registered::proxy {

/// `room` is not owned and must outlive this object.
class WaitingPlace {
 public:
  explicit WaitingPlace(placement::WaitingRoom& room) : room_(room) {}
  ~WaitingPlace() {
    if (place_) room_.leave(*place_);
  }
  WaitingPlace(const WaitingPlace&) = delete;
  WaitingPlace& operator=(const WaitingPlace&) = delete;

  /// Takes a place if the statement has none yet. Returns false if there is none for it, or it has lost it to
  /// a more urgent one: it must not wait any longer.
  bool keep(const StatementRequest& request) {
    if (!place_) place_ = room_.enter(request.route.priority, size_of(request));
    return place_ && room_.holds(*place_);
  }

 private:
  /// Bytes of what the caller sent.
  static std::size_t size_of(const StatementRequest& request) {
    std::size_t size = request.text.size() + request.argument.size();
    for (const auto& [name, value] : request.values) size += name.size() + value.size();
    return size;
  }

  placement::WaitingRoom& room_;
  std::optional<placement::WaitingRoom::Place> place_;
};

}  // namespace cairnhollow::registered::proxy
