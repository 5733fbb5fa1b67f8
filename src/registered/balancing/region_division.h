// Selects which proxies run a group's work at its primary, and how many links each may have to a backend, in
// a deployment of several regions whose links belong to no tenant.
//
// A statement needs several exchanges with its backend (set-up of the link, begin, the statement itself), but
// only one with the proxy that runs it. Work at the primary is therefore forwarded to a proxy near the
// primary: an operation crosses between regions once, before that proxy instead of behind it. Deterministic:
// every proxy computes the same division.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "registered/locality/region_map.h"
#include "subset/subset.h"

namespace cairnhollow::registered::balancing {

/// Links that a proxy may have to a backend of another region: one for its own status requests, one for a
/// read that no nearer backend can run. One of them is reserved in the backend's limit.
inline constexpr std::uint64_t kRemoteRegionLinks = 2;
inline constexpr std::uint64_t kReservedRemoteRegionLinks = 1;

/// The proxy for which an order is computed.
struct Forwarder {
  NodeName node;
  ZoneName zone;
};

/// Returns the proxies to which work at the primary is forwarded, in order of preference: those of the
/// primary's zone, those of its region, then the others with `from` before them. Within these, the order of
/// `serving` is kept. Empty if `from` is to run the work itself: it serves the group and is in the primary's
/// region, or no serving proxy is. `serving`: the proxies that serve the group, in the order in which `from`
/// would forward to them, which spreads the load of different forwarders.
std::vector<subset::ProxyPointer> order_for_primary(const std::vector<subset::ProxyPointer>& serving,
                                                    const Forwarder& from, const ZoneName& primary,
                                                    const locality::RegionMap& regions);

/// Numbers of proxies that serve a group, in total and by region.
class RegionalServing {
 public:
  /// `regions` is not owned and must outlive this object and all copies of it. A zone of unknown region
  /// counts as a region of its own.
  RegionalServing(const std::vector<subset::ProxyPointer>& serving, const locality::RegionMap& regions);

  [[nodiscard]] std::uint64_t all() const { return all_; }
  /// Number of serving proxies in the region of the zone.
  [[nodiscard]] std::uint64_t count_near(const ZoneName& zone) const;
  [[nodiscard]] bool are_near(const ZoneName& one, const ZoneName& other) const {
    return region_of(one) == region_of(other);
  }
  /// Returns how many of the `usable` links to a backend in the zone `backend` a serving proxy in the zone
  /// `proxy` may have. The proxies of other regions together may exceed the links reserved for them: they
  /// seldom use them, and the backend refuses excess connections.
  [[nodiscard]] std::uint64_t links_per_proxy(std::uint64_t usable, const ZoneName& backend,
                                              const ZoneName& proxy) const;

 private:
  [[nodiscard]] RegionName region_of(const ZoneName& zone) const;

  const locality::RegionMap* regions_;
  std::uint64_t all_ = 0;
  std::map<RegionName, std::uint64_t> in_region_;
};

}  // namespace cairnhollow::registered::balancing
