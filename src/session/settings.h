// Settings of a proxy of a registered fleet.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/types.h"

namespace cairnhollow::session {

struct SessionProxySettings {
  NodeName node;
  ZoneName zone;
  Endpoint session_endpoint;       ///< callers
  Endpoint readiness_endpoint;     ///< who asks whether to send callers here
  std::vector<Endpoint> seeds;     ///< control nodes to begin with; their addresses count, not their ports
  Endpoint peer_endpoint;          ///< other proxies
  std::uint16_t control_port = 0;  ///< on which control nodes listen for the fleet's own processes
  std::optional<Endpoint> metrics_endpoint;
  std::uint32_t session_limit = 3500;
  Duration drain_limit = std::chrono::seconds(6);  ///< from SIGTERM to the end of the process
};

}  // namespace cairnhollow::session
