// Settings of a registered-fleet control node.
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
  Endpoint peer_endpoint;       ///< for processes of the fleet; all control nodes use the same port
  Endpoint operator_endpoint;   ///< for operators and backends
  std::vector<Endpoint> seeds;  ///< initial control nodes; only the addresses are used, not the ports
  /// First start of the fleet: the seeds form the initial consensus group.
  bool first_start = false;
  Endpoint promotion_endpoint;
  double promotion_rate = 0;  ///< promotion calls per second accepted from all nodes together; 0: unlimited
  /// Number of disks that may fail at the same time; the consensus group has 2n + 1 voters.
  std::uint32_t lost_disks_tolerated = 1;
  Duration serving_lease = std::chrono::milliseconds(1500);
  Duration election_timeout = std::chrono::milliseconds(400);
  Duration first_election_timeout =
      std::chrono::milliseconds(60);  ///< used until a leader has been seen since the process started
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  std::optional<Endpoint> metrics_endpoint;
  /// Region of each zone of the deployment; empty if unknown.
  std::map<ZoneName, RegionName> zone_regions;
};

}  // namespace cairnhollow::registered::control
