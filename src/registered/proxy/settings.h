// Settings of a proxy in a registered fleet.
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
  Endpoint session_endpoint;    ///< listens for callers
  Endpoint readiness_endpoint;  ///< listens for readiness probes
  /// Initial control nodes. control_port replaces their ports, except for registrations.
  std::vector<Endpoint> seeds;
  Endpoint peer_endpoint;          ///< listens for other proxies
  std::uint16_t control_port = 0;  ///< port on which control nodes listen for the fleet's own processes
  std::optional<Endpoint> metrics_endpoint;
  std::uint32_t session_limit = 3500;
  /// Longest time after the acknowledgement of a key's removal for which statements with the key may still be
  /// run, also by machines that can't reach control. Empty: no bound for such machines.
  std::optional<Duration> key_bound;
  limits::LimitWindow limit_window;
  /// Divides the limit of each tenant among limits::kManyQuotaOwners proxies once all proxies do so.
  bool spread_limits = false;
  /// The region of each zone of the deployment; empty: not known.
  std::map<ZoneName, RegionName> zone_regions;
  /// Longest time after the acknowledgement of a zone's evacuation for which something may still be sent
  /// there; 0: 5 s.
  Duration evacuation_bound{0};
  /// All proxies together send a cold backend at most its rate times `cold_overshoot`, plus `cold_slack`
  /// statements, per second. Both 0: no limit.
  double cold_overshoot = 0;
  double cold_slack = 0;  ///< statements
  /// Rate of the machine's network link in Mbit/s; 0: not known.
  double link_rate = 0;
  Duration drain_limit = std::chrono::seconds(6);  ///< from SIGTERM to process exit
};

}  // namespace cairnhollow::registered::proxy
