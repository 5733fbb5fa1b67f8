#include "registered/control/failover/region_preference.h"

#include "registered/locality/permitted_regions.h"

namespace cairnhollow::registered::control {

void RegionPreference::update_routes() {
  if (document_version_ == fleet_.document_version()) return;
  document_version_ = fleet_.document_version();
  routes_.clear();
  std::map<GroupName, std::vector<registry::RouteRule>> by_group;
  std::map<GroupName, bool> is_restricted;
  for (registry::RouteRule& route : fleet_.routes()) {
    is_restricted[route.group] = is_restricted[route.group] || !route.allowed_regions.empty();
    const GroupName group = route.group;
    by_group[group].push_back(std::move(route));
  }
  for (auto& [group, routes] : by_group) {
    if (is_restricted[group]) routes_[group] = std::move(routes);
  }
}

std::map<BackendName, std::size_t> RegionPreference::allowing_routes(
    const GroupName& group, const std::vector<registry::BackendEntry>& members) {
  update_routes();
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
