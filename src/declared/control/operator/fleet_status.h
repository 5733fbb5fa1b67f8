// Status of a control node's followers and of its peer control nodes, for the operator service.
#pragma once

#include "declared/control/follow/follow_server.h"
#include "declared/control/news/peer_exchange.h"
#include "declared/control/operator/operator_sources.h"

namespace cairnhollow::declared::control {

/// Returns the proxies among the node's followers, ordered by name. Relays are excluded: they are listed in
/// `peers`.
std::vector<ProxyStatus> proxy_status(const FollowerRegistry& registry, const PeerDirectory& peers,
                                      const NodeName& control_node, TimePoint now);

/// Returns the nodes in `peers` that are not in `members`.
std::vector<OtherControlNode> non_member_nodes(const std::vector<consensus::Member>& members,
                                               const std::vector<ControlPeerStatus>& peers);

/// Returns all control nodes that have sent a status message, ordered by name.
std::vector<ControlPeerStatus> peer_status(const PeerDirectory& peers, TimePoint now);

/// References passed to the constructor are not owned and must outlive this object.
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
