#include "consensus/raft_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>

#include "consensus/knobs.h"

namespace cairnhollow::consensus {

RaftState::RaftState(runtime::Runtime& runtime, ReplicatedStateMachine& state_machine, RaftSettings settings,
                     RaftObserver& observer)
    : runtime_(runtime),
      state_machine_(state_machine),
      settings_(std::move(settings)),
      observer_(observer),
      metadata_(runtime),
      snapshot_file_(runtime.storage()),
      log_(runtime) {}

bool RaftState::recover(Reason& reason) {
  if (!metadata_.recover(reason)) return false;
  auto snapshot = snapshot_file_.read(reason);
  if (!snapshot) return false;
  if (snapshot->last.index == 0) snapshot->configuration.members = settings_.initial_members;
  if (snapshot->last.index > 0 && !state_machine_.restore_snapshot(snapshot->state, reason)) {
    reason.detail = "raft.snapshot at offset 0: " + reason.detail;
    return false;
  }
  snapshot_last_ = snapshot->last;
  commit_index_ = applied_index_ = snapshot->last.index;
  history_.reset(snapshot->last.index, snapshot->configuration);
  if (!recover_log(*snapshot, reason) || !check_new_folder(reason)) return false;
  last_leader_contact_ = election_timer_start_ = runtime_.now();
  return true;
}

bool RaftState::recover_log(const Snapshot& snapshot, Reason& reason) {
  if (!log_.recover(reason)) return false;
  if (log_.base().index > snapshot.last.index) {
    reason = Reason{ReasonCode::kCorrupt, "recover_log", "",
                    fmt::format("raft.log starts after entry {}, but raft.snapshot ends at entry {}",
                                log_.base().index, snapshot.last.index)};
    return false;
  }
  // A crash between writing an installed snapshot and resetting the log leaves an older log.
  if (log_.term_at(snapshot.last.index) != snapshot.last.term) log_.reset(snapshot.last);
  for (auto index = snapshot.last.index + 1; index <= log_.last_index(); ++index) {
    record_configuration(log_.at(index));
  }
  if (halted_) reason = halt_reason_;
  return !halted_;
}

bool RaftState::check_new_folder(Reason& reason) const {
  if (!metadata_.is_new() || (log_.last_index() == 0 && snapshot_last_.index == 0)) return true;
  reason = Reason{ReasonCode::kCorrupt, "recover_metadata", "",
                  "raft.metadata is missing although a log or snapshot exists; term and vote are lost"};
  return false;
}

Awaitable<bool> RaftState::persist() {
  if (halted()) co_return false;
  Reason reason;
  bool written = co_await metadata_.flush(reason);
  if (written) written = co_await log_.flush(reason);
  co_return check_written(written, reason);
}

Awaitable<bool> RaftState::persist_term_and_vote() {
  if (halted()) co_return false;
  Reason reason;
  const bool written = co_await metadata_.flush(reason);
  co_return check_written(written, reason);
}

bool RaftState::check_written(bool written, const Reason& reason) {
  if (!written) suspend(reason);
  return written && !halted();
}

void RaftState::suspend(const Reason& reason) {
  if (halted()) return;
  storage_failed_ = true;
  halt_reason_ = reason;
  runtime_.logger().log(runtime::LogLevel::kError, "consensus_storage_failed", reason,
                        {{"term", std::to_string(term())},
                         {"last_index", std::to_string(log_.last_index())},
                         {"durable_index", std::to_string(log_.durable_index())}});
  set_role(ServerState::kFollower, NodeName{});
  observer_.role_changed();
  runtime_.spawn("consensus_storage_retry", retry_storage());
}

Awaitable<void> RaftState::retry_storage() {
  const TimePoint failed_at = runtime_.now();
  bool written = false;
  while (!written && !halted_) {
    co_await runtime_.sleep_for(kStorageRetryInterval);
    Reason reason;
    metadata_.retry();
    written = co_await metadata_.flush(reason);
    if (!written) continue;
    log_.retry();
    written = co_await log_.flush(reason);
  }
  if (halted_) co_return;
  storage_failed_ = false;
  election_timer_start_ = runtime_.now();
  const std::int64_t outage_ms = in_ms(runtime_.now() - failed_at);
  runtime_.logger().log(
      runtime::LogLevel::kInfo, "consensus_storage_recovered",
      {{"after_ms", std::to_string(outage_ms)}, {"last_index", std::to_string(log_.last_index())}});
  observer_.configuration_changed();
  observer_.role_changed();
}

void RaftState::halt(const Reason& reason) {
  if (halted_) return;
  halted_ = true;
  halt_reason_ = reason;
  set_role(ServerState::kFollower, NodeName{});
  observer_.role_changed();
}

void RaftState::halt_at(const LogEntry& entry, Reason reason) {
  reason.detail = fmt::format("entry {} of term {}: {}", entry.index, entry.term, reason.detail);
  runtime_.logger().log(runtime::LogLevel::kError, "consensus_entry_unreadable", reason, {});
  halt(reason);
}

bool RaftState::observe_term(std::uint64_t term) {
  if (term <= this->term()) return false;
  const auto old_role = role_;
  const std::uint64_t old_term = this->term();
  metadata_.set_term(term);
  role_ = ServerState::kFollower;
  leader_ = NodeName{};
  if (old_role == ServerState::kLeader) observer_.leadership_ended(old_term);
  observer_.role_changed();
  return true;
}

void RaftState::follow_leader(const NodeName& leader) {
  last_leader_contact_ = election_timer_start_ = runtime_.now();
  set_role(ServerState::kFollower, leader);
}

void RaftState::become_pre_candidate() { set_role(ServerState::kPreCandidate, NodeName{}); }

void RaftState::become_candidate() {
  metadata_.set_term(term() + 1);
  metadata_.set_vote(self());
  set_role(ServerState::kCandidate, NodeName{});
}

void RaftState::become_leader() { set_role(ServerState::kLeader, self()); }

void RaftState::step_down() { set_role(ServerState::kFollower, NodeName{}); }

void RaftState::set_role(ServerState role, NodeName leader) {
  if (role_ == role && leader_ == leader) return;
  const auto old_role = role_;
  role_ = role;
  leader_ = std::move(leader);
  if (old_role == ServerState::kLeader && role != ServerState::kLeader) observer_.leadership_ended(term());
  observer_.role_changed();
}

bool RaftState::is_leader_of(std::uint64_t term) const {
  return !halted() && role_ == ServerState::kLeader && this->term() == term;
}

void RaftState::vote_for(const NodeName& candidate) {
  metadata_.set_vote(candidate);
  election_timer_start_ = runtime_.now();
}

bool RaftState::has_recent_leader_contact() const {
  if (leader_.empty()) return false;
  if (role_ == ServerState::kLeader) return true;
  return runtime_.now() - last_leader_contact_ < settings_.election_timeout;
}

bool RaftState::is_voter() const { return configuration().is_voter(MemberKey{self(), identity()}); }

bool RaftState::may_campaign() const {
  return is_voter() || history_.at(commit_index_).is_voter(MemberKey{self(), identity()});
}

void RaftState::append(EntryKind kind, std::string payload) {
  append(LogEntry{log_.last_index() + 1, term(), kind, std::move(payload)});
}

void RaftState::append(LogEntry entry) {
  record_configuration(entry);
  log_.append(std::move(entry));
}

void RaftState::truncate_after(std::uint64_t index) {
  log_.truncate_after(index);
  const bool changes = history_.latest_index() > index;
  history_.truncate_after(index);
  if (changes) observer_.configuration_changed();
}

void RaftState::record_configuration(const LogEntry& entry) {
  if (entry.kind != EntryKind::kConfiguration) return;
  Reason reason;
  auto configuration = wire::decode<Configuration>(entry.payload, reason);
  if (!configuration) {
    halt_at(entry, std::move(reason));
    return;
  }
  history_.append(entry.index, std::move(*configuration));
  observer_.configuration_changed();
}

void RaftState::commit_to(std::uint64_t index) {
  if (halted() || index <= commit_index_) return;
  commit_index_ = index;
  apply_committed();
}

void RaftState::apply_committed() {
  while (applied_index_ < commit_index_ && !halted()) {
    const LogEntry& entry = log_.at(applied_index_ + 1);
    if (auto unreadable = wire::unreadable_format(entry.payload)) {
      halt_at(entry, Reason{ReasonCode::kUnsupported, "apply_entry", "", std::move(*unreadable)});
      break;
    }
    if (entry.kind == EntryKind::kCommand) state_machine_.apply(entry.index, entry.payload);
    ++applied_index_;
  }
  observer_.entries_applied();
}

bool RaftState::needs_snapshot() const {
  return !writing_snapshot_ && applied_index_ - snapshot_last_.index >= settings_.snapshot_after_entries;
}

Awaitable<void> RaftState::take_snapshot() {
  if (writing_snapshot_ || halted() || applied_index_ == snapshot_last_.index) co_return;
  writing_snapshot_ = true;
  Snapshot snapshot;
  snapshot.last = LogBase{applied_index_, *log_.term_at(applied_index_)};
  snapshot.configuration = history_.at(applied_index_);
  snapshot.state = state_machine_.take_snapshot();
  const LogBase last = snapshot.last;
  Reason reason;
  const bool written = co_await snapshot_file_.write(std::move(snapshot), reason);
  writing_snapshot_ = false;
  if (!written) {
    runtime_.logger().log(runtime::LogLevel::kError, "consensus_snapshot_failed", reason, {});
    suspend(reason);
    co_return;
  }
  snapshot_last_ = last;
  const std::uint64_t tail = std::min(kRetainedLogEntries, settings_.snapshot_after_entries);
  if (last.index > tail) log_.compact_to(last.index - tail);
  history_.compact_to(log_.base().index);
  co_await persist();
}

Awaitable<bool> RaftState::install(Snapshot snapshot) {
  if (snapshot.last.index <= commit_index_) co_return true;  // already covered by the committed log
  while (writing_snapshot_ && !halted()) co_await runtime_.sleep_for(settings_.heartbeat_interval);
  if (halted()) co_return false;
  if (snapshot.last.index <= commit_index_) co_return true;
  writing_snapshot_ = true;
  Reason reason;
  const bool stored = co_await snapshot_file_.write(snapshot, reason);
  writing_snapshot_ = false;
  if (!stored) {
    suspend(reason);
    co_return false;
  }
  bool installed = true;
  if (snapshot.last.index > commit_index_) {
    installed = state_machine_.restore_snapshot(snapshot.state, reason);
    if (log_.term_at(snapshot.last.index) != snapshot.last.term) log_.reset(snapshot.last);
    history_.truncate_after(std::max(log_.last_index(), snapshot.last.index));
    history_.append(snapshot.last.index, snapshot.configuration);
    history_.compact_to(snapshot.last.index);
    commit_index_ = applied_index_ = snapshot.last.index;
    observer_.configuration_changed();
  }
  if (!installed) {
    halt(reason);
    co_return false;
  }
  snapshot_last_ = snapshot.last;
  observer_.entries_applied();
  co_return co_await persist();
}

}  // namespace cairnhollow::consensus
