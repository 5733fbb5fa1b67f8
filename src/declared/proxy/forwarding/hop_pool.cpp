#include "declared/proxy/forwarding/hop_pool.h"

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

HopPool::Hop::Hop(runtime::Runtime& runtime, std::shared_ptr<Peer> peer,
                  std::shared_ptr<runtime::HttpConnection> connection)
    : runtime_(runtime), peer_(std::move(peer)), connection_(std::move(connection)) {}

HopPool::Hop::~Hop() {
  --peer_->in_use;
  if (connection_->is_open() && peer_->idle.size() < kHopIdleConnections) {
    peer_->idle.push_back({std::move(connection_), runtime_.now()});
  } else {
    connection_->close();
  }
  peer_->released.notify_one();
}

Awaitable<bool> HopPool::wait_for_capacity(std::shared_ptr<Peer> peer, TimePoint deadline, Reason& reason) {
  while (peer->in_use >= kHopConnections) {
    const bool released = co_await peer->released.wait_until(deadline);
    if (released) continue;
    reason = Reason{ReasonCode::kOverloaded, "open_hop", "", "all connections to the proxy are in use"};
    co_return false;
  }
  co_return true;
}

Awaitable<HopPool::HopPointer> HopPool::acquire(Endpoint endpoint, TimePoint deadline, Reason& reason) {
  auto& known = peers_[endpoint];
  if (!known) known = std::make_shared<Peer>(runtime_);
  const auto peer = known;  // drop_idle() may remove the entry meanwhile
  const bool has_capacity = co_await wait_for_capacity(peer, deadline, reason);
  if (!has_capacity) co_return nullptr;
  ++peer->in_use;
  while (!peer->idle.empty()) {
    auto connection = std::move(peer->idle.back().connection);
    peer->idle.pop_back();
    if (connection->is_open()) co_return std::make_unique<Hop>(runtime_, peer, std::move(connection));
  }
  auto connection = co_await runtime_.http().connect(endpoint, deadline, reason);
  if (connection) co_return std::make_unique<Hop>(runtime_, peer, std::move(connection));
  --peer->in_use;
  peer->released.notify_one();
  co_return nullptr;
}

void HopPool::close_idle(const Endpoint& endpoint) {
  const auto peer = peers_.find(endpoint);
  if (peer == peers_.end()) return;
  for (const auto& idle : peer->second->idle) idle.connection->close();
  peer->second->idle.clear();
}

void HopPool::drop_idle() {
  const TimePoint unused_since = runtime_.now() - kHopIdleTime;
  std::erase_if(peers_, [&](const auto& entry) {
    auto& peer = *entry.second;
    std::erase_if(peer.idle, [&](const Peer::Idle& idle) {
      const bool drop = idle.since <= unused_since || !idle.connection->is_open();
      if (drop) idle.connection->close();
      return drop;
    });
    return peer.idle.empty() && peer.in_use == 0 && peer.released.waiting() == 0;
  });
}

std::size_t HopPool::connections() const {
  std::size_t count = 0;
  for (const auto& [endpoint, peer] : peers_) count += peer->idle.size() + peer->in_use;
  return count;
}

}  // namespace cairnhollow::declared::proxy
