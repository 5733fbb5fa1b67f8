// Computes how many proxies serve a database group. Used by the proxies to divide the groups among themselves
// and by the leader to weigh proxies' reports about a group's primary, so both must compute the same result.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "registered/registry/model.h"

namespace cairnhollow::registered::registry {

/// Maximum number of proxies that serve a group, per slot of its backends.
inline constexpr std::uint64_t kServingProxiesPerSlot = 5;
/// The same limit if each link belongs to one tenant. Lower, because fewer proxies with larger link caches
/// reuse links more often (docs/design/links.md).
/// Three proxies a zone with a third of 52 links each open 23 links for 100 uses, 15 proxies open 31.
inline constexpr std::uint64_t kServingProxiesPerSlotOfTenants = 3;
/// Connections of a backend reserved for control nodes and for starting proxies.
inline constexpr std::uint64_t kReservedConnections = 4;

/// Number of connections to one backend available to all proxies together; 0: unlimited.
std::uint64_t usable_connections(const GroupRule& rule);

/// Number of proxies, out of `proxies` that accept work, that serve the group. Limited so that each has
/// enough connections and so that together they do not send a backend more than it can queue. `slots`: slots
/// of each backend of the group; 0: unknown. `tenants`: true if each link belongs to one tenant.
std::size_t serving_proxies(const GroupRule& rule, const std::vector<std::uint64_t>& slots,
                            std::size_t proxies, bool tenants);

}  // namespace cairnhollow::registered::registry
