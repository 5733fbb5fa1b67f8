// The state of one Raft server (figure 3.1) and the transitions that every role shares. Transitions are
// synchronous and change memory only; persist() makes them durable. The one rule that keeps this safe:
// no message leaves the node before a persist() begun after the state it speaks of has returned true; for
// messages that speak of term and vote only, persist_term_and_vote().
#pragma once

#include <functional>
#include <optional>

#include "consensus/configuration.h"
#include "consensus/log.h"
#include "consensus/metadata_file.h"
#include "consensus/raft.h"
#include "consensus/snapshot_file.h"

namespace cairnhollow::consensus {

/// Told of what happens to the server; called synchronously, inside the transition.
class RaftObserver {
 public:
  virtual ~RaftObserver() = default;
  /// This server stopped being the leader of `term`.
  virtual void leadership_ended(std::uint64_t term) = 0;
  /// applied_index has grown.
  virtual void entries_applied() = 0;
  /// Role, term or known leader has changed, or the server halted.
  virtual void role_changed() = 0;
  /// The latest configuration in the log is another one.
  virtual void configuration_changed() = 0;
};

class RaftState {
 public:
  RaftState(runtime::Runtime& runtime, ReplicatedStateMachine& state_machine, RaftSettings settings,
            RaftObserver& observer);

  /// Reads metadata, snapshot and log. Refuses a data folder whose files are damaged or don't fit together.
  bool recover(Reason& reason);

  /// Makes all transitions so far durable. When the disk fails the server takes no part until all that memory
  /// holds is written again, which it tries on its own. It has spoken of nothing that was not durable, so
  /// nothing has to be taken back.
  Awaitable<bool> persist();
  /// The same for term and vote alone.
  Awaitable<bool> persist_term_and_vote();
  /// Stops taking part for good: used for entries that can't be read and by stop().
  void halt(const Reason& reason);
  /// Takes no part now: halted for good, or the disk refuses writes.
  [[nodiscard]] bool halted() const { return halted_ || storage_failed_; }
  [[nodiscard]] bool halted_for_good() const { return halted_; }
  /// Of the last halt, or of the last failure of the disk.
  [[nodiscard]] const Reason& halt_reason() const { return halt_reason_; }

  /// Takes over a higher term seen in a message (section 3.3). Returns whether it was higher.
  bool observe_term(std::uint64_t term);
  /// A message of the current term's leader came.
  void follow_leader(const NodeName& leader);
  void become_pre_candidate();
  /// Next term, vote for itself.
  void become_candidate();
  void become_leader();
  /// From any role; keeps the term.
  void step_down();

  void append(EntryKind kind, std::string payload);
  void append(LogEntry entry);
  void truncate_after(std::uint64_t index);
  /// Moves the commit index up, never down, and applies. `index` is in the log and durable here.
  void commit_to(std::uint64_t index);
  /// Enough was applied since the last snapshot, and none is being written.
  [[nodiscard]] bool needs_snapshot() const;
  /// Writes a snapshot of the applied state and compacts the log behind it.
  Awaitable<void> take_snapshot();
  /// Replaces state and log by a leader's snapshot. False when it is damaged or the server halted.
  Awaitable<bool> install(Snapshot snapshot);

  [[nodiscard]] bool is_voter() const;
  /// A server that its latest configuration leaves out still stands for election until that is known to be
  /// committed (section 4.2.2): it may be the only one with that entry.
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
  /// A leader is known and was heard within the last election timeout, or is this server.
  [[nodiscard]] bool hears_leader() const;
  /// When the leader was last heard or a vote last given: the election timeout counts from here.
  [[nodiscard]] TimePoint election_timer_start() const { return election_timer_start_; }
  [[nodiscard]] SnapshotFile& snapshot_file() { return snapshot_file_; }

 private:
  bool recover_log(const Snapshot& snapshot, Reason& reason);
  bool check_new_folder(Reason& reason) const;
  bool check_written(bool written, const Reason& reason);
  /// Takes no part until the disk takes writes again.
  void suspend(const Reason& reason);
  /// Tries again and again to write all that memory holds, then takes part again.
  Awaitable<void> resume_when_writable();
  void set_role(ServerState role, NodeName leader);
  void apply_committed();
  void record_configuration(const LogEntry& entry);
  /// An entry that this build can't read stays in the log; nothing behind it is applied.
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
  bool halted_ = false;          ///< for good
  bool storage_failed_ = false;  ///< until the disk takes writes again
  Reason halt_reason_;
};

}  // namespace cairnhollow::consensus
