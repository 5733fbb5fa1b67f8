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

  /// The furthest position that this proxy acknowledged to a caller, in any term.
  [[nodiscard]] Position highest_acknowledged() const { return highest_acknowledged_; }
  void record_acknowledged(Position position) {
    highest_acknowledged_ = std::max(highest_acknowledged_, position);
  }

  /// Records that a read arrived that allows this staleness.
  void record_read(Duration staleness);
  /// Whether reads that allow this staleness need a newer position soon.
  [[nodiscard]] bool needs_refresh(Duration staleness) const {
    return is_older_than(staleness / kPositionRefreshDivisor);
  }
  /// Whether the newest position will soon be too old for recent reads.
  [[nodiscard]] bool is_query_due() const {
    return has_recent_reads() && is_older_than(requested_staleness_ / kPositionQueryDivisor);
  }
  /// Begins a position query on behalf of a read. Returns false while one is pending.
  bool begin_query() { return !std::exchange(query_pending_, true); }
  void end_query() {
    query_pending_ = false;
    changed_.notify_all();
  }

 private:
  /// Whether a read that allows staleness arrived within kRecentReadWindow.
  [[nodiscard]] bool has_recent_reads() const;
  /// Whether no position is known that is at most `age` old.
  [[nodiscard]] bool is_older_than(Duration age) const;

  runtime::Runtime& runtime_;
  runtime::Signal& changed_;
  PositionHistory history_;
  std::optional<Position> highest_shown_;
  Position highest_acknowledged_;
  Duration requested_staleness_{0};  ///< smallest of the reads within kRecentReadWindow
  TimePoint last_read_at_{};
  bool query_pending_ = false;
};

}  // namespace cairnhollow::registered::proxy
