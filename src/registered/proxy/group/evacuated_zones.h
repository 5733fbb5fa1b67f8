// Which zones' backends a proxy is to leave, and since when it knows.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <vector>

#include "base/types.h"

namespace cairnhollow::registered::proxy {

/// Of the time in which an evacuated zone must be left, what passes until a proxy with a lease has heard
/// (control's lease, of which deployments have 1.5 s), and what is kept for a process that stands still
/// between its last check and the sending. Chosen, not measured.
inline constexpr Duration kLongestServingLease = std::chrono::milliseconds(1500);
inline constexpr Duration kEvacuationMargin = std::chrono::milliseconds(500);
/// Where the settings name no bound: that of the one deployment that has such orders.
inline constexpr Duration kUsualEvacuationBound = std::chrono::seconds(5);

/// Two moments count. From the first, when this proxy heard, nothing new goes to a replica of the zone; its
/// primaries and open transactions go on, so that control can hand over while they run. From the second on
/// nothing goes there at all. Whoever holds control's lease heard at most one lease after operators were told
/// that the order holds, so the second moment lies within the bound that they were promised. Who had lost it
/// counts from the end of its last one, and so keeps the bound, too.
class EvacuatedZones {
 public:
  /// `bound`: so long after an order's acknowledgement nothing more is sent to the zone; 0: the usual one.
  explicit EvacuatedZones(Duration bound = Duration(0)) {
    if (bound == Duration(0)) bound = kUsualEvacuationBound;
    const Duration left = bound - kLongestServingLease - kEvacuationMargin;
    grace_ = std::clamp(left, Duration(0), bound / 2);
  }

  /// `since`: no later than now, and at most one lease after operators were told that the order holds. True
  /// when it was not known. One that is known keeps its moment.
  bool begin(const ZoneName& zone, TimePoint since) { return since_.emplace(zone, since).second; }
  /// True when it was known.
  bool end(const ZoneName& zone) { return since_.erase(zone) > 0; }
  /// Those that are not in `kept`.
  [[nodiscard]] std::vector<ZoneName> others_than(const std::set<ZoneName>& kept) const {
    std::vector<ZoneName> others;
    for (const auto& [zone, since] : since_) {
      if (kept.count(zone) == 0) others.push_back(zone);
    }
    return others;
  }
  [[nodiscard]] std::size_t size() const { return since_.size(); }
  [[nodiscard]] bool is_evacuated(const ZoneName& zone) const { return since_.count(zone) > 0; }
  /// Whether nothing at all may be sent there any more.
  [[nodiscard]] bool is_off_limits(const ZoneName& zone, TimePoint now) const {
    const auto found = since_.find(zone);
    return found != since_.end() && now - grace_ >= found->second;
  }

 private:
  Duration grace_{0};
  std::map<ZoneName, TimePoint> since_;
};

}  // namespace cairnhollow::registered::proxy
