// How a group's primary does, from what this proxy has under way there: whether it is silent, breaks off all
// that it is sent, or no longer has its commits replicated. What follows (it is reported to control, commits
// are refused) is decided by whoever asks.
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

/// A statement at a primary without an answer for this long makes the primary suspect. Chosen, not measured.
inline constexpr Duration kPrimarySilence = std::chrono::milliseconds(300);
/// Commits without an answer for this long, while none sent later was answered, stall. Chosen, not measured:
/// under kPrimarySilence, and several times the work of a statement (4 to 30 ms on the deployments).
inline constexpr Duration kCommitStall = std::chrono::milliseconds(200);
/// A primary that answers nothing, but breaks off so many statements in a row for so long, can't be used,
/// whatever its status says. A connection that is reset once is one statement; what is sent next is answered.
/// Set for a primary that went down and up every 1.9 s and reset 25 statements in 100 ms each time.
inline constexpr int kBrokenOffStatements = 3;
inline constexpr Duration kBrokenOffFor = std::chrono::milliseconds(200);

/// A statement at a primary.
struct PrimaryWork {
  std::shared_ptr<BackendLink> link;
  TimePoint since{};
  bool commits = false;  ///< a write or commit: its answer needs a replica
};

/// What is named outlives it.
class PrimaryHealth {
 public:
  PrimaryHealth(runtime::Runtime& runtime, const Leadership& leadership)
      : runtime_(runtime), leadership_(leadership) {}

  /// The key is only for end_work().
  std::uint64_t begin_work(PrimaryWork work);
  void end_work(std::uint64_t work) { work_.erase(work); }
  /// Closes the links of all work: whoever waits for an answer is told at once.
  void break_off_work();
  /// The primary's epoch is over, and nothing of it may be acknowledged from here on.
  void give_up() {
    commits_stall_ = false;
    break_off_work();
  }

  /// Whether a statement at the primary, or a commit, has had no answer for kPrimarySilence; `commits` says
  /// whether all that have none are commits.
  [[nodiscard]] bool is_silent(TimePoint now, bool& commits) const;

  /// It broke off a statement. True when it has done so with all of them for a while.
  bool mark_broken_off();
  /// It answered a statement, or news of the term came: the count of those broken off begins anew.
  void record_answered() { broken_off_ = 0; }

  /// Commits reach no replica: some sent to the primary are not answered, and none sent later either. What
  /// would commit then is refused and not sent, so that it does not hold a link and end in doubt; one at a
  /// time still goes, to see when that is over.
  [[nodiscard]] bool refuses_commits();
  /// A write or commit that was sent then was answered.
  void record_commit_answered(TimePoint sent_at);

 private:
  void log(runtime::LogLevel level, const char* event) const;

  runtime::Runtime& runtime_;
  const Leadership& leadership_;
  std::map<std::uint64_t, PrimaryWork> work_;
  std::uint64_t next_work_ = 1;
  int broken_off_ = 0;  ///< statements, one after the other
  TimePoint broken_off_since_{};
  TimePoint answered_commit_sent_{};  ///< the latest sending of those that were answered
  bool commits_stall_ = false;
};

}  // namespace cairnhollow::registered::proxy
