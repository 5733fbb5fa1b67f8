// In which order groups are served when several change their primary at once. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "registered/registry/model.h"

namespace cairnhollow::registered::control {

/// The most urgent priority of the routes that lead to each group, 0 first; the largest number where none
/// does.
std::map<GroupName, std::uint64_t> group_urgencies(const std::vector<registry::GroupRule>& groups,
                                                   const std::vector<registry::RouteRule>& routes);
/// The most urgent group first; those of the same urgency by name.
std::vector<GroupName> groups_by_urgency(const std::map<GroupName, std::uint64_t>& urgencies);

}  // namespace cairnhollow::registered::control
