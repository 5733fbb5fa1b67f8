// Known log positions of a group's primary, and whether they need a refresh. The position that a replica must
// show for a read is derived from them.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "registered/proxy/group/position_history.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

/// Once the newest position is older than the allowed staleness divided by this, the next read goes to the
/// primary and refreshes it.
inline constexpr int kPositionRefreshDivisor = 2;
/// A proxy whose callers' writes run elsewhere queries the primary once the newest position is older than the
/// allowed staleness divided by this: early enough for a watch tick and an answer before reads would have to
/// go to the primary. It does so only while such reads arrived within kRecentReadWindow.
inline constexpr int kPositionQueryDivisor = 3;
inline constexpr Duration kRecentReadWindow = std::chrono::seconds(1);

/// The age of the newest position, as a part of the allowed staleness, from which on it is refreshed.
struct RefreshPace {
  double query = 1.0 / kPositionQueryDivisor;   ///< by a query of this proxy
  double read = 1.0 / kPositionRefreshDivisor;  ///< by the next read
};
/// Where queries cross between regions: as late as leaves time for a watch tick and two round trips between
/// regions, 250 ms of an allowed staleness of 1,500 ms, before reads would have to go to the primary.
inline constexpr RefreshPace kRefreshPaceAcrossRegions{2.0 / 3, 5.0 / 6};

/// References are not owned and must outlive this object.
class PrimaryPositions {
 public:
  /// `changed`: notified when a position query ends.
  PrimaryPositions(runtime::Runtime& runtime, runtime::Signal& changed)
      : runtime_(runtime), changed_(changed) {}

  /// Records that a primary of the open term showed `position` in answer to a query sent at `asked_at`.
  void record(TimePoint asked_at, Position position) {
    history_.record(asked_at, position);
    highest_shown_ = std::max(highest_shown_.value_or(Position{}), position);
  }
  /// The furthest position shown since the last change of primary; std::nullopt if there was none.
  [[nodiscard]] std::optional<Position> highest_shown() const { return highest_shown_; }
  [[nodiscard]] const PositionHistory& history() const { return history_; }
  /// Must be called after a change of primary: what the previous one showed may have been rolled back or
  /// lost.
  void forget() {
    history_.clear();
    highest_shown_.reset();
  }

  /// The furthest position that this proxy acknowledged to a caller, in any term. An upper bound: a primary
  /// answers a commit with the end of its log, which includes concurrent commits in progress.
  [[nodiscard]] Position highest_acknowledged() const { return highest_acknowledged_; }
  /// A commit at this position or after it was acknowledged to a caller; index 0 if none certainly was.
  [[nodiscard]] Position certainly_acknowledged() const { return certainly_acknowledged_; }
  /// Records that a commit was acknowledged that the primary answered with `position`, and that was sent when
  /// it had shown `shown_before`: the commit comes after that.
  void record_acknowledged(Position position, std::optional<Position> shown_before);

  void set_pace(RefreshPace pace) { pace_ = pace; }
  /// Records that a read arrived that allows this staleness.
  void record_read(Duration staleness);
  /// Whether reads that allow this staleness need a newer position soon.
  [[nodiscard]] bool needs_refresh(Duration staleness) const {
    return is_older_than(part_of(staleness, pace_.read));
  }
  /// Whether the newest position will soon be too old for recent reads.
  [[nodiscard]] bool is_query_due() const {
    return has_recent_reads() && is_older_than(part_of(requested_staleness_, pace_.query));
  }
  /// Begins a position query on behalf of a read. Returns false while one is pending.
  bool begin_query() { return !std::exchange(query_pending_, true); }
  void end_query() {
    query_pending_ = false;
    changed_.notify_all();
  }

 private:
  static Duration part_of(Duration staleness, double part) {
    return std::chrono::duration_cast<Duration>(staleness * part);
  }
  /// Whether a read that allows staleness arrived within kRecentReadWindow.
  [[nodiscard]] bool has_recent_reads() const;
  /// Whether no position is known that is at most `age` old.
  [[nodiscard]] bool is_older_than(Duration age) const;

  runtime::Runtime& runtime_;
  runtime::Signal& changed_;
  PositionHistory history_;
  std::optional<Position> highest_shown_;
  Position highest_acknowledged_;
  Position certainly_acknowledged_;
  RefreshPace pace_;
  Duration requested_staleness_{0};  ///< smallest of the reads within kRecentReadWindow
  TimePoint last_read_at_{};
  bool query_pending_ = false;
};

}  // namespace cairnhollow::registered::proxy
