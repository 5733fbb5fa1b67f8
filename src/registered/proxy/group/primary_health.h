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
inline constexpr int kBrokenOffStatements = 3;
inline constexpr Duration kBrokenOffFor = std::chrono::milliseconds(200);

/// A statement that is pending at a primary.
struct PrimaryWork {
  std::shared_ptr<BackendLink> link;
  TimePoint since{};
  bool commits = false;  ///< a write or commit, whose answer requires a replica
};

/// References are not owned and must outlive this object.
class PrimaryHealth {
 public:
  PrimaryHealth(runtime::Runtime& runtime, const Leadership& leadership)
      : runtime_(runtime), leadership_(leadership) {}

  /// Returns a key for end_work().
  std::uint64_t begin_work(PrimaryWork work);
  void end_work(std::uint64_t work) { work_.erase(work); }
  /// Closes the links of all pending work, so that callers that wait for answers fail at once.
  void break_off_work();
  /// Ends the primary's epoch: none of its pending work may be acknowledged from here on.
  void give_up() {
    commits_stall_ = false;
    break_off_work();
  }

  /// Whether a statement or commit at the primary has had no answer for kPrimarySilence; `commits` is set to
  /// whether all those without an answer are commits.
  [[nodiscard]] bool is_silent(TimePoint now, bool& commits) const;

  /// Records that the primary dropped a statement. Returns true once it has dropped at least
  /// kBrokenOffStatements in a row for kBrokenOffFor.
  bool mark_broken_off();
  /// Resets the count of dropped statements, after an answer or a new term.
  void record_answered() { broken_off_ = 0; }

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
  std::map<std::uint64_t, PrimaryWork> work_;
  std::uint64_t next_work_ = 1;
  int broken_off_ = 0;  ///< consecutive statements
  TimePoint broken_off_since_{};
  TimePoint answered_commit_sent_{};  ///< latest send time of an answered commit
  bool commits_stall_ = false;
};

}  // namespace cairnhollow::registered::proxy
