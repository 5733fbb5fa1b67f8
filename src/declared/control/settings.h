// Settings of a control node. Programs read them from a YAML file and flags; the simulator builds them
// directly.
#pragma once

#include <string>
#include <vector>

#include "base/types.h"
#include "consensus/consensus.h"
#include "wire/format.h"

namespace cairnhollow::declared::control {

struct ControlSettings {
  NodeName node;
  ZoneName zone;
  Endpoint peer_endpoint;                          ///< frame protocol, for control nodes and followers
  Endpoint operator_endpoint;                      ///< HTTP, for the operator API, health checks and metrics
  std::vector<consensus::Member> initial_members;  ///< used only on a start with an empty data folder
  bool join = false;  ///< start without members and wait to be added to the consensus group
  /// Run as a relay: not a member of the consensus group; follows the nodes at `control_endpoints` and serves
  /// its own followers.
  bool relay = false;
  std::vector<Endpoint> control_endpoints;  ///< peer endpoints of other nodes; used with `join` or `relay`
  Endpoint platform_endpoint;               ///< serves the list of machines; none if the port is 0
  Duration serving_lease = std::chrono::seconds(2);
  Duration probe_interval = std::chrono::milliseconds(100);
  Duration probe_timeout = std::chrono::milliseconds(300);
  Duration election_timeout = std::chrono::milliseconds(300);
  Duration heartbeat_interval = std::chrono::milliseconds(50);
  Duration platform_poll_interval = std::chrono::seconds(1);
  std::uint64_t snapshot_after_entries = 1000;
  /// Format in which the configuration is written. Raise it only once every node of the fleet can read it.
  wire::Format feature_level = wire::kWrittenFormat;
};

}  // namespace cairnhollow::declared::control
