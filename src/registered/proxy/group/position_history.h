// History of a primary's log positions, from which the position that a bounded-staleness read must see is
// derived.
#pragma once

#include <chrono>
#include <deque>
#include <optional>

#include "base/types.h"

namespace cairnhollow::registered::proxy {

/// Retention time of positions and the minimum spacing between them; at most 200 are kept.
inline constexpr Duration kPositionMemory = std::chrono::seconds(4);
inline constexpr Duration kPositionSpacing = std::chrono::milliseconds(20);

/// Invariant: each recorded position covers everything that was acknowledged to any client before its
/// `asked_at`, since the primary showed it in answer to a query sent at that time.
class PositionHistory {
 public:
  void record(TimePoint asked_at, Position position) {
    if (!seen_.empty() && asked_at - seen_.back().asked_at < kPositionSpacing) return;
    seen_.push_back({asked_at, position});
    while (seen_.front().asked_at + kPositionMemory < asked_at) seen_.pop_front();
  }
  /// Returns the earliest position that covers everything acknowledged before `since`, or std::nullopt if
  /// none is known.
  [[nodiscard]] std::optional<Position> covering(TimePoint since) const {
    for (const Sighting& sighting : seen_) {
      if (sighting.asked_at >= since) return sighting.position;
    }
    return std::nullopt;
  }
  /// Returns when the primary was first seen to have `position` within the retained history, or std::nullopt
  /// if it has not been seen to have it.
  [[nodiscard]] std::optional<TimePoint> first_seen(Position position) const {
    for (const Sighting& sighting : seen_) {
      if (sighting.position >= position) return sighting.asked_at;
    }
    return std::nullopt;
  }
  [[nodiscard]] std::optional<TimePoint> newest() const {
    if (seen_.empty()) return std::nullopt;
    return seen_.back().asked_at;
  }
  /// Must be called after a change of primary: positions that the previous one showed may have been rolled
  /// back.
  void clear() { seen_.clear(); }

 private:
  struct Sighting {
    TimePoint asked_at;
    Position position;
  };
  std::deque<Sighting> seen_;
};

}  // namespace cairnhollow::registered::proxy
