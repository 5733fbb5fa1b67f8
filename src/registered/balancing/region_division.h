// Selects which proxies run a group's statements, and how many links each may have to a backend, in a
// deployment of several regions whose links belong to no tenant.
//
// A statement needs several exchanges with its backend (set-up of the link, begin, the statement itself), but
// only one with the proxy that runs it. Work is therefore forwarded to a proxy near the backend: an operation
// crosses between zones or regions once, before that proxy instead of behind it, and few proxies need links.
// Deterministic: every proxy computes the same division.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "registered/locality/region_map.h"
#include "subset/subset.h"

namespace cairnhollow::registered::balancing {

/// Links that a proxy may have to a backend of another zone of its region, for reads while the backend of its
/// own zone is busy, lags or fails. All of these are reserved in the backend's limit: a limit that is
/// exceeded refuses whoever comes last, which may be the only proxy that has no link.
inline constexpr std::uint64_t kOtherZoneLinks = 2;
/// The same for a backend of another region: one for its own status requests, one for a read that no nearer
/// backend can run.
inline constexpr std::uint64_t kRemoteRegionLinks = 2;

/// The proxy for which an order is computed.
struct Forwarder {
  NodeName node;
  ZoneName zone;
};

/// Returns the proxies to which work for a backend in the zone `target` is forwarded, in order of preference:
/// those of the zone, those of its region, then the others; in each, `from` comes first and otherwise the
/// order of `serving` is kept. Empty if `from` is to run the work itself. `serving`: the proxies that serve
/// the group, in the order in which `from` would forward to them, which spreads the load of different
/// forwarders.
std::vector<subset::ProxyPointer> order_near(const std::vector<subset::ProxyPointer>& serving,
                                             const Forwarder& from, const ZoneName& target,
                                             const locality::RegionMap& regions);

/// Returns the zone whose proxies run the reads of `from`: its own if it is in `reading`, the zones with
/// readable backends; otherwise one of its region; otherwise any. Of several, the one with the highest
/// rendezvous weight for `from`. Empty if `reading` is empty.
ZoneName zone_for_reads(const std::vector<ZoneName>& reading, const Forwarder& from,
                        const locality::RegionMap& regions);

/// Numbers of proxies that serve a group, in total, by zone and by region.
class RegionalServing {
 public:
  /// `regions` is not owned and must outlive this object and all copies of it. A zone of unknown region
  /// counts as a region of its own.
  RegionalServing(const std::vector<subset::ProxyPointer>& serving, const locality::RegionMap& regions);

  [[nodiscard]] std::uint64_t all() const { return all_; }
  [[nodiscard]] std::uint64_t count_in(const ZoneName& zone) const;
  [[nodiscard]] bool are_in_one_region(const ZoneName& one, const ZoneName& other) const {
    return region_of(one) == region_of(other);
  }
  /// Number of serving proxies in the region of the zone.
  [[nodiscard]] std::uint64_t count_in_region(const ZoneName& zone) const;
  /// Returns how many of the `usable` links to a backend in the zone `backend` a serving proxy in the zone
  /// `proxy` may have. The proxies together do not exceed `usable` unless it is less than two for each.
  [[nodiscard]] std::uint64_t links_per_proxy(std::uint64_t usable, const ZoneName& backend,
                                              const ZoneName& proxy) const;

 private:
  [[nodiscard]] RegionName region_of(const ZoneName& zone) const;

  const locality::RegionMap* regions_;
  std::uint64_t all_ = 0;
  std::map<ZoneName, std::uint64_t> in_zone_;
  std::map<RegionName, std::uint64_t> in_region_;
};

}  // namespace cairnhollow::registered::balancing
