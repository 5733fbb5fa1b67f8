// How many proxies serve a database group. Worked out alike by the proxies, which divide the groups among
// themselves, and by the leader, which judges what those who serve a group say of its primary.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "registered/registry/model.h"

namespace cairnhollow::registered::registry {

/// Proxies that serve one group, at most, for each slot of its backends.
inline constexpr std::uint64_t kServingProxiesPerSlot = 5;
/// The same where links are of one tenant each. Fewer proxies are larger caches of links: 3 proxies a zone
/// with a third of 52 links each open 23 for 100 uses, 15 open 31 (docs/design/links.md).
inline constexpr std::uint64_t kServingProxiesPerSlotOfTenants = 3;
/// Connections of a backend kept back from the shares, for control nodes and for proxies that start.
inline constexpr std::uint64_t kReservedConnections = 4;

/// Connections to one backend that all proxies together may have; 0: no limit.
std::uint64_t usable_connections(const GroupRule& rule);

/// Of `proxies` that take work: so many that each has connections to work with, and that together they do not
/// send a backend more than it can queue. `slots`: of each backend of the group; 0: not known. `tenants`:
/// each link is of one tenant.
std::size_t serving_proxies(const GroupRule& rule, const std::vector<std::uint64_t>& slots,
                            std::size_t proxies, bool tenants);

}  // namespace cairnhollow::registered::registry
