// How many of a group's routes may write at each of its members, by the regions that they allow.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "registered/locality/region_map.h"
#include "registered/registry/state_machine.h"

namespace cairnhollow::registered::control {

/// `fleet` outlives it. Goes through all routes once a document, not once a question.
class RegionPreference {
 public:
  RegionPreference(const registry::FleetStateMachine& fleet, locality::RegionMap regions)
      : fleet_(fleet), regions_(std::move(regions)) {}

  /// Empty where all of the group's routes may write anywhere.
  [[nodiscard]] std::map<BackendName, std::size_t> allowing_routes(
      const GroupName& group, const std::vector<registry::BackendEntry>& members);

 private:
  void follow_document();

  const registry::FleetStateMachine& fleet_;
  locality::RegionMap regions_;
  std::uint64_t version_ = 0;  ///< of the document that the routes are of
  /// Of the groups of which some route names regions: all their routes.
  std::map<GroupName, std::vector<registry::RouteRule>> routes_;
};

}  // namespace cairnhollow::registered::control
