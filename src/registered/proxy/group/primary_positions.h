// Where the log of a group's primary is, as far as this proxy knows, and whether that is to be renewed. What
// a replica must show for a read follows from it.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "registered/proxy/group/position_history.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

/// The newest known position of a primary may be this part of the allowed staleness old, or the next read
/// goes to the primary and brings a new one. Chosen, not measured.
inline constexpr int kPositionRefreshDivisor = 2;
/// A proxy whose callers' writes run elsewhere asks the primary where its log is, once the newest known
/// position is this part of the allowed staleness old: a watch tick and an answer before a read would have to
/// go to the primary for it. Asked as long as such reads came within the interest. Chosen, not measured.
inline constexpr int kPositionAskDivisor = 3;
inline constexpr Duration kPositionInterest = std::chrono::seconds(1);

/// What is named outlives it.
class PrimaryPositions {
 public:
  /// `changed`: notified when a question has ended.
  PrimaryPositions(runtime::Runtime& runtime, runtime::Signal& changed)
      : runtime_(runtime), changed_(changed) {}

  /// A primary of the open term showed `position` to a question sent at `asked_at`.
  void record(TimePoint asked_at, Position position) {
    history_.record(asked_at, position);
    shown_ = std::max(shown_.value_or(Position{}), position);
  }
  /// The furthest that it showed; empty: nothing since the last change of primary.
  [[nodiscard]] std::optional<Position> shown() const { return shown_; }
  [[nodiscard]] const PositionHistory& history() const { return history_; }
  /// After a change of primary: what the old one showed may have been rolled back, or is lost.
  void forget() {
    history_.clear();
    shown_.reset();
  }

  /// The furthest position that this proxy acknowledged to a caller, in whatever term.
  [[nodiscard]] Position highest_acknowledged() const { return highest_acknowledged_; }
  void record_acknowledged(Position position) {
    highest_acknowledged_ = std::max(highest_acknowledged_, position);
  }

  /// A read came that may be so stale.
  void record_wanted(Duration staleness);
  /// Whether reads of such staleness need a newer position soon.
  [[nodiscard]] bool wants_newer(Duration staleness) const {
    return is_older_than(staleness / kPositionRefreshDivisor);
  }
  /// Whether the newest position will soon be too old for the reads that came lately.
  [[nodiscard]] bool is_question_due() const {
    return is_staleness_wanted() && is_older_than(staleness_wanted_ / kPositionAskDivisor);
  }
  /// The primary is to be asked on behalf of a read; false while it is being asked.
  bool begin_question() { return !std::exchange(asking_, true); }
  void end_question() {
    asking_ = false;
    changed_.notify_all();
  }

 private:
  /// Whether a read that may be stale came within the interest.
  [[nodiscard]] bool is_staleness_wanted() const;
  /// Whether no position is known that is at most so old.
  [[nodiscard]] bool is_older_than(Duration age) const;

  runtime::Runtime& runtime_;
  runtime::Signal& changed_;
  PositionHistory history_;
  std::optional<Position> shown_;
  Position highest_acknowledged_;
  Duration staleness_wanted_{0};  ///< the least of the reads within the interest
  TimePoint staleness_wanted_at_{};
  bool asking_ = false;
};

}  // namespace cairnhollow::registered::proxy
