// At which machines callers' statements arrived, and which of them no list of regions allows.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/types.h"

namespace cairnhollow::standins::registered {

/// A statement's text came to a machine other than the proxy that its caller asked.
struct PlacedStatement {
  std::string id;           ///< the caller's name and "-" stand before the rest
  ZoneName zone;            ///< of the machine
  bool at_backend = false;  ///< run there; else sent to a proxy
  TimePoint at{};
};

/// What one document says. `acknowledged_at`: when the operator was told that it is taken.
struct RegionEra {
  std::map<std::string, std::vector<RegionName>> by_database;
  std::map<TenantName, std::vector<RegionName>> by_tenant;
  TimePoint acknowledged_at{};
};

struct RegionCaller {
  std::string database;
  TenantName tenant;  ///< empty: of nobody
};

/// Filled by stand-ins and the simulated network, judged at the end.
struct RegionHistory {
  std::map<ZoneName, RegionName> zone_regions;
  std::map<std::string, RegionCaller> callers;
  std::vector<RegionEra> eras;  ///< in the order of their documents
  std::vector<PlacedStatement> placed;
};

/// Every statement at a machine in a region that its database's list or its tenant's does not name, in words.
/// A document binds from `settles` after its acknowledgement; until then the one before it may.
std::vector<std::string> find_region_violations(const RegionHistory& history, Duration settles);

}  // namespace cairnhollow::standins::registered
