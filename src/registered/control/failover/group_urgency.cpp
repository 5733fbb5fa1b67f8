#include "registered/control/failover/group_urgency.h"

#include <algorithm>
#include <limits>

namespace cairnhollow::registered::control {

std::map<GroupName, std::uint64_t> group_urgencies(const std::vector<registry::GroupRule>& groups,
                                                   const std::vector<registry::RouteRule>& routes) {
  std::map<GroupName, std::uint64_t> urgencies;
  for (const registry::GroupRule& group : groups)
    urgencies[group.name] = std::numeric_limits<std::uint64_t>::max();
  for (const registry::RouteRule& route : routes) {
    std::uint64_t& most_urgent = urgencies[route.group];
    most_urgent = std::min(most_urgent, route.priority);
  }
  return urgencies;
}

std::vector<GroupName> groups_by_urgency(const std::map<GroupName, std::uint64_t>& urgencies) {
  std::vector<GroupName> groups;
  groups.reserve(urgencies.size());
  for (const auto& [group, priority] : urgencies) groups.push_back(group);
  std::stable_sort(groups.begin(), groups.end(), [&](const GroupName& one, const GroupName& other) {
    return urgencies.at(one) < urgencies.at(other);
  });
  return groups;
}

}  // namespace cairnhollow::registered::control
