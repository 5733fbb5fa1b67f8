// State of one Raft server (figure 3.1) and the transitions shared by all roles. Transitions are synchronous
// and change memory only; persist() makes them durable. Safety rule: no message may be sent before a
// persist() that began after the state it depends on has returned true. For messages that depend only on term
// and vote, persist_term_and_vote() suffices.
#pragma once

#include <functional>
#include <optional>

#include "consensus/configuration.h"
#include "consensus/log.h"
#include "consensus/metadata_file.h"
#include "consensus/raft.h"
#include "consensus/snapshot_file.h"

namespace cairnhollow::consensus {

/// Observer of server state changes. Called synchronously within the transition.
class RaftObserver {
 public:
  virtual ~RaftObserver() = default;
  /// This server stopped being the leader of `term`.
  virtual void leadership_ended(std::uint64_t term) = 0;
  /// applied_index has advanced.
  virtual void entries_applied() = 0;
  /// Role, term or known leader has changed, or the server has halted.
  virtual void role_changed() = 0;
  /// The latest configuration in the log has changed.
  virtual void configuration_changed() = 0;
};

class RaftState {
 public:
  RaftState(runtime::Runtime& runtime, ReplicatedStateMachine& state_machine, RaftSettings settings,
            RaftObserver& observer);

  /// Reads metadata, snapshot and log. Fails if the files of the data folder are damaged or inconsistent.
  bool recover(Reason& reason);

  /// Makes all transitions so far durable. After a storage failure the server does not participate until
  /// everything in memory has been written again, which it retries itself. No message depended on state that
  /// was not durable, so nothing has to be undone.
  Awaitable<bool> persist();
  /// Same as persist(), for term and vote only.
  Awaitable<bool> persist_term_and_vote();
  /// Stops participating permanently. Used for unreadable entries and by stop().
  void halt(const Reason& reason);
  /// Returns whether the server does not participate: halted permanently, or suspended after a storage
  /// failure.
  [[nodiscard]] bool halted() const { return halted_ || storage_failed_; }
  [[nodiscard]] bool halted_permanently() const { return halted_; }
  /// Reason of the last halt or storage failure.
  [[nodiscard]] const Reason& halt_reason() const { return halt_reason_; }

  /// Adopts a higher term seen in a message (section 3.3). Returns whether it was higher.
  bool observe_term(std::uint64_t term);
  /// Processes a message from the leader of the current term.
  void follow_leader(const NodeName& leader);
  void become_pre_candidate();
  /// Increments the term and votes for itself.
  void become_candidate();
  void become_leader();
  /// Becomes a follower from any role, keeping the term.
  void step_down();

  void append(EntryKind kind, std::string payload);
  void append(LogEntry entry);
  void truncate_after(std::uint64_t index);
  /// Advances the commit index, never backwards, and applies entries. `index` must be in the log and durable
  /// here.
  void commit_to(std::uint64_t index);
  /// Returns whether enough entries were applied since the last snapshot and none is being written.
  [[nodiscard]] bool needs_snapshot() const;
  /// Writes a snapshot of the applied state and compacts the log up to it.
  Awaitable<void> take_snapshot();
  /// Replaces state and log with a leader's snapshot. Returns false if the snapshot is damaged or the server
  /// halted.
  Awaitable<bool> install(Snapshot snapshot);

  [[nodiscard]] bool is_voter() const;
  /// Returns whether this server may start an election. A server that is not in its latest configuration
  /// still may until that configuration is known to be committed (section 4.2.2): it may be the only one with
  /// that entry.
  [[nodiscard]] bool may_campaign() const;
  [[nodiscard]] std::uint64_t term() const { return metadata_.value().term; }
  [[nodiscard]] const NodeName& voted_for() const { return metadata_.value().voted_for; }
  void vote_for(const NodeName& candidate);
  [[nodiscard]] const std::string& identity() const { return metadata_.value().identity; }
  [[nodiscard]] const NodeName& self() const { return settings_.node; }
  [[nodiscard]] const RaftSettings& settings() const { return settings_; }
  [[nodiscard]] runtime::Runtime& runtime() { return runtime_; }
  [[nodiscard]] const Log& log() const { return log_; }
  [[nodiscard]] const ConfigurationHistory& history() const { return history_; }
  [[nodiscard]] const Configuration& configuration() const { return history_.latest(); }
  [[nodiscard]] ServerState role() const { return role_; }
  [[nodiscard]] bool is_leader_of(std::uint64_t term) const;
  [[nodiscard]] const NodeName& leader() const { return leader_; }
  [[nodiscard]] std::uint64_t commit_index() const { return commit_index_; }
  [[nodiscard]] std::uint64_t applied_index() const { return applied_index_; }
  [[nodiscard]] std::uint64_t snapshot_index() const { return snapshot_last_.index; }
  /// Returns whether this server is the leader or has heard from a leader within the last election timeout.
  [[nodiscard]] bool has_recent_leader_contact() const;
  /// When the leader was last heard from or a vote was last granted; the election timeout starts here.
  [[nodiscard]] TimePoint election_timer_start() const { return election_timer_start_; }
  [[nodiscard]] SnapshotFile& snapshot_file() { return snapshot_file_; }

 private:
  bool recover_log(const Snapshot& snapshot, Reason& reason);
  bool check_new_folder(Reason& reason) const;
  bool check_written(bool written, const Reason& reason);
  /// Stops participating until the disk accepts writes again.
  void suspend(const Reason& reason);
  /// Retries writing the in-memory state, then resumes participation.
  Awaitable<void> retry_storage();
  void set_role(ServerState role, NodeName leader);
  void apply_committed();
  void record_configuration(const LogEntry& entry);
  /// Halts at an entry that this build cannot read. The entry stays in the log; nothing after it is applied.
  void halt_at(const LogEntry& entry, Reason reason);

  runtime::Runtime& runtime_;
  ReplicatedStateMachine& state_machine_;
  RaftSettings settings_;
  RaftObserver& observer_;
  MetadataFile metadata_;
  SnapshotFile snapshot_file_;
  Log log_;
  ConfigurationHistory history_;
  ServerState role_ = ServerState::kFollower;
  NodeName leader_;
  std::uint64_t commit_index_ = 0;
  std::uint64_t applied_index_ = 0;
  LogBase snapshot_last_;
  TimePoint last_leader_contact_;
  TimePoint election_timer_start_;
  bool writing_snapshot_ = false;
  bool halted_ = false;          ///< permanent
  bool storage_failed_ = false;  ///< cleared when the disk accepts writes again
  Reason halt_reason_;
};

}  // namespace cairnhollow::consensus
