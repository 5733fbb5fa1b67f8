#include "consensus/log_receiver.h"

#include <algorithm>

#include "consensus/knobs.h"

namespace cairnhollow::consensus {

bool LogReceiver::accept_leader(const NodeName& leader, std::uint64_t term) {
  if (term < state_.term()) return false;
  state_.observe_term(term);
  if (state_.role() == ServerState::kLeader) {
    const Reason reason{ReasonCode::kInternal, "append_entries", leader.value,
                        "rejected a request from a second leader of the current term"};
    state_.runtime().logger().log(runtime::LogLevel::kError, "consensus_two_leaders", reason, {});
    return false;
  }
  state_.follow_leader(leader);
  return true;
}

AppendAnswer LogReceiver::append(const NodeName& leader, std::uint64_t term, const AppendRequest& request) {
  if (!accept_leader(leader, term)) return AppendAnswer{false, 0};
  // Committed entries are identical on every server (section 3.6.3), including compacted ones.
  const bool matches = request.previous_index <= state_.commit_index() ||
                       state_.log().term_at(request.previous_index) == request.previous_term;
  if (!matches) return AppendAnswer{false, next_index_after_conflict(request)};
  append_new_entries(request.entries);
  const std::uint64_t last_sent = request.previous_index + request.entries.size();
  observe_commit_index(std::min(request.commit_index, last_sent));
  return AppendAnswer{true, last_sent + 1};
}

std::uint64_t LogReceiver::next_index_after_conflict(const AppendRequest& request) const {
  const Log& log = state_.log();
  if (request.previous_index > log.last_index()) return log.last_index() + 1;
  // Skip the whole conflicting term in one step (end of section 3.5).
  const auto conflicting = log.term_at(request.previous_index);
  std::uint64_t index = request.previous_index;
  while (index > state_.commit_index() + 1 && log.term_at(index - 1) == conflicting) --index;
  return index;
}

void LogReceiver::append_new_entries(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (entry.index <= state_.commit_index()) continue;
    if (state_.log().term_at(entry.index) == entry.term) continue;
    if (entry.index <= state_.log().last_index()) state_.truncate_after(entry.index - 1);
    state_.append(entry);
  }
}

HeartbeatAnswer LogReceiver::heartbeat(const NodeName& leader, std::uint64_t term,
                                       const HeartbeatRequest& request) {
  if (!accept_leader(leader, term)) return HeartbeatAnswer{false};
  observe_commit_index(request.commit_index);
  return HeartbeatAnswer{true};
}

void LogReceiver::observe_commit_index(std::uint64_t index) {
  known_commit_index_ = std::max(known_commit_index_, index);
}

void LogReceiver::commit() { state_.commit_to(std::min(known_commit_index_, state_.log().durable_index())); }

Awaitable<InstallSnapshotAnswer> LogReceiver::install(NodeName leader, std::uint64_t term,
                                                      InstallSnapshotRequest request) {
  if (!accept_leader(leader, term)) co_return InstallSnapshotAnswer{false, 0};
  const LogBase last{request.last_index, request.last_term};
  if (last.index <= state_.commit_index()) co_return InstallSnapshotAnswer{true, request.total_size};
  const bool same = partial_snapshot_ && partial_snapshot_->last.index == last.index &&
                    partial_snapshot_->last.term == last.term;
  if (!same || request.offset == 0) partial_snapshot_ = PartialSnapshot{last, ""};
  if (request.offset != partial_snapshot_->bytes.size() || request.total_size > kMaxSnapshotBytes) {
    co_return InstallSnapshotAnswer{true, partial_snapshot_->bytes.size()};
  }
  partial_snapshot_->bytes += request.bytes;
  if (partial_snapshot_->bytes.size() < request.total_size) {
    co_return InstallSnapshotAnswer{true, partial_snapshot_->bytes.size()};
  }
  const std::string bytes = std::move(partial_snapshot_->bytes);
  partial_snapshot_.reset();
  Reason reason;
  auto snapshot = SnapshotFile::decode(bytes, reason);
  if (!snapshot) {
    reason.peer = leader.value;
    state_.runtime().logger().log(runtime::LogLevel::kError, "consensus_snapshot_unreadable", reason, {});
    co_return InstallSnapshotAnswer{false, 0};
  }
  const bool installed = co_await state_.install(std::move(*snapshot));
  co_return InstallSnapshotAnswer{installed, request.total_size};
}

}  // namespace cairnhollow::consensus
