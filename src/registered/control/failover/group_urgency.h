// Orders groups by the priority of their routes, for failovers of several groups at once. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "registered/registry/model.h"

namespace cairnhollow::registered::control {

/// Returns the most urgent (lowest) priority of the routes to each group, or the maximum value if no route
/// leads to it.
std::map<GroupName, std::uint64_t> group_urgencies(const std::vector<registry::GroupRule>& groups,
                                                   const std::vector<registry::RouteRule>& routes);
/// Returns the groups in order of urgency, most urgent first, and by name where it is equal.
std::vector<GroupName> groups_by_urgency(const std::map<GroupName, std::uint64_t>& urgencies);

}  // namespace cairnhollow::registered::control
