#include "consensus/election.h"

#include <algorithm>
#include <string>

namespace cairnhollow::consensus {

Election::Election(RaftState& state, PeerTable& peers, std::function<void(VoterIdentities)> on_elected)
    : state_(state), peers_(peers), on_elected_(std::move(on_elected)), changed_(state.runtime()) {}

void Election::start_now() {
  transfer_requested_ = true;
  changed_.notify_all();
}

Awaitable<void> Election::run() {
  runtime::Runtime& runtime = state_.runtime();
  const Duration timeout = state_.settings().election_timeout;
  bool is_first = is_first_election();
  Duration chosen = choose_timeout();
  last_campaign_ = runtime.now();
  while (!state_.halted_permanently()) {
    // After the first election, use the usual timeout: heartbeats may be further apart than the first
    // timeout, and several servers timing out together would depose the new leader.
    if (is_first && !is_first_election()) chosen = choose_timeout();
    is_first = is_first_election();
    const bool may_campaign =
        !state_.halted() && state_.role() != ServerState::kLeader && state_.may_campaign();
    const TimePoint since = std::max(state_.election_timer_start(), last_campaign_);
    const TimePoint deadline = std::max(since + chosen, ignore_silence_until_);
    if (!may_campaign || (runtime.now() < deadline && !transfer_requested_)) {
      transfer_requested_ = transfer_requested_ && may_campaign;
      const TimePoint wake = may_campaign ? deadline : runtime.now() + timeout;
      co_await changed_.wait_until(wake);
      // This server was delayed: process messages received meanwhile before declaring the leader silent.
      const Duration interval = state_.settings().heartbeat_interval;
      if (runtime.now() <= wake + interval || excused_silence_start_ == since) continue;
      excused_silence_start_ = since;
      ignore_silence_until_ = runtime.now() + interval;
      continue;
    }
    const bool transfer = transfer_requested_;
    transfer_requested_ = false;
    co_await campaign(transfer);
    last_campaign_ = runtime.now();
    chosen = choose_timeout();
  }
}

bool Election::is_first_election() const {
  const bool restarted = state_.leader().empty() && state_.configuration().formed;
  return restarted && state_.settings().first_election_timeout > Duration(0);
}

Duration Election::choose_timeout() const {
  const RaftSettings& settings = state_.settings();
  Duration timeout = settings.election_timeout;
  if (is_first_election()) timeout = settings.first_election_timeout;
  return state_.runtime().random().between(timeout, timeout * 2);
}

void Election::log_campaign(bool leadership_transfer) const {
  const std::int64_t silence = in_ms(state_.runtime().now() - state_.election_timer_start());
  state_.runtime().logger().log(runtime::LogLevel::kInfo, "consensus_campaign",
                                {{"term", std::to_string(state_.term())},
                                 {"leader", state_.leader().value},
                                 {"silent_ms", std::to_string(silence)},
                                 {"transfer", leadership_transfer ? "true" : "false"}});
}

Awaitable<void> Election::campaign(bool leadership_transfer) {
  log_campaign(leadership_transfer);
  if (!leadership_transfer) {
    state_.become_pre_candidate();
    auto ballot = std::make_shared<Ballot>();
    ballot->request = make_request(true, state_.term() + 1);
    const bool likely = co_await collect_votes(ballot, ServerState::kPreCandidate);
    if (!likely) co_return;
  }
  state_.become_candidate();
  const std::uint64_t term = state_.term();
  const bool durable = co_await state_.persist_term_and_vote();  // its own vote counts only once durable
  if (!durable || state_.term() != term || state_.role() != ServerState::kCandidate) co_return;
  auto ballot = std::make_shared<Ballot>();
  ballot->request = make_request(false, term);
  ballot->request.leadership_transfer = leadership_transfer;
  const bool won = co_await collect_votes(ballot, ServerState::kCandidate);
  if (!won) co_return;
  state_.become_leader();
  on_elected_(ballot->granted);
}

Awaitable<bool> Election::collect_votes(std::shared_ptr<Ballot> ballot, ServerState role) {
  const std::uint64_t term = state_.term();
  const TimePoint deadline = state_.runtime().now() + state_.settings().election_timeout;
  for (const Member& member : state_.configuration().all()) {
    if (member.role != MemberRole::kVoter && !state_.configuration().is_voter(key_of(member))) continue;
    if (member.node == state_.self()) {
      ballot->granted.emplace(state_.self(), state_.identity());
      continue;
    }
    ++ballot->unanswered;
    state_.runtime().spawn("consensus_vote", request_vote(ballot, member, deadline));
  }
  bool in_time = true;
  while (state_.term() == term && state_.role() == role && !state_.halted()) {
    if (has_quorum(*ballot)) co_return true;
    if (ballot->unanswered == 0 || !in_time) break;
    in_time = co_await changed_.wait_until(deadline);
  }
  if (state_.term() == term && state_.role() == role) state_.step_down();
  co_return false;
}

Awaitable<void> Election::request_vote(std::shared_ptr<Ballot> ballot, Member member, TimePoint deadline) {
  PeerRequest request = peers_.make_request(member, ballot->request);
  const auto channel = peers_.channel(member);
  Reason reason;
  const auto answer = co_await channel->call(std::move(request), deadline, reason);
  --ballot->unanswered;
  const bool same_identity = answer && (member.identity.empty() || answer->identity == member.identity);
  if (same_identity && answer->refusal == Refusal::kNotMember) log_not_member(member);
  const auto* vote = same_identity ? std::get_if<VoteAnswer>(&answer->body) : nullptr;
  if (vote != nullptr && vote->granted) ballot->granted.emplace(member.node, answer->identity);
  if (vote != nullptr && !vote->granted) state_.observe_term(answer->term);
  changed_.notify_all();
}

VoteRequest Election::make_request(bool pre_vote, std::uint64_t term) const {
  VoteRequest request;
  request.pre_vote = pre_vote;
  request.term = term;
  request.last_index = state_.log().last_index();
  request.last_term = state_.log().last_term();
  return request;
}

bool Election::has_quorum(const Ballot& ballot) const {
  const Configuration& configuration = state_.configuration();
  return configuration.has_quorum([&](const Member& member) {
    const auto vote = ballot.granted.find(member.node);
    if (vote == ballot.granted.end()) return false;
    return !configuration.formed || vote->second == member.identity;
  });
}

void Election::log_not_member(const Member& member) {
  if (not_member_logged_) return;
  not_member_logged_ = true;
  const Reason reason{ReasonCode::kNotFound, "request_vote", member.node.value,
                      "the group has no member with this node's identity; the node must be added again"};
  state_.runtime().logger().log(runtime::LogLevel::kWarning, "consensus_not_member", reason,
                                {{"identity", state_.identity()}});
}

}  // namespace cairnhollow::consensus
