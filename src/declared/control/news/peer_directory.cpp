#include "declared/control/news/peer_directory.h"

#include <algorithm>

#include "declared/control/knobs.h"

namespace cairnhollow::declared::control {

bool Peer::alive(TimePoint now) const { return now < heard_at + kPeerSilenceLimit; }

void PeerDirectory::record_message(PeerStatusMessage message, TimePoint now) {
  auto& peer = peers_[message.sender.node];
  message.groups.clear();
  message.suspects.clear();
  message.known_nodes.clear();
  peer.last_message = std::move(message);
  peer.heard_at = now;
}

std::optional<Peer> PeerDirectory::find(const NodeName& node) const {
  const auto peer = peers_.find(node);
  if (peer == peers_.end()) return std::nullopt;
  return peer->second;
}

bool PeerDirectory::alive(const NodeName& node, TimePoint now) const {
  const auto peer = peers_.find(node);
  return peer != peers_.end() && peer->second.alive(now);
}

std::vector<NodeName> PeerDirectory::able_to_monitor(const GroupName& group, TimePoint now) const {
  std::vector<NodeName> able;
  for (const auto& [node, peer] : peers_) {
    const auto& unreachable = peer.last_message.unreachable_groups;
    const bool reaches = std::find(unreachable.begin(), unreachable.end(), group) == unreachable.end();
    if (peer.alive(now) && reaches) able.push_back(node);
  }
  return able;
}

}  // namespace cairnhollow::declared::control
