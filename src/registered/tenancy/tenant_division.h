// Which of the proxies that serve a group run a tenant's statements there, and how many links each has to a
// backend. A link to a backend serves one tenant, and a backend takes few links: a tenant whose statements
// run at few proxies finds its links open. Pure: every proxy works it out alike.
//
// A statement is handed to a proxy in the zone of the backend that is to run it: it crosses between zones
// once, before that proxy instead of behind it, and each backend has one cache of links a zone's proxy rather
// than a small one at every proxy. In each zone the tenant has the best of the group's proxies by rendezvous
// weight, as many as its part of all tenants' limits earns, one at least.
#pragma once

#include <map>
#include <vector>

#include "subset/subset.h"

namespace cairnhollow::registered::tenancy {

/// A tenant with this part of all limits has all proxies of a zone that serve a group.
inline constexpr double kWholeZonePart = 0.5;
/// Links to a backend that a proxy of another zone may have. One is kept back for each: its own questions use
/// it, and what it can run nowhere nearer.
inline constexpr std::uint64_t kFarLinks = 2;
inline constexpr std::uint64_t kFarLinksKeptBack = 1;

/// `serving`: those that serve the group, in the order in which this proxy would forward to them. `part`: the
/// tenant's of all limits, 0 to 1. The result is an order of the same proxies: the tenant's in `zone` first,
/// then the others of that zone, then those of other zones, each zone's by weight for the tenant.
std::vector<subset::ProxyPointer> order_for_tenant(const std::vector<subset::ProxyPointer>& serving,
                                                   const TenantName& tenant, double part,
                                                   const ZoneName& zone);

/// How many of `in_zone` proxies a tenant with this part of all limits has.
std::size_t proxies_of_tenant(std::size_t in_zone, double part);

/// Where a tenant's single reads go that came in at a proxy of `zone`, out of the zones with backends to read
/// at: its own where there are any, else the best for the tenant. Empty when `reading` is.
ZoneName zone_of_reads(const std::vector<ZoneName>& reading, const TenantName& tenant, const ZoneName& zone);

/// Proxies that serve a group, by zone.
struct ServingProxies {
  std::uint64_t all = 0;
  std::map<ZoneName, std::uint64_t> in_zone;
  [[nodiscard]] std::uint64_t near(const ZoneName& zone) const {
    const auto found = in_zone.find(zone);
    return found == in_zone.end() ? 0 : found->second;
  }
};

/// Of `usable` links to a backend of the zone `backend`, those of one serving proxy of the zone `proxy`.
/// Proxies elsewhere may have more together than is kept back for them: they seldom use them, and the backend
/// refuses what is too much.
std::uint64_t links_of_proxy(std::uint64_t usable, const ServingProxies& serving, const ZoneName& backend,
                             const ZoneName& proxy);

}  // namespace cairnhollow::registered::tenancy
