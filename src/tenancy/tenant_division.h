// Which of the proxies that serve a group run a tenant's statements there. A link to a backend serves one
// tenant, and a backend takes few links: a tenant whose statements run at few proxies finds its links open.
// Pure: every proxy works it out alike.
//
// In each zone the tenant has the best of the group's proxies by rendezvous weight, as many as its part of
// all tenants' limits earns, one at least. Statements stay in the zone of the proxy where they came in, where
// a proxy of it serves the group; bytes between zones cost money.
#pragma once

#include <vector>

#include "routing/subset.h"

namespace cairnhollow::tenancy {

/// A tenant with this part of all limits has all proxies of a zone that serve a group.
inline constexpr double kWholeZonePart = 0.5;

/// `serving`: those that serve the group, in the order in which this proxy (of `zone`) would forward to them.
/// `part`: the tenant's of all limits, 0 to 1. The result is an order of the same proxies: the tenant's in
/// this zone first, then the others of this zone, then those of other zones, each zone's by weight for the
/// tenant.
std::vector<routing::ProxyPointer> order_for_tenant(const std::vector<routing::ProxyPointer>& serving,
                                                    const TenantName& tenant, double part,
                                                    const ZoneName& zone);

/// How many of `in_zone` proxies a tenant with this part of all limits has.
std::size_t proxies_of_tenant(std::size_t in_zone, double part);

}  // namespace cairnhollow::tenancy
