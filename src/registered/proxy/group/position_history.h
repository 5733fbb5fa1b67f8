// Where a primary's log was, and when: what a read that may be somewhat stale must at least see.
#pragma once

#include <chrono>
#include <deque>
#include <optional>

#include "base/types.h"

namespace cairnhollow::registered::proxy {

/// Positions of a primary are remembered this long, and no closer together than the spacing: 200 of them at
/// most. Chosen, not measured.
inline constexpr Duration kPositionMemory = std::chrono::seconds(4);
inline constexpr Duration kPositionSpacing = std::chrono::milliseconds(20);

/// Invariant: everything that anybody had acknowledged before `asked_at` is within the position recorded with
/// it, since the primary showed that position to a question sent at that time.
class PositionHistory {
 public:
  void record(TimePoint asked_at, Position position) {
    if (!seen_.empty() && asked_at - seen_.back().asked_at < kPositionSpacing) return;
    seen_.push_back({asked_at, position});
    while (seen_.front().asked_at + kPositionMemory < asked_at) seen_.pop_front();
  }
  /// The earliest position that covers all that was acknowledged before `since`; empty when none is known.
  [[nodiscard]] std::optional<Position> covering(TimePoint since) const {
    for (const Sighting& sighting : seen_) {
      if (sighting.asked_at >= since) return sighting.position;
    }
    return std::nullopt;
  }
  /// When the primary was first seen to have `position`; empty when that was before all that is remembered,
  /// or it was not seen yet.
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
  /// After a change of primary: what the old one showed may have been rolled back.
  void clear() { seen_.clear(); }

 private:
  struct Sighting {
    TimePoint asked_at;
    Position position;
  };
  std::deque<Sighting> seen_;
};

}  // namespace cairnhollow::registered::proxy
