#include "registered/control/failover/region_preference.h"

#include "registered/locality/permitted_regions.h"

namespace cairnhollow::registered::control {

void RegionPreference::follow_document() {
  if (version_ == fleet_.document_version()) return;
  version_ = fleet_.document_version();
  routes_.clear();
  std::map<GroupName, std::vector<registry::RouteRule>> all;
  std::map<GroupName, bool> bound;
  for (registry::RouteRule& route : fleet_.routes()) {
    bound[route.group] = bound[route.group] || !route.allowed_regions.empty();
    const GroupName group = route.group;
    all[group].push_back(std::move(route));
  }
  for (auto& [group, routes] : all) {
    if (bound[group]) routes_[group] = std::move(routes);
  }
}

std::map<BackendName, std::size_t> RegionPreference::allowing_routes(
    const GroupName& group, const std::vector<registry::BackendEntry>& members) {
  follow_document();
  std::map<BackendName, std::size_t> counts;
  const auto routes = routes_.find(group);
  if (routes == routes_.end()) return counts;
  for (const registry::BackendEntry& member : members) {
    std::size_t& count = counts[member.name];
    for (const registry::RouteRule& route : routes->second) {
      const locality::PermittedRegions allowed(regions_, route.allowed_regions, {});
      if (allowed.allows(member.zone)) ++count;
    }
  }
  return counts;
}

}  // namespace cairnhollow::registered::control
