// Tracks the zones being evacuated, and since when this proxy knows of each evacuation.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <vector>

#include "base/types.h"

namespace cairnhollow::registered::proxy {

/// Parts of the evacuation bound that are reserved: the longest time until a proxy with a lease learns of the
/// order (control's lease), and a margin for a process that is paused between its last check and the send.
inline constexpr Duration kMaxServingLease = std::chrono::milliseconds(1500);
inline constexpr Duration kEvacuationMargin = std::chrono::milliseconds(500);
/// Bound that applies if the settings name none.
inline constexpr Duration kDefaultEvacuationBound = std::chrono::seconds(5);

/// An evacuation has two stages. From the time when this proxy learns of it, nothing new goes to a replica in
/// the zone; its primaries and open transactions continue, so that control can fail over while they run.
/// After the grace period, nothing is sent there at all. A holder of control's lease learns of an order at
/// most one lease after operators got its acknowledgement, so the second stage begins within the promised
/// bound. A proxy whose lease had expired counts from the end of that lease, and so keeps the bound as well.
class EvacuatedZones {
 public:
  /// `bound`: time after an order's acknowledgement from which nothing more is sent to the zone; 0:
  /// kDefaultEvacuationBound.
  explicit EvacuatedZones(Duration bound = Duration(0)) {
    if (bound == Duration(0)) bound = kDefaultEvacuationBound;
    const Duration left = bound - kMaxServingLease - kEvacuationMargin;
    grace_ = std::clamp(left, Duration(0), bound / 2);
  }

  /// `since`: not later than now, and at most one lease after operators got the acknowledgement. Returns
  /// false, and keeps the earlier time, if the evacuation was already known.
  bool begin(const ZoneName& zone, TimePoint since) { return since_.emplace(zone, since).second; }
  /// Returns false if the evacuation was not known.
  bool end(const ZoneName& zone) { return since_.erase(zone) > 0; }
  /// Returns the zones being evacuated that are not in `kept`.
  [[nodiscard]] std::vector<ZoneName> missing_from(const std::set<ZoneName>& kept) const {
    std::vector<ZoneName> missing;
    for (const auto& [zone, since] : since_) {
      if (kept.count(zone) == 0) missing.push_back(zone);
    }
    return missing;
  }
  [[nodiscard]] std::size_t size() const { return since_.size(); }
  [[nodiscard]] bool is_evacuated(const ZoneName& zone) const { return since_.count(zone) > 0; }
  /// Whether the grace period is over, so that nothing at all may be sent there.
  [[nodiscard]] bool is_off_limits(const ZoneName& zone, TimePoint now) const {
    const auto found = since_.find(zone);
    return found != since_.end() && now - grace_ >= found->second;
  }

 private:
  Duration grace_{0};
  std::map<ZoneName, TimePoint> since_;
};

}  // namespace cairnhollow::registered::proxy
