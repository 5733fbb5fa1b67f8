#include "registered/balancing/region_division.h"

#include <algorithm>

namespace cairnhollow::registered::balancing {

namespace {

enum class Distance : std::uint8_t { kZone, kRegion, kElsewhere };

Distance distance_between(const ZoneName& one, const ZoneName& other, const locality::RegionMap& regions) {
  if (one == other) return Distance::kZone;
  const RegionName* region = regions.find(one);
  const RegionName* other_region = regions.find(other);
  const bool is_same = region != nullptr && other_region != nullptr && *region == *other_region;
  return is_same ? Distance::kRegion : Distance::kElsewhere;
}

}  // namespace

std::vector<subset::ProxyPointer> order_for_primary(const std::vector<subset::ProxyPointer>& serving,
                                                    const Forwarder& from, const ZoneName& primary,
                                                    const locality::RegionMap& regions) {
  const bool serves = std::any_of(serving.begin(), serving.end(),
                                  [&](const auto& proxy) { return proxy->name == from.node; });
  if (serves && distance_between(from.zone, primary, regions) != Distance::kElsewhere) return {};
  const auto rank = [&](const subset::ProxyPointer& proxy) {
    const Distance distance = distance_between(proxy->zone, primary, regions);
    return std::make_pair(distance, proxy->name != from.node);
  };
  auto order = serving;
  std::stable_sort(order.begin(), order.end(),
                   [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
  if (!order.empty() && order.front()->name == from.node) order.clear();
  return order;
}

RegionalServing::RegionalServing(const std::vector<subset::ProxyPointer>& serving,
                                 const locality::RegionMap& regions)
    : regions_(&regions), all_(serving.size()) {
  for (const auto& proxy : serving) ++in_region_[region_of(proxy->zone)];
}

RegionName RegionalServing::region_of(const ZoneName& zone) const {
  const RegionName* region = regions_->find(zone);
  return region != nullptr ? *region : RegionName(zone.value);
}

std::uint64_t RegionalServing::count_near(const ZoneName& zone) const {
  const auto found = in_region_.find(region_of(zone));
  return found == in_region_.end() ? 0 : found->second;
}

std::uint64_t RegionalServing::links_per_proxy(std::uint64_t usable, const ZoneName& backend,
                                               const ZoneName& proxy) const {
  const std::uint64_t near_count = count_near(backend);
  if (near_count == 0) return usable / std::max<std::uint64_t>(all_, 1);
  if (!are_near(backend, proxy)) return kRemoteRegionLinks;
  const std::uint64_t reserved = (all_ - near_count) * kReservedRemoteRegionLinks;
  return usable > reserved ? (usable - reserved) / near_count : 1;
}

}  // namespace cairnhollow::registered::balancing
