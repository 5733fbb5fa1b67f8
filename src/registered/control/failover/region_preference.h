// Counts how many of a group's routes may write at each of its members, according to the regions that the
// routes allow.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "registered/locality/region_map.h"
#include "registered/registry/state_machine.h"

namespace cairnhollow::registered::control {

/// `fleet` is not owned and must outlive this object. The routes are indexed once per configuration document,
/// not once per query.
class RegionPreference {
 public:
  RegionPreference(const registry::FleetStateMachine& fleet, locality::RegionMap regions)
      : fleet_(fleet), regions_(std::move(regions)) {}

  /// Returns the number of routes by member; empty if all of the group's routes may write anywhere.
  [[nodiscard]] std::map<BackendName, std::size_t> allowing_routes(
      const GroupName& group, const std::vector<registry::BackendEntry>& members);

 private:
  void update_routes();

  const registry::FleetStateMachine& fleet_;
  locality::RegionMap regions_;
  std::uint64_t document_version_ = 0;  ///< of the configuration document from which `routes_` was built
  /// All routes of each group that has a route restricted to regions.
  std::map<GroupName, std::vector<registry::RouteRule>> routes_;
};

}  // namespace cairnhollow::registered::control
