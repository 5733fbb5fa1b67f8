#include "consensus/peer_server.h"

#include "consensus/knobs.h"
#include "consensus/voting.h"

namespace cairnhollow::consensus {
namespace {

bool depends_on_log(const RequestBody& body) {
  return std::holds_alternative<AppendRequest>(body) || std::holds_alternative<InstallSnapshotRequest>(body);
}

}  // namespace

PeerServer::PeerServer(RaftState& state, Election& election, ReadBarrier::RoundFunction read_index)
    : state_(state), election_(election), receiver_(state), read_index_(std::move(read_index)) {}

Awaitable<void> PeerServer::serve(std::shared_ptr<runtime::FrameConnection> frames, NodeName /*peer*/) {
  runtime::Runtime& runtime = state_.runtime();
  auto connection = std::make_shared<Connection>(runtime, frames);
  runtime.spawn("consensus_answer_sender", connection->sender->run(connection->sender));
  while (!state_.halted()) {
    Reason reason;
    const auto frame = co_await frames->receive(reason);
    if (!frame || state_.halted()) break;
    auto request = wire::decode<PeerRequest>(*frame, reason);
    if (!request) break;
    ++connection->in_flight;
    runtime.spawn("consensus_request", handle(connection, std::move(*request)));
    while (connection->in_flight >= kMaxRequestsPerConnection) co_await connection->changed.wait();
  }
  connection->sender->close();
}

Awaitable<void> PeerServer::handle(std::shared_ptr<Connection> connection, PeerRequest request) {
  const auto result = co_await answer(std::move(request));
  --connection->in_flight;
  connection->changed.notify_all();
  if (result) connection->sender->push(wire::encode(*result));
}

Awaitable<std::optional<PeerAnswer>> PeerServer::answer(PeerRequest request) {
  PeerAnswer answer;
  answer.correlation = request.correlation;
  answer.identity = state_.identity();
  if (!request.to_identity.empty() && request.to_identity != state_.identity()) {
    answer.refusal = Refusal::kOtherIdentity;
    co_return answer;
  }
  answer.body = co_await execute(request);
  answer.refusal = check_sender(request, answer.body);
  answer.term = state_.term();
  // State that the answer depends on must be durable before the answer is sent. Only answers about the log
  // wait for the log, so that a slow disk behind a large append does not delay heartbeats.
  bool durable = co_await state_.persist_term_and_vote();
  if (durable && depends_on_log(request.body)) durable = co_await state_.persist();
  if (!durable) co_return std::nullopt;
  receiver_.commit();
  co_return answer;
}

Awaitable<AnswerBody> PeerServer::execute(PeerRequest request) {
  if (const auto* vote = std::get_if<VoteRequest>(&request.body)) {
    co_return answer_vote(state_, request.from, *vote);
  }
  if (const auto* heartbeat = std::get_if<HeartbeatRequest>(&request.body)) {
    co_return receiver_.heartbeat(request.from, request.term, *heartbeat);
  }
  if (const auto* append = std::get_if<AppendRequest>(&request.body)) {
    co_return receiver_.append(request.from, request.term, *append);
  }
  if (auto* install = std::get_if<InstallSnapshotRequest>(&request.body)) {
    const auto result = co_await receiver_.install(request.from, request.term, std::move(*install));
    co_return result;
  }
  if (std::holds_alternative<TimeoutNowRequest>(request.body)) {
    if (request.term == state_.term() && request.from == state_.leader()) election_.start_now();
    co_return TimeoutNowAnswer{};
  }
  const auto result = co_await read_index(request);
  co_return result;
}

Awaitable<ReadIndexAnswer> PeerServer::read_index(const PeerRequest& request) {
  ReadIndexAnswer result;
  if (state_.role() == ServerState::kLeader) {
    result.index = co_await read_index_(result.reason);
  } else {
    result.reason = Reason{
        ReasonCode::kNoQuorum, "read_barrier", state_.self().value,
        "read index requested by " + request.from.value + " refused: this node is no longer the leader"};
  }
  co_return result;
}

Refusal PeerServer::check_sender(const PeerRequest& request, const AnswerBody& body) const {
  const auto* vote = std::get_if<VoteAnswer>(&body);
  const bool refused_vote = vote != nullptr && !vote->granted;
  const MemberKey sender{request.from, request.from_identity};
  const bool is_member = state_.configuration().is_member(sender);
  return refused_vote && state_.configuration().formed && !is_member ? Refusal::kNotMember : Refusal::kNone;
}

}  // namespace cairnhollow::consensus
