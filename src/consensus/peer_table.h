// Outgoing connections to the other members, opened on first use.
#pragma once

#include <map>
#include <memory>

#include "consensus/peer_channel.h"
#include "consensus/raft_state.h"

namespace cairnhollow::consensus {

class PeerTable {
 public:
  explicit PeerTable(RaftState& state) : state_(state) {}

  /// Returns the channel to a member. Members with the same name at different endpoints (a machine replaced
  /// under its own name) have separate channels.
  std::shared_ptr<PeerChannel> channel(const Member& member);
  /// Closes channels to nodes that are not in the latest configuration. Voters connect to each other in
  /// advance; other channels open with their first request.
  void update_channels();
  void close_all();

  /// Makes a request from this node in its current term, addressed to `member`.
  [[nodiscard]] PeerRequest make_request(const Member& member, RequestBody body) const;

 private:
  RaftState& state_;
  struct Address {
    NodeName node;
    Endpoint endpoint;
    auto operator<=>(const Address&) const = default;
  };
  std::map<Address, std::shared_ptr<PeerChannel>> channels_;
};

}  // namespace cairnhollow::consensus
