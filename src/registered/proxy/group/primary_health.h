// Health of a group's primary, judged by this proxy's pending work there: whether it is silent, drops every
// statement, or no longer replicates its commits. Callers decide on the consequences, such as a report to
// control or the refusal of commits.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>

#include "registered/protocol/backend_link.h"
#include "registered/proxy/group/leadership.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::proxy {

/// A primary is suspect if a statement there has had no answer for this long.
inline constexpr Duration kPrimarySilence = std::chrono::milliseconds(300);
/// Commits are stalled if one has had no answer for this long and none sent later was answered. Less than
/// kPrimarySilence, and several times the duration of a statement.
inline constexpr Duration kCommitStall = std::chrono::milliseconds(200);
/// A primary that answers nothing and drops this many consecutive statements for this long is unusable,
/// whatever its status reports. A single connection reset drops one statement, and the next one is answered.
/// A primary that goes down and up every 1.9 s resets some 25 statements in 100 ms each time.
inline constexpr int kMinDroppedStatements = 3;
inline constexpr Duration kMinDropPeriod = std::chrono::milliseconds(200);

/// A statement that is pending at a primary.
struct PendingStatement {
  std::shared_ptr<BackendLink> link;
  TimePoint sent_at{};
  bool commits = false;  ///< a write or commit, whose answer requires a replica
};

/// References are not owned and must outlive this object.
class PrimaryHealth {
 public:
  PrimaryHealth(runtime::Runtime& runtime, const Leadership& leadership)
      : runtime_(runtime), leadership_(leadership) {}

  /// Returns a key for remove_pending().
  std::uint64_t add_pending(PendingStatement statement);
  void remove_pending(std::uint64_t key) { pending_.erase(key); }
  /// Closes the links of all pending work, so that callers that wait for answers fail at once.
  void close_pending_links();
  /// Ends the primary's epoch: none of its pending work may be acknowledged from here on.
  void end_epoch() {
    commits_stalled_ = false;
    close_pending_links();
  }

  /// Whether a statement or commit at the primary has had no answer for kPrimarySilence; `commits_only` is
  /// set to whether all those without an answer are commits.
  [[nodiscard]] bool is_silent(TimePoint now, bool& commits_only) const;

  /// Records that the primary dropped a statement. Returns true once it has dropped at least
  /// kMinDroppedStatements in a row for kMinDropPeriod.
  bool record_dropped_statement();
  /// Resets the count of dropped statements, after an answer or a new term.
  void record_answered() { dropped_statements_ = 0; }

  /// Whether commits are stalled: some sent to the primary have no answer, and none sent later has one.
  /// Further commits are then to be refused instead of sent, so that they do not hold a link and end with an
  /// unknown outcome. One at a time is still sent, to detect the end of the stall.
  [[nodiscard]] bool refuses_commits();
  /// Records that a write or commit sent at `sent_at` was answered.
  void record_commit_answered(TimePoint sent_at);

 private:
  void log(runtime::LogLevel level, const char* event) const;

  runtime::Runtime& runtime_;
  const Leadership& leadership_;
  std::map<std::uint64_t, PendingStatement> pending_;
  std::uint64_t next_key_ = 1;
  int dropped_statements_ = 0;  ///< consecutive statements
  TimePoint dropping_since_{};
  TimePoint last_answered_commit_sent_at_{};  ///< latest send time of an answered commit
  bool commits_stalled_ = false;
};

}  // namespace cairnhollow::registered::proxy
