// What control nodes tell each other outside the consensus log: that they live, who is primary, which
// primaries proxies suspect, and how far the configuration has spread among their followers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "consensus/consensus.h"
#include "declared/follow/messages.h"

namespace cairnhollow::declared::control {

/// Sent at every interval and at once on news, in one direction: each node opens a connection to each
/// other one. The first message on a connection names every group known, later ones what changed.
struct NewsMessage {
  consensus::Member sender;    ///< as it would join the consensus group
  Endpoint operator_endpoint;  ///< where operators reach the sender
  bool standby = false;        ///< has a disk and no vote, and waits to be taken in
  std::vector<follow::GroupState> groups;
  std::vector<follow::SuspectPrimary> suspects;  ///< reported by the sender's followers
  std::vector<GroupName> unreachable_groups;     ///< by name; the sender reaches no majority of their members
  std::uint64_t followers_serving = 0;           ///< proxies with a lease given by the sender
  std::uint64_t followers_least_revision = 0;    ///< over those proxies
  std::uint64_t revision = 0;                    ///< applied at the sender
  std::vector<Endpoint> known_nodes;             ///< control nodes that the sender hears, when that changed

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, operator_endpoint, standby, groups, suspects, unreachable_groups, followers_serving,
            followers_least_revision, revision, known_nodes);
  }
};

}  // namespace cairnhollow::declared::control
