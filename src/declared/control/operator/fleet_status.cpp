#include "declared/control/operator/fleet_status.h"

#include <algorithm>

namespace cairnhollow::declared::control {

std::vector<ProxyStatus> proxy_status(const FollowerRegistry& registry, const PeerDirectory& peers,
                                      const NodeName& control_node, TimePoint now) {
  std::vector<ProxyStatus> proxies;
  for (const auto& follower : registry.list()) {
    if (peers.find(follower.node)) continue;
    ProxyStatus status;
    status.proxy = follower.node;
    status.zone = follower.zone;
    status.control_node = control_node;
    status.revision = follower.revision;
    status.lease_left = std::max<Duration>(Duration(0), follower.lease_until - now);
    status.in_flight = follower.in_flight;
    status.draining = follower.draining;
    proxies.push_back(std::move(status));
  }
  return proxies;
}

std::vector<ProxyStatus> FleetStatusSource::followers() const {
  return proxy_status(followers_.registry(), peers_, node_, runtime_.now());
}

std::vector<ControlPeerStatus> peer_status(const PeerDirectory& peers, TimePoint now) {
  std::vector<ControlPeerStatus> statuses;
  for (const auto& [node, peer] : peers.peers()) {
    ControlPeerStatus status;
    status.node = node;
    status.operator_endpoint = peer.last_message.operator_endpoint;
    status.reachable = peer.alive(now);
    status.revision = peer.last_message.revision;
    status.followers_serving = peer.last_message.followers_serving;
    status.followers_least_revision = peer.last_message.followers_least_revision;
    statuses.push_back(std::move(status));
  }
  return statuses;
}

std::vector<OtherControlNode> non_member_nodes(const std::vector<consensus::Member>& members,
                                               const std::vector<ControlPeerStatus>& peers) {
  std::vector<OtherControlNode> others;
  for (const auto& peer : peers) {
    const bool is_member = std::any_of(members.begin(), members.end(),
                                       [&](const auto& member) { return member.node == peer.node; });
    if (is_member) continue;
    OtherControlNode other{peer.node, peer.reachable, std::nullopt};
    if (peer.operator_endpoint.port != 0) other.operator_endpoint = peer.operator_endpoint;
    others.push_back(std::move(other));
  }
  return others;
}

std::vector<ControlPeerStatus> FleetStatusSource::control_peers() const {
  std::map<NodeName, ControlPeerStatus> all;
  for (const auto& member : consensus_.status().members) {
    if (member.node != node_) all[member.node].node = member.node;
  }
  for (auto& status : peer_status(peers_, runtime_.now())) {
    const NodeName node = status.node;
    all[node] = std::move(status);
  }
  std::vector<ControlPeerStatus> statuses;
  statuses.reserve(all.size());
  for (auto& [node, status] : all) statuses.push_back(std::move(status));
  return statuses;
}

Duration FleetStatusSource::longest_lease() const { return lease_with_drift(serving_lease_); }

}  // namespace cairnhollow::declared::control
