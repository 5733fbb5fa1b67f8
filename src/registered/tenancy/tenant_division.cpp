#include "registered/tenancy/tenant_division.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace cairnhollow::registered::tenancy {

std::size_t tenant_proxy_count(std::size_t in_zone, double fraction) {
  const double proxy_count = std::ceil(static_cast<double>(in_zone) * fraction / kWholeZoneFraction);
  return std::clamp<std::size_t>(static_cast<std::size_t>(proxy_count), 1, std::max<std::size_t>(in_zone, 1));
}

std::vector<subset::ProxyPointer> order_for_tenant(const std::vector<subset::ProxyPointer>& serving,
                                                   const TenantName& tenant, double fraction,
                                                   const ZoneName& zone) {
  // Orders by the rendezvous weights of the tenant instead of those of a forwarder.
  auto order = subset::forwarding_order(serving, NodeName(tenant.value), zone);
  const auto near_count = static_cast<std::size_t>(std::count_if(
      order.begin(), order.end(), [&](const subset::ProxyPointer& proxy) { return proxy->zone == zone; }));
  const std::size_t own_count = std::min(tenant_proxy_count(near_count, fraction), near_count);
  // Each forwarder orders the tenant's proxies of the zone by its own weights, which spreads the load.
  const auto position_of = [&](const subset::ProxyPointer& proxy) {
    return std::find(serving.begin(), serving.end(), proxy);
  };
  std::sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(own_count),
            [&](const auto& left, const auto& right) { return position_of(left) < position_of(right); });
  return order;
}

ZoneName zone_for_reads(const std::vector<ZoneName>& reading, const TenantName& tenant,
                        const ZoneName& zone) {
  if (std::find(reading.begin(), reading.end(), zone) != reading.end()) return zone;
  const std::uint64_t key = XXH64(tenant.value.data(), tenant.value.size(), 0);
  const auto weight = [&](const ZoneName& candidate) {
    return XXH64(candidate.value.data(), candidate.value.size(), key);
  };
  const auto best = std::max_element(
      reading.begin(), reading.end(),
      [&](const ZoneName& left, const ZoneName& right) { return weight(left) < weight(right); });
  return best == reading.end() ? ZoneName() : *best;
}

}  // namespace cairnhollow::registered::tenancy
