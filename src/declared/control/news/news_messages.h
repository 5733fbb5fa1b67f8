// Messages that control nodes exchange outside the consensus log: liveness, known primaries, primaries
// suspected by proxies, and how far the configuration has reached their followers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "consensus/consensus.h"
#include "declared/follow/messages.h"

namespace cairnhollow::declared::control {

/// Sent periodically and immediately after a change, in one direction: each node opens a connection to every
/// other node. The first message on a connection lists all known groups, later ones only the changes.
struct PeerStatusMessage {
  consensus::Member sender;    ///< as it would join the consensus group
  Endpoint operator_endpoint;  ///< operator API endpoint of the sender
  bool standby = false;        ///< non-voter with a disk, waiting to be added as a voter
  std::vector<follow::GroupState> groups;
  std::vector<follow::SuspectPrimary> suspects;  ///< reported by followers of the sender
  /// Groups of which the sender reaches no majority of the members, sorted by name.
  std::vector<GroupName> unreachable_groups;
  std::uint64_t followers_serving = 0;         ///< number of proxies with a lease granted by the sender
  std::uint64_t followers_least_revision = 0;  ///< lowest revision among those proxies
  std::uint64_t revision = 0;                  ///< configuration revision applied by the sender
  std::vector<Endpoint> known_nodes;  ///< live control nodes known to the sender; only set when changed

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, operator_endpoint, standby, groups, suspects, unreachable_groups, followers_serving,
            followers_least_revision, revision, known_nodes);
  }
};

}  // namespace cairnhollow::declared::control
