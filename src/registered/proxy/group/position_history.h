// History of a primary's log positions, from which the position that a bounded-staleness read must see is
// derived.
#pragma once

#include <chrono>
#include <deque>
#include <optional>

#include "base/types.h"

namespace cairnhollow::registered::proxy {

/// Retention time of positions and the minimum spacing between them; at most 200 are kept.
inline constexpr Duration kPositionRetention = std::chrono::seconds(4);
inline constexpr Duration kPositionSpacing = std::chrono::milliseconds(20);

/// Invariant: each recorded position covers everything that was acknowledged to any client before its
/// `asked_at`, since the primary showed it in answer to a query sent at that time.
class PositionHistory {
 public:
  void record(TimePoint asked_at, Position position) {
    if (!entries_.empty() && asked_at - entries_.back().asked_at < kPositionSpacing) return;
    entries_.push_back({asked_at, position});
    while (entries_.front().asked_at + kPositionRetention < asked_at) entries_.pop_front();
  }
  /// Returns the earliest position that covers everything acknowledged before `since`, or std::nullopt if
  /// none is known.
  [[nodiscard]] std::optional<Position> covering(TimePoint since) const {
    for (const Entry& entry : entries_) {
      if (entry.asked_at >= since) return entry.position;
    }
    return std::nullopt;
  }
  /// Returns when the primary was first seen to have `position` within the retained history, or std::nullopt
  /// if it has not been seen to have it.
  [[nodiscard]] std::optional<TimePoint> first_seen(Position position) const {
    for (const Entry& entry : entries_) {
      if (entry.position >= position) return entry.asked_at;
    }
    return std::nullopt;
  }
  [[nodiscard]] std::optional<TimePoint> newest() const {
    if (entries_.empty()) return std::nullopt;
    return entries_.back().asked_at;
  }
  /// Must be called after a change of primary: positions that the previous one showed may have been rolled
  /// back.
  void clear() { entries_.clear(); }

 private:
  struct Entry {
    TimePoint asked_at;
    Position position;
  };
  std::deque<Entry> entries_;
};

}  // namespace cairnhollow::registered::proxy
