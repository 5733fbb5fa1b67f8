#include "consensus/raft_node.h"

#include "consensus/knobs.h"
#include "consensus/leadership_transfer.h"

namespace cairnhollow::consensus {

std::unique_ptr<RaftNode> make_raft_node(runtime::Runtime& runtime, ReplicatedStateMachine& state_machine,
                                         RaftSettings settings) {
  return std::make_unique<RaftServer>(runtime, state_machine, std::move(settings));
}

RaftServer::RaftServer(runtime::Runtime& runtime, ReplicatedStateMachine& state_machine,
                       RaftSettings settings)
    : runtime_(runtime),
      state_(runtime, state_machine, std::move(settings), *this),
      peers_(state_),
      election_(state_, peers_, [this](const VoterIdentities& voters) { on_elected(voters); }),
      read_barrier_(state_, [this](Reason& reason) { return run_read_round(reason); }),
      peer_server_(state_, election_, [this](Reason& reason) { return run_read_round(reason); }),
      proposals_(runtime),
      membership_(state_, peers_) {}

Awaitable<bool> RaftServer::start(Reason& reason) {
  if (!state_.recover(reason)) co_return false;
  // After a failed write the storage is retried while the server does not participate.
  const bool durable = co_await state_.persist();
  if (!durable && state_.halted_permanently()) {
    reason = state_.halt_reason();
    co_return false;
  }
  started_ = true;
  peers_.update_channels();
  runtime_.spawn("consensus_election", election_.run());
  co_return true;
}

Awaitable<void> RaftServer::serve(std::shared_ptr<runtime::FrameConnection> connection, NodeName peer) {
  co_await peer_server_.serve(std::move(connection), std::move(peer));
}

Awaitable<void> RaftServer::stop() {
  stopping_ = true;
  const TimePoint deadline = runtime_.now() + state_.settings().election_timeout * 2;
  if (leadership_ != nullptr) co_await transfer_leadership(state_, peers_, leadership_, deadline);
  state_.halt(Reason{ReasonCode::kCancelled, "stop", "", "the node is stopping"});
  peers_.close_all();
}

void RaftServer::on_elected(const VoterIdentities& voters) {
  leadership_ = std::make_shared<Leadership>(state_, peers_);
  leadership_->start(leadership_, voters);
  runtime_.logger().log(runtime::LogLevel::kInfo, "consensus_leader_elected",
                        {{"term", std::to_string(state_.term())}});
}

void RaftServer::leadership_ended(std::uint64_t term) {
  if (leadership_ == nullptr) return;
  const auto ended = std::move(leadership_);
  leadership_ = nullptr;
  ended->end();
  proposals_.fail_all(
      Reason{ReasonCode::kOutcomeUnknown, "propose", "", "leadership was lost before the entry was applied"});
  runtime_.logger().log(runtime::LogLevel::kInfo, "consensus_leadership_ended",
                        {{"term", std::to_string(term)}});
}

void RaftServer::entries_applied() {
  proposals_.applied(state_.applied_index(), state_.log());
  read_barrier_.notify();
  if (state_.needs_snapshot()) {
    runtime_.spawn("consensus_snapshot", state_.take_snapshot());
  }
}

void RaftServer::role_changed() {
  election_.notify();
  read_barrier_.notify();
}

void RaftServer::configuration_changed() {
  if (!started_) return;  // no outgoing connections before recovery is complete
  peers_.update_channels();
  election_.notify();
}

Awaitable<std::optional<std::uint64_t>> RaftServer::propose(std::string command, TimePoint deadline,
                                                            Reason& reason) {
  if (!check_proposal(command, reason)) co_return std::nullopt;
  const std::uint64_t term = leadership_->term();
  const std::uint64_t index = leadership_->append(EntryKind::kCommand, std::move(command));
  co_return co_await proposals_.wait(index, term, deadline, reason);
}

bool RaftServer::check_proposal(const std::string& command, Reason& reason) const {
  if (command.size() > kMaxCommandBytes) {
    reason = Reason{ReasonCode::kInvalidArgument, "propose", "", "the command exceeds the size limit"};
  } else if (!check_running("propose", reason)) {
    return false;
  } else if (leadership_ == nullptr) {
    reason = Reason{ReasonCode::kNotLeader, "propose", state_.leader().value, "this node is not the leader"};
  } else if (!leadership_->has_committed_own_entry() && !state_.configuration().formed) {
    reason =
        Reason{ReasonCode::kNoQuorum, "propose", "", "the group's first configuration is not committed yet"};
  } else if (state_.log().last_index() - state_.applied_index() >= kMaxProposalsInFlight) {
    reason = Reason{ReasonCode::kOverloaded, "propose", "", "too many proposals are in flight"};
  } else {
    return true;
  }
  return false;
}

Awaitable<std::optional<std::uint64_t>> RaftServer::read_barrier(TimePoint deadline, Reason& reason) {
  if (state_.halted()) {
    reason = state_.halt_reason();
    co_return std::nullopt;
  }
  co_return co_await read_barrier_.wait(deadline, reason);
}

Awaitable<std::optional<std::uint64_t>> RaftServer::run_read_round(Reason& reason) {
  const TimePoint deadline = runtime_.now() + state_.settings().election_timeout * 2;
  std::optional<std::uint64_t> index;
  if (leadership_ != nullptr) {
    index = co_await confirm_read_index(state_, leadership_, deadline, reason);
  } else {
    index = co_await request_read_index(state_, peers_, deadline, reason);
  }
  co_return index;
}

bool RaftServer::check_running(const std::string& step, Reason& reason) const {
  if (!stopping_ && !state_.halted()) return true;
  reason = Reason{ReasonCode::kCancelled, step, "", "the node is stopping"};
  return false;
}

Awaitable<bool> RaftServer::add_member(Member member, TimePoint deadline, Reason& reason) {
  if (!check_running("add_member", reason)) co_return false;
  co_return co_await membership_.add(leadership_, std::move(member), deadline, reason);
}

Awaitable<bool> RaftServer::remove_member(NodeName node, TimePoint deadline, Reason& reason) {
  if (!check_running("remove_member", reason)) co_return false;
  co_return co_await membership_.remove(leadership_, std::move(node), deadline, reason);
}

Awaitable<bool> RaftServer::replace_member(NodeName lost, Member replacement, TimePoint deadline,
                                           Reason& reason) {
  if (!check_running("replace_member", reason)) co_return false;
  co_return co_await membership_.replace(leadership_, std::move(lost), std::move(replacement), deadline,
                                         reason);
}

ConsensusStatus RaftServer::status() const {
  ConsensusStatus status;
  status.state = state_.role();
  status.term = state_.term();
  status.leader = state_.leader();
  status.last_index = state_.log().last_index();
  status.commit_index = state_.commit_index();
  status.applied_index = state_.applied_index();
  status.snapshot_index = state_.snapshot_index();
  status.members = state_.configuration().all();
  return status;
}

}  // namespace cairnhollow::consensus
