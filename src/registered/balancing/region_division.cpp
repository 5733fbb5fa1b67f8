#include "registered/balancing/region_division.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

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

std::vector<subset::ProxyPointer> order_near(const std::vector<subset::ProxyPointer>& serving,
                                             const Forwarder& from, const ZoneName& target,
                                             const locality::RegionMap& regions) {
  const auto rank = [&](const subset::ProxyPointer& proxy) {
    return std::make_pair(distance_between(proxy->zone, target, regions), proxy->name != from.node);
  };
  auto order = serving;
  std::stable_sort(order.begin(), order.end(),
                   [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
  if (!order.empty() && order.front()->name == from.node) order.clear();
  return order;
}

ZoneName zone_for_reads(const std::vector<ZoneName>& reading, const Forwarder& from,
                        const locality::RegionMap& regions) {
  const std::uint64_t key = XXH64(from.node.value.data(), from.node.value.size(), 0);
  const auto rank = [&](const ZoneName& zone) {
    const std::uint64_t weight = XXH64(zone.value.data(), zone.value.size(), key);
    return std::make_pair(distance_between(zone, from.zone, regions), ~weight);
  };
  const auto best =
      std::min_element(reading.begin(), reading.end(),
                       [&](const ZoneName& left, const ZoneName& right) { return rank(left) < rank(right); });
  return best == reading.end() ? ZoneName() : *best;
}

RegionalServing::RegionalServing(const std::vector<subset::ProxyPointer>& serving,
                                 const locality::RegionMap& regions)
    : regions_(&regions), all_(serving.size()) {
  for (const auto& proxy : serving) {
    ++in_zone_[proxy->zone];
    ++in_region_[region_of(proxy->zone)];
  }
}

RegionName RegionalServing::region_of(const ZoneName& zone) const {
  const RegionName* region = regions_->find(zone);
  return region != nullptr ? *region : RegionName(zone.value);
}

std::uint64_t RegionalServing::count_in(const ZoneName& zone) const {
  const auto found = in_zone_.find(zone);
  return found == in_zone_.end() ? 0 : found->second;
}

std::uint64_t RegionalServing::count_in_region(const ZoneName& zone) const {
  const auto found = in_region_.find(region_of(zone));
  return found == in_region_.end() ? 0 : found->second;
}

std::uint64_t RegionalServing::links_per_proxy(std::uint64_t usable, const ZoneName& backend,
                                               const ZoneName& proxy) const {
  const std::uint64_t in_region = count_in_region(backend);
  if (in_region == 0) return usable / std::max<std::uint64_t>(all_, 1);
  if (!are_in_one_region(backend, proxy)) return kRemoteRegionLinks;
  const std::uint64_t in_zone = count_in(backend);
  if (in_zone > 0 && proxy != backend) return kOtherZoneLinks;
  // Without a proxy in the backend's zone, those of its region share its links.
  const std::uint64_t sharing = in_zone > 0 ? in_zone : in_region;
  const std::uint64_t reserved =
      (all_ - in_region) * kRemoteRegionLinks + (in_region - sharing) * kOtherZoneLinks;
  return usable > reserved ? (usable - reserved) / sharing : 1;
}

}  // namespace cairnhollow::registered::balancing
