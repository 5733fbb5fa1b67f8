// What a simulated deployment consists of, by profile: machines, zones, latencies, the settings of every
// process and the objects that an operator declares for it.
#pragma once

#include <string>
#include <vector>

#include "declared/config/objects.h"
#include "declared/control/settings.h"
#include "declared/proxy/settings.h"
#include "simulation/network_faults.h"
#include "standins/callers/workload.h"
#include "standins/database/settings.h"
#include "standins/platform/settings.h"

namespace cairnhollow::simulation {

/// Zone of the callers and operators. Cut from no other zone unless a scenario says so.
inline const ZoneName kClientZone{"clients"};
/// Zone of the simulator's own probes; never cut.
inline const ZoneName kObserverZone{"observer"};

/// A simulated machine runs one process, which has the machine's name.
struct Machine {
  std::string name;
  std::string address;
  ZoneName zone;
};

/// A domain of a deployment that has several.
struct DomainPart {
  DomainName name;
  std::vector<Endpoint> operator_endpoints;
  std::vector<declared::config::Object> objects;
};

/// The settings of one deployment. Names of processes are the names of nodes and backends.
struct Deployment {
  standins::callers::Profile profile = standins::callers::Profile::kStudyCard;
  std::vector<ZoneName> zones;
  LatencySettings latency;
  std::vector<declared::control::ControlSettings> control_nodes;  ///< one a zone; the first three are voters
  std::vector<declared::proxy::ProxySettings> proxies;            ///< one a zone
  std::vector<standins::database::DatabaseSettings> databases;
  standins::platform::PlatformSettings platform;
  std::vector<declared::config::Object> objects;  ///< as in examples/*/manifests
  /// Empty, or two: objects and control nodes are then by domain, and `objects` is empty.
  std::vector<DomainPart> domains;

  [[nodiscard]] std::vector<Endpoint> caller_endpoints() const;
  [[nodiscard]] std::vector<Endpoint> operator_endpoints() const;
  [[nodiscard]] std::vector<GroupName> groups() const;
  [[nodiscard]] std::vector<BackendName> members_of(const GroupName& group) const;
  [[nodiscard]] const standins::database::DatabaseSettings& database(const BackendName& backend) const;
};

/// The deployments of today: sizes, limits and latencies of the profile.
Deployment make_deployment(standins::callers::Profile profile);

/// "study-card" or "scooter-fleet".
std::string profile_name(standins::callers::Profile profile);

}  // namespace cairnhollow::simulation
