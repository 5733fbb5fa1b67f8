// Estimates of what each backend has applied, learned from answers and from a slow probe. They only steer
// the choice: a backend itself refuses a read that requires a position it has not applied.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/types.h"

namespace cairnhollow::declared::routing {

/// One sample of a primary's position stands for at least this much time...
inline constexpr Duration kPrimarySampleInterval = std::chrono::milliseconds(25);
/// ...and at most this many are kept: a busy group's ages can be told up to about 25 s.
inline constexpr std::size_t kMaximumPrimarySamples = 1024;

/// Of a group's own writes the newest ones are remembered: they tell best how far a replica lags.
inline constexpr std::size_t kMaximumWriteSamples = 128;

/// Indexed by BackendView::ordinal. Positions only grow.
class FreshnessTable {
 public:
  /// An answer of the backend showed that it has applied `position` of its group's log.
  void observe_backend(const GroupName& group, std::uint32_t ordinal, Position position, TimePoint now);
  /// The group's primary had committed `position` at `seen_at` or later. Pass the time at which the
  /// question was sent: everything committed before it is at or below `position`.
  void observe_primary(const GroupName& group, Position position, TimePoint seen_at);

  /// A write that this proxy sent at `asked_at` got `position`: the primary had not committed it before. Adds
  /// to what observe_primary learned from the same answer.
  void observe_write(const GroupName& group, Position position, TimePoint asked_at);

  /// Highest position known to be applied there; zero when nothing is known.
  [[nodiscard]] Position applied(std::uint32_t ordinal) const;
  /// When an answer last told the backend's position; empty when none did.
  [[nodiscard]] std::optional<TimePoint> learned_at(std::uint32_t ordinal) const;
  /// The oldest that data at `position` can be at `now`: the time since the primary was last seen at or
  /// below it. Empty when it cannot be told.
  [[nodiscard]] std::optional<Duration> age_of(const GroupName& group, Position position,
                                               TimePoint now) const;
  /// When the primary was first seen at or above `position`, or when the write that got it was sent if this
  /// proxy sent it; empty when the primary was not seen there yet.
  [[nodiscard]] std::optional<TimePoint> first_seen(const GroupName& group, Position position) const;
  /// Time that the backend takes to apply what its primary has: raised at once, lowered smoothly. Empty when
  /// nothing is known.
  [[nodiscard]] std::optional<Duration> typical_lag(std::uint32_t ordinal) const;
  /// The highest position seen of the group's primary; zero when none was.
  [[nodiscard]] Position primary_position(const GroupName& group) const;

 private:
  struct BackendEstimate {
    Position applied;
    std::optional<Duration> typical_lag;
    std::optional<TimePoint> learned_at;
  };
  /// Everything committed before `last_seen` is at or below `position`.
  struct PrimarySample {
    Position position;
    TimePoint first_seen;
    TimePoint last_seen;
  };
  struct WriteSample {
    Position position;
    TimePoint asked_at;
  };
  using WriteSamples = std::deque<WriteSample>;      ///< positions ascend
  using PrimarySamples = std::deque<PrimarySample>;  ///< positions and times ascend

  [[nodiscard]] const PrimarySamples* samples_of(const GroupName& group) const;
  /// The time since the primary was first seen beyond `position`; zero when it was not.
  [[nodiscard]] Duration trailing_since(const GroupName& group, Position position, TimePoint now) const;

  /// The latest time known after which a position in (before, applied] was committed; empty when none is.
  [[nodiscard]] std::optional<TimePoint> committed_after(const GroupName& group, Position before,
                                                         Position applied) const;

  std::vector<BackendEstimate> backends_;
  std::unordered_map<GroupName, PrimarySamples> primaries_;
  std::unordered_map<GroupName, WriteSamples> writes_;
};

}  // namespace cairnhollow::declared::routing
