// Selects which proxies of a group run a tenant's statements.
//
// A link serves one tenant and a backend accepts few links, so few proxies per tenant let it reuse open
// links. Statements are forwarded to a proxy in the zone of the target backend: they cross zones once, before
// that proxy, and only the proxies of that zone keep large link pools to the backend. In each zone a tenant
// has the proxies of the group with the highest rendezvous weights: at least one, and more in proportion to
// its fraction of all tenants' limits. Deterministic: every proxy computes the same result.
#pragma once

#include <vector>

#include "subset/subset.h"

namespace cairnhollow::registered::tenancy {

/// A tenant with this fraction of all limits uses all proxies of a zone that serve a group.
inline constexpr double kWholeZoneFraction = 0.5;
/// Returns the proxies of `serving` in the order of preference for the tenant: its own in `zone`, in the
/// order of `serving`; then the others of that zone; then those of other zones, each zone by weight for the
/// tenant. `serving`: the proxies that serve the group, in the order in which this proxy would forward to
/// them. `fraction`: the tenant's fraction of all limits, 0 to 1.
std::vector<subset::ProxyPointer> order_for_tenant(const std::vector<subset::ProxyPointer>& serving,
                                                   const TenantName& tenant, double fraction,
                                                   const ZoneName& zone);

/// Returns how many of the `in_zone` proxies of a zone a tenant uses, at least 1. `fraction`: its fraction of
/// all limits, 0 to 1.
std::size_t tenant_proxy_count(std::size_t in_zone, double fraction);

/// Returns the zone to which a proxy of `zone` sends a tenant's single reads: `zone` itself if it is in
/// `reading`, the zones with readable backends; otherwise the one with the highest rendezvous weight for the
/// tenant. Empty if `reading` is empty.
ZoneName zone_for_reads(const std::vector<ZoneName>& reading, const TenantName& tenant, const ZoneName& zone);

}  // namespace cairnhollow::registered::tenancy
