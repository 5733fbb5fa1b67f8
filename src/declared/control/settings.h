// Settings of one control node. Read from a YAML file and flags by programs; built directly by the
// simulator.
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
  Endpoint peer_endpoint;                          ///< frames: control nodes and followers
  Endpoint operator_endpoint;                      ///< HTTP: operators, health, metrics
  std::vector<consensus::Member> initial_members;  ///< used once, with an empty data folder
  bool join = false;                               ///< start empty and wait to be added as a member
  /// No member of the consensus group: follows the nodes at `control_endpoints` and serves followers of its
  /// own.
  bool relay = false;
  std::vector<Endpoint> control_endpoints;  ///< peer endpoints of other nodes, for one that joins or relays
  Endpoint platform_endpoint;               ///< the platform's list; port 0: none
  Duration serving_lease = std::chrono::seconds(2);
  Duration probe_interval = std::chrono::milliseconds(100);
  Duration probe_timeout = std::chrono::milliseconds(300);
  Duration election_timeout = std::chrono::milliseconds(300);
  Duration heartbeat_interval = std::chrono::milliseconds(50);
  Duration platform_poll_interval = std::chrono::seconds(1);
  std::uint64_t snapshot_after_entries = 1000;
  /// The format in which the configuration is written; raised once every node of the fleet reads it.
  wire::Format feature_level = wire::kWrittenFormat;
};

}  // namespace cairnhollow::declared::control
