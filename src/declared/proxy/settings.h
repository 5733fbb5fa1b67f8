// Settings of one proxy.
#pragma once

#include <vector>

#include "base/types.h"

namespace cairnhollow::declared::proxy {

/// A domain: a configuration log with its own control voters, and the databases that it is responsible for.
struct DomainSettings {
  DomainName name;                          ///< empty: the only domain, which owns every database
  std::vector<Endpoint> control_endpoints;  ///< frame protocol; nearest first
  std::vector<DatabaseName> databases;      ///< statements on these are decided by this domain only
};

struct ProxySettings {
  NodeName node;
  ZoneName zone;
  Endpoint caller_endpoint;                 ///< HTTP: callers, health checks, metrics
  std::vector<Endpoint> control_endpoints;  ///< frame protocol; nearest first; of the only domain
  std::vector<DomainSettings> domains;      ///< empty: a single domain, reached at control_endpoints
  Duration follow_interval = std::chrono::milliseconds(500);  ///< time between lease renewals
  Duration follow_timeout = std::chrono::milliseconds(700);   ///< then another control node is tried
  Duration freshness_probe_interval = std::chrono::milliseconds(250);
  Duration default_statement_deadline = std::chrono::seconds(5);
  Duration transaction_idle_limit = std::chrono::seconds(10);
  Duration replica_wait = std::chrono::milliseconds(20);  ///< how long a replica may wait for a position
  Duration drain_limit = std::chrono::seconds(30);
  std::uint32_t queue_limit_per_backend = 200;
};

}  // namespace cairnhollow::declared::proxy
