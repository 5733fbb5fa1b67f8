#include "registered/tenancy/tenant_division.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace cairnhollow::registered::tenancy {

std::size_t proxies_of_tenant(std::size_t in_zone, double part) {
  const double earned = std::ceil(static_cast<double>(in_zone) * part / kWholeZonePart);
  return std::clamp<std::size_t>(static_cast<std::size_t>(earned), 1, std::max<std::size_t>(in_zone, 1));
}

std::vector<subset::ProxyPointer> order_for_tenant(const std::vector<subset::ProxyPointer>& serving,
                                                   const TenantName& tenant, double part,
                                                   const ZoneName& zone) {
  // Orders by the rendezvous weights of the tenant instead of those of a forwarder.
  auto order = subset::forwarding_order(serving, NodeName(tenant.value), zone);
  const auto near = static_cast<std::size_t>(std::count_if(
      order.begin(), order.end(), [&](const subset::ProxyPointer& proxy) { return proxy->zone == zone; }));
  const std::size_t own = std::min(proxies_of_tenant(near, part), near);
  // Each forwarder orders the tenant's proxies of the zone by its own weights, which spreads the load.
  const auto place_of = [&](const subset::ProxyPointer& proxy) {
    return std::find(serving.begin(), serving.end(), proxy);
  };
  std::sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(own),
            [&](const auto& one, const auto& other) { return place_of(one) < place_of(other); });
  return order;
}

ZoneName zone_of_reads(const std::vector<ZoneName>& reading, const TenantName& tenant, const ZoneName& zone) {
  if (std::find(reading.begin(), reading.end(), zone) != reading.end()) return zone;
  const std::uint64_t key = XXH64(tenant.value.data(), tenant.value.size(), 0);
  const auto weight = [&](const ZoneName& one) { return XXH64(one.value.data(), one.value.size(), key); };
  const auto best = std::max_element(
      reading.begin(), reading.end(),
      [&](const ZoneName& one, const ZoneName& other) { return weight(one) < weight(other); });
  return best == reading.end() ? ZoneName() : *best;
}

std::uint64_t links_of_proxy(std::uint64_t usable, const ServingProxies& serving, const ZoneName& backend,
                             const ZoneName& proxy) {
  const std::uint64_t near = serving.near(backend);
  if (near == 0) return usable / std::max<std::uint64_t>(serving.all, 1);
  if (proxy != backend) return kFarLinks;
  const std::uint64_t kept_back = (serving.all - near) * kFarLinksKeptBack;
  return usable > kept_back ? (usable - kept_back) / near : 1;
}

}  // namespace cairnhollow::registered::tenancy
