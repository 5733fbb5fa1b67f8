// One member of a replicated database group: terms, roles, log, replication and the applied state. The
// rules are Raft's (Ongaro and Ousterhout, USENIX ATC 2014) with the election taken out of the group: an
// orchestrator collects the votes (fence) and names the winner (promote), and replicas pull.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "declared/backend/backend_connection.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"
#include "standins/database/async_lock.h"
#include "standins/database/log_store.h"
#include "standins/database/replication_messages.h"
#include "standins/database/replication_progress.h"
#include "standins/database/settings.h"
#include "standins/database/state_machine.h"
#include "standins/database/term_store.h"
#include "standins/database/tunables.h"

namespace cairnhollow::standins::database {

/// An entry that this primary appended (or inherited) and that is not applied yet.
struct PendingEntry {
  Position position;
  std::optional<ApplyResult> result;  ///< set once it is committed and applied here
  bool lost = false;                  ///< this member ceased to be primary first: the outcome is unknown
};

/// Invariants: entries of a term are appended by its one primary only; an index is committed when a
/// majority holds it durably and it (or a later one) is of the primary's own term; the term never goes
/// down and its primary never changes within it; a primary that restarts does not resume its role, since
/// entries that it had sent on before they were synced may be missing from its own log.
class DatabaseMember {
 public:
  /// All arguments outlive the member, which lives until the process ends.
  DatabaseMember(runtime::Runtime& runtime, const DatabaseSettings& settings, const Tunables& tunables);

  /// Reads its files and starts its loops.
  Awaitable<bool> start(Reason& reason);
  /// Ends the loops.
  void stop();

  // Failover; docs/BACKEND_CONTRACT.md.
  Awaitable<std::optional<declared::backend::FenceAnswer>> fence(std::uint64_t term, std::string owner,
                                                                 Reason& reason);
  Awaitable<bool> promote(std::uint64_t term, std::string owner, Reason& reason);
  Awaitable<bool> follow(std::uint64_t term, BackendName primary, Endpoint endpoint, Reason& reason);

  [[nodiscard]] std::uint64_t term() const { return term_.term; }
  /// Whom it follows, itself when it is the primary; empty when there is none.
  [[nodiscard]] BackendName known_primary() const;
  [[nodiscard]] bool is_primary() const { return role_ == declared::backend::BackendRole::kPrimary; }
  /// The primary whose term's first entry is committed, so that it knows every committed entry.
  [[nodiscard]] bool serves() const;
  /// A majority pulled within the primary silence limit.
  [[nodiscard]] bool hears_majority() const;
  [[nodiscard]] bool hears_primary() const;
  [[nodiscard]] Position committed() const;
  [[nodiscard]] Position last_durable() const { return log_.durable(); }
  [[nodiscard]] const StateMachine& state() const { return state_; }
  [[nodiscard]] const std::vector<BackendName>& members() const { return members_; }

  /// Appends as the primary; call only while serves().
  std::shared_ptr<PendingEntry> append(Command command);
  /// The entry that will decide `request`; null when none is in the log.
  [[nodiscard]] std::shared_ptr<PendingEntry> in_flight(const RequestId& request) const;
  /// Returns when the entry has its result or is lost, or at `deadline`.
  Awaitable<void> wait_for(std::shared_ptr<PendingEntry> entry, TimePoint deadline);
  /// True once serves(); false when `deadline` passes or this is not the primary of `term` (any more).
  Awaitable<bool> wait_until_serving(std::uint64_t term, TimePoint deadline);
  /// True once `position` is applied here.
  Awaitable<bool> wait_until_applied(Position position, TimePoint deadline);
  /// True once a majority has shown that it followed this primary after the call (Raft, section 8; a read
  /// index round): what was committed anywhere before the call is committed here.
  Awaitable<bool> confirm(TimePoint deadline);

  /// Answers a replica's pull; holds it while there is no news.
  Awaitable<PullAnswer> serve_pull(PullRequest request);

  // For the pull loop.
  [[nodiscard]] bool follows() const;
  [[nodiscard]] const TermRecord& term_record() const { return term_; }
  Awaitable<std::optional<PullRequest>> next_pull(Reason& reason);
  /// Takes in the answer to a pull made in `term`; ignored when the member has moved on since.
  Awaitable<bool> take_answer(PullAnswer answer, std::uint64_t term, Reason& reason);
  /// Returns when the term, the role or whom it follows may have changed.
  Awaitable<void> wait_for_change() { return changed_.wait(); }
  [[nodiscard]] bool stopping() const { return stopping_; }

 private:
  struct DueEntry {
    std::uint64_t index = 0;
    TimePoint due;  ///< replication lag: not applied before
  };

  Awaitable<bool> save_term_record(Reason& reason);
  void step_down();
  void become_primary();
  void track(const LogEntry& entry);
  bool refuse(ReasonCode code, const char* step, std::string detail, Reason& reason) const;

  void advance_commit();
  void set_committed(std::uint64_t index);
  void apply_due_entries();
  void apply_up_to(std::uint64_t index);

  [[nodiscard]] std::optional<Position> common_point(const std::vector<Position>& term_ends) const;
  [[nodiscard]] PullAnswer make_answer(PullAnswerKind kind) const;
  [[nodiscard]] PullAnswer make_news(const PullRequest& request) const;
  [[nodiscard]] bool has_news(const PullRequest& request) const;
  Awaitable<bool> take_entries(PullAnswer answer, Reason& reason);
  Awaitable<bool> take_cut(std::uint64_t cut_to, Reason& reason);
  Awaitable<bool> take_snapshot(PullAnswer answer, Reason& reason);

  Awaitable<void> flush_loop();
  Awaitable<void> apply_loop();
  Awaitable<void> compaction_loop();
  [[nodiscard]] bool may_compact(Position position) const;

  runtime::Runtime& runtime_;
  const DatabaseSettings& settings_;
  const Tunables& tunables_;
  std::vector<BackendName> members_;

  AsyncLock term_lock_;  ///< held by fence, promote and follow; taken before log_lock_
  AsyncLock log_lock_;   ///< held while a replica's log changes, and while a promotion takes over the log
  runtime::Signal changed_;
  LogStore log_;
  StateMachine state_;
  TermRecord term_;
  bool term_saved_ = true;  ///< false: `term_` is not known to be on disk
  declared::backend::BackendRole role_ = declared::backend::BackendRole::kReplica;
  std::uint64_t committed_ = 0;  ///< index
  std::deque<DueEntry> due_entries_;
  std::optional<TimePoint> primary_heard_at_;
  std::uint64_t round_ = 0;  ///< primary: rounds begun; replica: of the last answer
  std::optional<ReplicationProgress> progress_;
  std::map<std::uint64_t, std::shared_ptr<PendingEntry>> pending_;  ///< by index
  std::map<RequestId, std::shared_ptr<PendingEntry>> pending_requests_;
  bool stopping_ = false;
};

}  // namespace cairnhollow::standins::database
