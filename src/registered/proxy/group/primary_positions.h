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
/// go to the primary. It does so only while such reads arrived within kPositionInterest.
inline constexpr int kPositionAskDivisor = 3;
inline constexpr Duration kPositionInterest = std::chrono::seconds(1);

/// References are not owned and must outlive this object.
class PrimaryPositions {
 public:
  /// `changed`: notified when a position query ends.
  PrimaryPositions(runtime::Runtime& runtime, runtime::Signal& changed)
      : runtime_(runtime), changed_(changed) {}

  /// Records that a primary of the open term showed `position` in answer to a query sent at `asked_at`.
  void record(TimePoint asked_at, Position position) {
    history_.record(asked_at, position);
    shown_ = std::max(shown_.value_or(Position{}), position);
  }
  /// The furthest position shown since the last change of primary; std::nullopt if there was none.
  [[nodiscard]] std::optional<Position> shown() const { return shown_; }
  [[nodiscard]] const PositionHistory& history() const { return history_; }
  /// Must be called after a change of primary: what the previous one showed may have been rolled back or
  /// lost.
  void forget() {
    history_.clear();
    shown_.reset();
  }

  /// The furthest position that this proxy acknowledged to a caller, in any term.
  [[nodiscard]] Position highest_acknowledged() const { return highest_acknowledged_; }
  void record_acknowledged(Position position) {
    highest_acknowledged_ = std::max(highest_acknowledged_, position);
  }

  /// Records that a read arrived that allows this staleness.
  void record_wanted(Duration staleness);
  /// Whether reads that allow this staleness need a newer position soon.
  [[nodiscard]] bool wants_newer(Duration staleness) const {
    return is_older_than(staleness / kPositionRefreshDivisor);
  }
  /// Whether the newest position will soon be too old for recent reads.
  [[nodiscard]] bool is_question_due() const {
    return is_staleness_wanted() && is_older_than(staleness_wanted_ / kPositionAskDivisor);
  }
  /// Begins a position query on behalf of a read. Returns false while one is pending.
  bool begin_question() { return !std::exchange(asking_, true); }
  void end_question() {
    asking_ = false;
    changed_.notify_all();
  }

 private:
  /// Whether a read that allows staleness arrived within kPositionInterest.
  [[nodiscard]] bool is_staleness_wanted() const;
  /// Whether no position is known that is at most `age` old.
  [[nodiscard]] bool is_older_than(Duration age) const;

  runtime::Runtime& runtime_;
  runtime::Signal& changed_;
  PositionHistory history_;
  std::optional<Position> shown_;
  Position highest_acknowledged_;
  Duration staleness_wanted_{0};  ///< smallest of the reads within kPositionInterest
  TimePoint staleness_wanted_at_{};
  bool asking_ = false;
};

}  // namespace cairnhollow::registered::proxy
