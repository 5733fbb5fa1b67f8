// Settings of a proxy of a registered fleet.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/types.h"
#include "registered/limits/limit_window.h"

namespace cairnhollow::registered::proxy {

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
  /// How long after the acknowledgement of a key's removal it may still run something, on machines out of
  /// control's reach, too; empty: not bound there.
  std::optional<Duration> key_bound;
  limits::LimitWindow limit_window;
  /// The deployment's zones and where they are; empty: not known.
  std::map<ZoneName, RegionName> zone_regions;
  /// How long after a zone's evacuation was acknowledged something may still be sent there; 0: 5 s.
  Duration evacuation_bound{0};
  /// Within a second a cold backend gets no more than its rate times `cold_overshoot` plus `cold_slack`, from
  /// all proxies together. Both 0: not bound.
  double cold_overshoot = 0;
  double cold_slack = 0;                           ///< statements
  Duration drain_limit = std::chrono::seconds(6);  ///< from SIGTERM to the end of the process
};

}  // namespace cairnhollow::registered::proxy
