// Estimates the position that each backend has applied, from answers and periodic probes. The estimates only
// guide routing: a backend itself refuses a read that requires a position it has not applied.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/types.h"

namespace cairnhollow::declared::routing {

/// Minimum time covered by one sample of a primary's position.
inline constexpr Duration kPrimarySampleInterval = std::chrono::milliseconds(25);
/// Maximum samples per group. With kPrimarySampleInterval this covers the last 25 s or so of a busy group.
inline constexpr std::size_t kMaximumPrimarySamples = 1024;

/// Maximum number of this proxy's own writes remembered per group; they give the tightest bounds on replica
/// lag.
inline constexpr std::size_t kMaximumWriteSamples = 128;

/// Indexed by BackendView::ordinal. Positions never decrease.
class FreshnessTable {
 public:
  /// Records that the backend has applied `position` of its group's log.
  void observe_backend(const GroupName& group, std::uint32_t ordinal, Position position, TimePoint now);
  /// Records that the group's primary had committed `position` at `seen_at` or later. Callers pass the time
  /// at which the request was sent: everything committed before it is at or below `position`.
  void observe_primary(const GroupName& group, Position position, TimePoint seen_at);

  /// Records that a write sent by this proxy at `asked_at` got `position`, so the primary committed it after
  /// `asked_at`. Call in addition to observe_primary() for the same answer.
  void observe_write(const GroupName& group, Position position, TimePoint asked_at);

  /// Highest position known to be applied by the backend; zero if unknown.
  [[nodiscard]] Position applied(std::uint32_t ordinal) const;
  /// Time of the last answer that reported the backend's position; std::nullopt if there was none.
  [[nodiscard]] std::optional<TimePoint> learned_at(std::uint32_t ordinal) const;
  /// Upper bound at `now` on the age of data at `position`: the time since the primary was last seen at or
  /// below it. Returns std::nullopt if unknown.
  [[nodiscard]] std::optional<Duration> age_of(const GroupName& group, Position position,
                                               TimePoint now) const;
  /// When the primary was first seen at or above `position`, or, if this proxy sent the write that got it,
  /// when that write was sent. Returns std::nullopt if the primary has not been seen there.
  [[nodiscard]] std::optional<TimePoint> first_seen(const GroupName& group, Position position) const;
  /// Estimated replication lag of the backend: raised immediately, lowered smoothly. Returns std::nullopt if
  /// unknown.
  [[nodiscard]] std::optional<Duration> estimated_lag(std::uint32_t ordinal) const;
  /// Highest position seen of the group's primary; zero if none.
  [[nodiscard]] Position primary_position(const GroupName& group) const;

 private:
  struct BackendEstimate {
    Position applied;
    std::optional<Duration> estimated_lag;
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
  using WriteSamples = std::deque<WriteSample>;      ///< ascending positions
  using PrimarySamples = std::deque<PrimarySample>;  ///< ascending positions and times

  [[nodiscard]] const PrimarySamples* samples_of(const GroupName& group) const;
  /// Time since the primary was first seen beyond `position`; zero if it was not.
  [[nodiscard]] Duration time_behind(const GroupName& group, Position position, TimePoint now) const;

  /// Latest known time after which some position in (before, applied] was committed; std::nullopt if none is
  /// known.
  [[nodiscard]] std::optional<TimePoint> committed_after(const GroupName& group, Position before,
                                                         Position applied) const;

  std::vector<BackendEstimate> backends_;
  std::unordered_map<GroupName, PrimarySamples> primaries_;
  std::unordered_map<GroupName, WriteSamples> writes_;
};

}  // namespace cairnhollow::declared::routing
