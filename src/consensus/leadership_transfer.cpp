#include "consensus/leadership_transfer.h"

namespace cairnhollow::consensus {
namespace {

Awaitable<void> send(std::shared_ptr<PeerChannel> channel, PeerRequest request, TimePoint deadline) {
  Reason ignored;
  co_await channel->call(std::move(request), deadline, ignored);
}

}  // namespace

void send_timeout_now(RaftState& state, PeerTable& peers, const Member& target) {
  PeerRequest request = peers.make_request(target, TimeoutNowRequest{});
  const TimePoint deadline = state.runtime().now() + state.settings().election_timeout;
  state.runtime().spawn("consensus_hand_over", send(peers.channel(target), std::move(request), deadline));
}

Awaitable<bool> transfer_leadership(RaftState& state, PeerTable& peers,
                                    std::shared_ptr<Leadership> leadership, TimePoint deadline) {
  bool in_time = true;
  bool told = false;
  while (leadership->active() && in_time) {
    const auto target = leadership->choose_transfer_target();
    if (!target) co_return false;
    const auto replicator = leadership->replicator(key_of(*target));
    if (!told && replicator->match_index() == state.log().last_index()) {
      send_timeout_now(state, peers, *target);
      told = true;
    }
    in_time = co_await leadership->progress().wait_until(deadline);
  }
  co_return !leadership->active();
}

}  // namespace cairnhollow::consensus
