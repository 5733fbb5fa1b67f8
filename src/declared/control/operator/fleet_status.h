// What the operator service reads of a control node's followers and of the other control nodes.
#pragma once

#include "declared/control/follow/follow_server.h"
#include "declared/control/news/peer_exchange.h"
#include "declared/control/operator/operator_sources.h"

namespace cairnhollow::declared::control {

/// The proxies among a node's followers, by name; relays, which send news, are left out.
std::vector<ProxyStatus> proxy_status(const FollowerRegistry& registry, const PeerDirectory& peers,
                                      const NodeName& control_node, TimePoint now);

/// The nodes among `peers` that are not among `members`.
std::vector<OtherControlNode> nodes_beside(const std::vector<consensus::Member>& members,
                                           const std::vector<ControlPeerStatus>& peers);

/// All that have sent news, by name.
std::vector<ControlPeerStatus> peer_status(const PeerDirectory& peers, TimePoint now);

/// What it refers to outlives it.
class FleetStatusSource : public FollowerStatusSource {
 public:
  FleetStatusSource(runtime::Runtime& runtime, NodeName node, Duration serving_lease,
                    const FollowServer& followers, const PeerDirectory& peers,
                    const consensus::Consensus& consensus)
      : runtime_(runtime),
        node_(std::move(node)),
        serving_lease_(serving_lease),
        followers_(followers),
        peers_(peers),
        consensus_(consensus) {}

  [[nodiscard]] std::vector<ProxyStatus> followers() const override;
  [[nodiscard]] std::vector<ControlPeerStatus> control_peers() const override;
  [[nodiscard]] Duration longest_lease() const override;

 private:
  runtime::Runtime& runtime_;
  NodeName node_;
  Duration serving_lease_;
  const FollowServer& followers_;
  const PeerDirectory& peers_;
  const consensus::Consensus& consensus_;
};

}  // namespace cairnhollow::declared::control
