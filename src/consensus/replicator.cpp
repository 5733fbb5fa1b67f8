#include "consensus/replicator.h"

#include <algorithm>

#include "consensus/knobs.h"

namespace cairnhollow::consensus {

Replicator::Replicator(RaftState& state, PeerTable& peers, Member member, std::function<void()> on_progress)
    : state_(state),
      peers_(peers),
      member_(std::move(member)),
      on_progress_(std::move(on_progress)),
      term_(state.term()),
      changed_(state.runtime()),
      heartbeat_changed_(state.runtime()),
      next_index_(state.log().last_index() + 1),
      last_contact_(state.runtime().now()) {}

void Replicator::start(const std::shared_ptr<Replicator>& self) {
  state_.runtime().spawn("consensus_replication", run_replication(self));
  state_.runtime().spawn("consensus_heartbeats", run_heartbeats(self));
}

void Replicator::stop() {
  stopped_ = true;
  changed_.notify_all();
  heartbeat_changed_.notify_all();
}

void Replicator::begin_round(std::uint64_t round) {
  requested_round_ = round;
  heartbeat_changed_.notify_all();
}

bool Replicator::has_pending_updates() const {
  return next_index_ <= state_.log().last_index() || match_index_ == 0 ||
         std::min(state_.commit_index(), match_index_) > sent_commit_index_;
}

Awaitable<void> Replicator::run_replication(std::shared_ptr<Replicator> /*self*/) {
  while (active()) {
    if (!has_pending_updates()) {
      co_await changed_.wait();
      continue;
    }
    bool sent = false;
    if (next_index_ <= state_.log().base().index) {
      sent = co_await send_snapshot();
    } else {
      sent = co_await send_entries();
    }
    if (!sent && active()) {
      co_await changed_.wait_until(state_.runtime().now() + state_.settings().heartbeat_interval);
    }
  }
}

Awaitable<bool> Replicator::send_entries() {
  AppendRequest append;
  append.previous_index = next_index_ - 1;
  append.previous_term = state_.log().term_at(append.previous_index).value_or(0);
  append.commit_index = state_.commit_index();
  append.entries = state_.log().slice(next_index_, kMaxAppendEntries, kMaxAppendBytes);
  const std::uint64_t last_sent = append.previous_index + append.entries.size();
  const std::uint64_t commit_sent = append.commit_index;
  RequestBody body(std::move(append));
  const auto answer = co_await call(std::move(body));
  const auto* result = answer ? std::get_if<AppendAnswer>(&answer->body) : nullptr;
  if (result == nullptr) co_return false;
  if (!result->accepted) {
    // Section 3.5: decrement nextIndex, here to the index suggested by the follower.
    next_index_ =
        std::clamp(result->next_index, match_index_ + 1, std::max(next_index_ - 1, match_index_ + 1));
    co_return true;
  }
  match_index_ = std::max(match_index_, last_sent);
  next_index_ = std::max(next_index_, match_index_ + 1);
  sent_commit_index_ = std::max(sent_commit_index_, std::min(commit_sent, match_index_));
  on_progress_();
  co_return true;
}

Awaitable<bool> Replicator::send_snapshot() {
  Reason reason;
  const auto snapshot = state_.snapshot_file().read(reason);
  if (!snapshot) {
    state_.runtime().logger().log(runtime::LogLevel::kError, "consensus_snapshot_unreadable", reason, {});
  }
  if (!snapshot || snapshot->last.index == 0) co_return false;
  const std::string bytes = SnapshotFile::encode(*snapshot);
  std::uint64_t offset = 0;
  while (active() && offset < bytes.size()) {
    InstallSnapshotRequest chunk;
    chunk.last_index = snapshot->last.index;
    chunk.last_term = snapshot->last.term;
    chunk.offset = offset;
    chunk.total_size = bytes.size();
    chunk.bytes = bytes.substr(offset, kSnapshotChunkBytes);
    RequestBody body(std::move(chunk));
    const auto answer = co_await call(std::move(body));
    const auto* result = answer ? std::get_if<InstallSnapshotAnswer>(&answer->body) : nullptr;
    if (result == nullptr || !result->accepted) co_return false;
    offset = result->next_offset;
  }
  if (!active()) co_return false;
  match_index_ = std::max(match_index_, snapshot->last.index);
  next_index_ = match_index_ + 1;
  on_progress_();
  co_return true;
}

Awaitable<std::optional<PeerAnswer>> Replicator::call(RequestBody body) {
  const TimePoint sent_at = state_.runtime().now();
  const TimePoint deadline = sent_at + state_.settings().election_timeout * 2;
  PeerRequest request = peers_.make_request(member_, std::move(body));
  const auto channel = peers_.channel(member_);
  Reason reason;
  auto answer = co_await channel->call(std::move(request), deadline, reason);
  if (!answer || !active() || !accept(*answer, sent_at)) co_return std::nullopt;
  co_return answer;
}

bool Replicator::accept(const PeerAnswer& answer, TimePoint sent_at) {
  const std::string& expected = member_.identity.empty() ? known_identity_ : member_.identity;
  const bool other = !expected.empty() && answer.identity != expected;
  if (other || answer.refusal == Refusal::kOtherIdentity) {
    log_other_identity();
    return false;
  }
  if (state_.observe_term(answer.term)) return false;
  if (answer.term != term_) return false;
  known_identity_ = answer.identity;
  last_contact_ = std::max(last_contact_, sent_at);
  return true;
}

Duration Replicator::heartbeat_interval() const {
  const bool is_voter = state_.configuration().is_voter(key_of(member_));
  return is_voter ? state_.settings().heartbeat_interval : state_.settings().election_timeout / 2;
}

Awaitable<void> Replicator::run_heartbeats(std::shared_ptr<Replicator> self) {
  while (active()) {
    const TimePoint next = state_.runtime().now() + heartbeat_interval();
    if (heartbeats_in_flight_ < kMaxHeartbeatsInFlight) {
      sent_round_ = requested_round_;
      ++heartbeats_in_flight_;
      state_.runtime().spawn("consensus_heartbeat", send_heartbeat(self, sent_round_));
    }
    bool in_time = true;
    while (active() && in_time) {
      const bool may_send = heartbeats_in_flight_ < kMaxHeartbeatsInFlight;
      if (requested_round_ > sent_round_ && may_send) break;
      in_time = co_await heartbeat_changed_.wait_until(next);
    }
  }
}

Awaitable<void> Replicator::send_heartbeat(std::shared_ptr<Replicator> /*self*/, std::uint64_t round) {
  HeartbeatRequest heartbeat;
  heartbeat.commit_index = std::min(state_.commit_index(), match_index_);
  RequestBody body(heartbeat);
  const auto answer = co_await call(std::move(body));
  --heartbeats_in_flight_;
  heartbeat_changed_.notify_all();
  const auto* result = answer ? std::get_if<HeartbeatAnswer>(&answer->body) : nullptr;
  if (result == nullptr || !result->accepted) co_return;
  acknowledged_round_ = std::max(acknowledged_round_, round);
  sent_commit_index_ = std::max(sent_commit_index_, heartbeat.commit_index);
  on_progress_();
}

void Replicator::log_other_identity() {
  if (other_identity_logged_) return;
  other_identity_logged_ = true;
  const Reason reason{ReasonCode::kConflict, "replicate", member_.node.value,
                      "the member answered with a different identity: another disk or data folder"};
  state_.runtime().logger().log(runtime::LogLevel::kWarning, "consensus_other_identity", reason,
                                {{"identity", member_.identity}});
}

}  // namespace cairnhollow::consensus
