#include "consensus/read_index.h"

namespace cairnhollow::consensus {
namespace {

Reason no_quorum(std::string detail) {
  return Reason{ReasonCode::kNoQuorum, "read_barrier", "", std::move(detail)};
}

}  // namespace

Awaitable<std::optional<std::uint64_t>> confirm_read_index(RaftState& state,
                                                           std::shared_ptr<Leadership> leadership,
                                                           TimePoint deadline, Reason& reason) {
  bool in_time = true;
  while (leadership->active() && !leadership->has_committed_own_entry() && in_time) {
    in_time = co_await leadership->progress().wait_until(deadline);
  }
  const std::uint64_t index = state.commit_index();
  const std::uint64_t round = leadership->begin_round();
  while (leadership->active() && !leadership->is_round_confirmed(round) && in_time) {
    in_time = co_await leadership->progress().wait_until(deadline);
  }
  if (leadership->active() && in_time) co_return index;
  reason =
      no_quorum(in_time ? "leadership was lost during the round" : "no quorum answered before the deadline");
  co_return std::nullopt;
}

Awaitable<std::optional<std::uint64_t>> request_read_index(RaftState& state, PeerTable& peers,
                                                           TimePoint deadline, Reason& reason) {
  const Member* leader = state.configuration().find(state.leader());
  if (state.leader().empty() || leader == nullptr) {
    reason = no_quorum("no leader is known");
    co_return std::nullopt;
  }
  const Member member = *leader;
  PeerRequest request = peers.make_request(member, ReadIndexRequest{});
  const auto channel = peers.channel(member);
  const auto answer = co_await channel->call(std::move(request), deadline, reason);
  if (!answer) co_return std::nullopt;
  const auto* result = std::get_if<ReadIndexAnswer>(&answer->body);
  if (result == nullptr || answer->refusal != Refusal::kNone) {
    reason = no_quorum("the leader refused the read index request");
    reason.peer = member.node.value;
    co_return std::nullopt;
  }
  if (!result->index) reason = result->reason;
  co_return result->index;
}

}  // namespace cairnhollow::consensus
