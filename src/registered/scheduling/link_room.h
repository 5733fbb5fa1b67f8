// What the order of admission asks about the links to a backend.
#pragma once

#include "base/types.h"

namespace cairnhollow::registered::scheduling {

class LinkRoom {
 public:
  LinkRoom() = default;
  virtual ~LinkRoom() = default;
  LinkRoom(const LinkRoom&) = delete;
  LinkRoom& operator=(const LinkRoom&) = delete;

  /// Whether an idle link of the tenant is at hand.
  [[nodiscard]] virtual bool has_idle(const TenantName& tenant) const = 0;
  /// Whether an attempt to open a new link would be made at once.
  [[nodiscard]] virtual bool may_open() const = 0;
  /// When may_open() may become true without a link being released; TimePoint::max() if it will not.
  [[nodiscard]] virtual TimePoint next_opening() const = 0;
  /// Whether no link is handed out any more: the backend's incarnation has ended, or it was removed.
  [[nodiscard]] virtual bool is_retired() const = 0;
};

}  // namespace cairnhollow::registered::scheduling
