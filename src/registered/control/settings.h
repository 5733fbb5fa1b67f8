// Settings of a control node of a registered fleet.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/types.h"

namespace cairnhollow::registered::control {

struct RegisteredControlSettings {
  NodeName node;
  ZoneName zone;
  Endpoint peer_endpoint;       ///< for the fleet's own processes; other nodes listen on the same port
  Endpoint operator_endpoint;   ///< operators and backends
  std::vector<Endpoint> seeds;  ///< control nodes to begin with; their addresses count, not their ports
  /// The fleet starts for the first time: seeds form the consensus group.
  bool first_start = false;
  Endpoint promotion_endpoint;
  double promotion_rate = 0;  ///< calls a second that it takes from all nodes; 0: any number
  /// Disks that may be lost at once; the consensus group keeps twice as many voters and one.
  std::uint32_t lost_disks_tolerated = 1;
  Duration serving_lease = std::chrono::milliseconds(1500);
  Duration election_timeout = std::chrono::milliseconds(400);
  Duration first_election_timeout =
      std::chrono::milliseconds(60);  ///< until a leader was heard since the start
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  std::optional<Endpoint> metrics_endpoint;
  /// The deployment's zones and where they are; empty: not known.
  std::map<ZoneName, RegionName> zone_regions;
};

}  // namespace cairnhollow::registered::control
