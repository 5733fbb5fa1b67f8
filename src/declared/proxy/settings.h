// Settings of one proxy.
#pragma once

#include <vector>

#include "base/types.h"

namespace cairnhollow::declared::proxy {

/// A configuration log with control voters of its own, and the databases that it decides on.
struct DomainSettings {
  DomainName name;                          ///< empty: the only one, which owns every database
  std::vector<Endpoint> control_endpoints;  ///< frames; nearest first
  std::vector<DatabaseName> databases;      ///< a statement of one of these is decided here and nowhere else
};

struct ProxySettings {
  NodeName node;
  ZoneName zone;
  Endpoint caller_endpoint;                 ///< HTTP: callers, health, metrics
  std::vector<Endpoint> control_endpoints;  ///< frames; nearest first; of the only domain
  std::vector<DomainSettings> domains;      ///< empty: control_endpoints lead to the only one
  Duration follow_interval = std::chrono::milliseconds(500);  ///< between lease renewals
  Duration follow_timeout = std::chrono::milliseconds(700);   ///< then another control node is asked
  Duration freshness_probe_interval = std::chrono::milliseconds(250);
  Duration default_statement_deadline = std::chrono::seconds(5);
  Duration transaction_idle_limit = std::chrono::seconds(10);
  Duration replica_wait = std::chrono::milliseconds(20);  ///< a replica may wait this long for a position
  Duration drain_limit = std::chrono::seconds(30);
  std::uint32_t queue_limit_per_backend = 200;
};

}  // namespace cairnhollow::declared::proxy
