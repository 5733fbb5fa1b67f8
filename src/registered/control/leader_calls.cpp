#include "registered/control/leader_calls.h"

#include <algorithm>

#include "runtime/discards_on_close.h"
#include "wire/codec.h"

namespace cairnhollow::registered::control {

namespace {

/// Batches are submitted at most once per interval, with at most this many commands each, so that mass
/// registrations do not overload the log.
/// Of 900 backends that registered at once, 786 were accepted within 8 s without batches, and all within 2
/// s with them.
constexpr Duration kBatchInterval = std::chrono::milliseconds(20);
constexpr std::size_t kMaxBatchCommands = 512;
/// Time limit of the leader for replacing a voter on request, and the delay before the next request.
constexpr Duration kReleaseCallTimeout = std::chrono::milliseconds(1500);
constexpr Duration kReleaseRetryDelay = std::chrono::milliseconds(50);
/// Timeout for the leader's response to a presence report.
constexpr Duration kLeaderCallTimeout = std::chrono::milliseconds(700);

}  // namespace

LeaderCalls::LeaderCalls(runtime::Runtime& runtime, consensus::Consensus& consensus,
                         ControlNodeDirectory& directory, NodeName node, Endpoint own_endpoint)
    : runtime_(runtime),
      consensus_(consensus),
      directory_(directory),
      node_(std::move(node)),
      own_endpoint_(std::move(own_endpoint)) {}

bool LeaderCalls::leads() const { return consensus_.leads(); }

std::optional<Endpoint> LeaderCalls::leader_endpoint() const {
  const consensus::ConsensusStatus status = consensus_.status();
  if (status.leader.empty()) return std::nullopt;
  return Endpoint{status.leader.value, own_endpoint_.port};
}

Reason LeaderCalls::not_leader() const {
  const NodeName leader = consensus_.status().leader;
  return Reason{ReasonCode::kNotLeader, "find_leader", leader.value, "this control node is not the leader"};
}

Awaitable<bool> LeaderCalls::submit(registry::Command command, Reason& reason) {
  if (leads()) co_return co_await propose(std::move(command), reason);
  co_return co_await submit_to_leader(std::move(command), reason);
}

Awaitable<bool> LeaderCalls::propose_as_leader(registry::Command command, Reason& reason) {
  if (leads()) co_return co_await propose(std::move(command), reason);
  reason = not_leader();
  co_return false;
}

Awaitable<bool> LeaderCalls::submit_batched(registry::SingleCommand command, Reason& reason) {
  co_return co_await add_to_batch(Proposer::kAnyNode, std::move(command), reason);
}

Awaitable<bool> LeaderCalls::propose_batched(registry::SingleCommand command, Reason& reason) {
  co_return co_await add_to_batch(Proposer::kThisNode, std::move(command), reason);
}

Awaitable<bool> LeaderCalls::add_to_batch(Proposer proposer, registry::SingleCommand command,
                                          Reason& reason) {
  std::shared_ptr<Batch>& open = open_batch(proposer).batch;
  const bool is_first = !open;
  if (is_first) open = std::make_shared<Batch>(runtime_);
  const auto batch = open;
  batch->commands.push_back(std::move(command));
  if (batch->commands.size() >= kMaxBatchCommands) open.reset();
  if (is_first) runtime_.spawn("submit_batch", submit_batch(proposer, batch));
  while (!batch->is_complete) co_await batch->completion.wait();
  reason = batch->reason;
  co_return batch->done;
}

Awaitable<void> LeaderCalls::submit_batch(Proposer proposer, std::shared_ptr<Batch> batch) {
  OpenBatch& open = open_batch(proposer);
  const TimePoint next = open.last_submitted_at + kBatchInterval;
  if (next > runtime_.now()) co_await runtime_.sleep_for(next - runtime_.now());
  open.last_submitted_at = runtime_.now();
  if (open.batch == batch) open.batch.reset();
  registry::Command command;
  if (batch->commands.size() == 1) {
    command = std::visit([](auto& single) { return registry::Command(std::move(single)); },
                         batch->commands.front());
  } else {
    command = registry::CommandBatch{std::move(batch->commands)};
  }
  if (proposer == Proposer::kThisNode) {
    batch->done = co_await propose_as_leader(std::move(command), batch->reason);
  } else {
    batch->done = co_await submit(std::move(command), batch->reason);
  }
  batch->is_complete = true;
  batch->completion.notify_all();
}

Awaitable<bool> LeaderCalls::propose(registry::Command command, Reason& reason) {
  registry::LoggedCommand logged{std::move(command)};
  const TimePoint deadline = runtime_.now() + kCommitTimeout;
  const auto index =
      co_await consensus_.propose(wire::encode_from(logged, wire::kWrittenFormat), deadline, reason);
  co_return index.has_value();
}

Awaitable<bool> LeaderCalls::submit_to_leader(registry::Command command, Reason& reason) {
  const auto leader = known_leader();
  if (!leader) {
    reason = Reason{ReasonCode::kNoQuorum, "submit", "",
                    "no leader is known to this control node; command not submitted"};
    co_return false;
  }
  registry::ControlCall request;
  request.body = registry::SubmitCommand{std::move(command)};
  const TimePoint deadline = runtime_.now() + kCommitTimeout;
  const auto answer = co_await call(*leader, std::move(request), deadline, reason);
  if (answer && answer->refusal) reason = *answer->refusal;
  co_return answer && !answer->refusal;
}

Awaitable<void> LeaderCalls::close_at(std::shared_ptr<runtime::FrameConnection> connection,
                                      TimePoint deadline, std::shared_ptr<bool> done) {
  co_await runtime_.sleep_for(deadline - runtime_.now());
  if (!*done) connection->close();
}

Awaitable<std::shared_ptr<runtime::FrameConnection>> LeaderCalls::connect(Endpoint endpoint,
                                                                          TimePoint deadline,
                                                                          Reason& reason) {
  auto connection = co_await runtime_.network().connect(endpoint, deadline, reason);
  // A command whose answer did not come must not reach the leader after a later one.
  if (!connection || !runtime::discard_on_close(*connection, reason)) co_return nullptr;
  wire::Hello hello;
  hello.conversation = wire::Conversation::kLeader;
  hello.node = node_;
  hello.highest_version = hello.protocol_version;
  const bool greeted = co_await connection->send(wire::encode(hello), reason);
  if (!greeted) co_return nullptr;
  co_return connection;
}

Awaitable<std::optional<registry::ControlAnswer>> LeaderCalls::call(Endpoint endpoint,
                                                                    registry::ControlCall call,
                                                                    TimePoint deadline, Reason& reason) {
  std::shared_ptr<runtime::FrameConnection> connection;
  const auto idle = std::find_if(idle_links_.begin(), idle_links_.end(),
                                 [&](const Link& link) { return link.endpoint == endpoint; });
  if (idle != idle_links_.end()) {
    connection = idle->connection;
    idle_links_.erase(idle);
  } else {
    connection = co_await connect(endpoint, deadline, reason);
  }
  if (!connection) co_return std::nullopt;
  const auto done = std::make_shared<bool>(false);
  runtime_.spawn("leader_call_limit", close_at(connection, deadline, done));
  const bool sent = co_await connection->send(wire::encode_from(call, wire::kWrittenFormat), reason);
  std::optional<std::string> frame;
  if (sent) frame = co_await connection->receive(reason);
  *done = true;
  std::optional<registry::ControlAnswer> answer;
  if (frame) answer = wire::decode<registry::ControlAnswer>(*frame, reason);
  if (answer) {
    idle_links_.push_back(Link{endpoint, connection});
  } else {
    connection->close();
  }
  co_return answer;
}

Awaitable<void> LeaderCalls::serve(std::shared_ptr<runtime::FrameConnection> connection) {
  while (true) {
    Reason reason;
    const auto frame = co_await connection->receive(reason);
    if (!frame) co_return;
    auto request = wire::decode<registry::ControlCall>(*frame, reason);
    if (!request) co_return;
    const registry::ControlAnswer response = co_await answer(std::move(*request));
    const bool sent = co_await connection->send(wire::encode(response), reason);
    if (!sent) co_return;
  }
}

Awaitable<registry::ControlAnswer> LeaderCalls::answer(registry::ControlCall call) {
  registry::ControlAnswer response;
  response.correlation = call.correlation;
  if (!leads()) {
    response.refusal = not_leader();
    co_return response;
  }
  if (const auto* presence = std::get_if<registry::Presence>(&call.body)) {
    directory_.record_presence(presence->sender, runtime_.now());
    response.control_endpoints = directory_.serving_endpoints(runtime_.now());
    co_return response;
  }
  if (const auto* offer = std::get_if<registry::OfferVote>(&call.body)) {
    if (on_offer_) on_offer_(offer->sender);
    co_return response;
  }
  Reason reason;
  bool done = false;
  if (const auto* release = std::get_if<registry::ReleaseVote>(&call.body)) {
    const consensus::Member stopping = release->sender;
    done = co_await replace_stopping(stopping, runtime_.now() + kReleaseCallTimeout, reason);
  } else {
    auto submit = std::get<registry::SubmitCommand>(std::move(call.body));
    done = co_await propose(std::move(submit.command), reason);
  }
  if (!done) response.refusal = reason;
  co_return response;
}

Awaitable<bool> LeaderCalls::replace_stopping(consensus::Member stopping, TimePoint deadline,
                                              Reason& reason) {
  directory_.record_stopping(stopping.node, runtime_.now());
  if (!on_release_) co_return false;
  co_return co_await on_release_(stopping, deadline, reason);
}

Awaitable<bool> LeaderCalls::release_vote(consensus::Member self, TimePoint deadline, Reason& reason) {
  announcing_ = false;
  bool released = false;
  while (!released && runtime_.now() < deadline) {
    reason = Reason{};
    released = co_await release_vote_once(self, deadline, reason);
    if (reason.code == ReasonCode::kNotFound) break;
    if (!released) co_await runtime_.sleep_for(kReleaseRetryDelay);
  }
  co_return released;
}

Awaitable<bool> LeaderCalls::release_vote_once(consensus::Member self, TimePoint deadline, Reason& reason) {
  const TimePoint limit = std::min(deadline, runtime_.now() + kReleaseCallTimeout);
  if (leads()) co_return co_await replace_stopping(self, limit, reason);
  const auto leader = known_leader();
  if (!leader) {
    reason = not_leader();
    co_return false;
  }
  registry::ControlCall request;
  request.body = registry::ReleaseVote{std::move(self)};
  const auto answer = co_await call(*leader, std::move(request), limit, reason);
  if (!answer || !answer->refusal) co_return answer.has_value();
  reason = *answer->refusal;
  if (reason.code == ReasonCode::kNotLeader && !reason.peer.empty())
    hinted_leader_ = Endpoint{reason.peer, own_endpoint_.port};
  co_return false;
}

void LeaderCalls::announce(consensus::Member self, bool may_offer) {
  may_offer_ = may_offer;
  runtime_.spawn("announce", run_announcements(std::move(self)));
}

Awaitable<void> LeaderCalls::run_announcements(consensus::Member self) {
  while (!stopping_ && announcing_) {
    if (leads()) {
      directory_.record_presence(self, runtime_.now());
    } else {
      co_await announce_once(self);
    }
    co_await runtime_.sleep_for(kPresenceInterval);
  }
}

Awaitable<void> LeaderCalls::offer_vote(Endpoint leader, consensus::Member self) {
  registry::ControlCall request;
  request.body = registry::OfferVote{std::move(self)};
  Reason reason;
  co_await call(std::move(leader), std::move(request), runtime_.now() + kLeaderCallTimeout, reason);
}

Awaitable<void> LeaderCalls::announce_once(consensus::Member self) {
  std::optional<Endpoint> target = leader_endpoint();
  if (!target) target = hinted_leader_;
  hinted_leader_.reset();
  if (!target) {
    const std::vector<Endpoint> endpoints = directory_.endpoints();
    if (endpoints.empty()) co_return;
    target = endpoints[next_endpoint_++ % endpoints.size()];
  }
  if (*target == own_endpoint_) co_return;
  registry::ControlCall request;
  request.body = registry::Presence{self};
  Reason reason;
  const TimePoint deadline = runtime_.now() + kLeaderCallTimeout;
  const auto answer = co_await call(*target, std::move(request), deadline, reason);
  if (!answer) co_return;
  directory_.record_endpoints(answer->control_endpoints);
  if (!answer->refusal) {
    hinted_leader_ = target;
    // A node that knows of no member has never been one.
    if (may_offer_ && consensus_.status().members.empty())
      runtime_.spawn("offer_vote", offer_vote(*target, self));
  } else if (!answer->refusal->peer.empty()) {
    hinted_leader_ = Endpoint{answer->refusal->peer, own_endpoint_.port};
  }
}

}  // namespace cairnhollow::registered::control
