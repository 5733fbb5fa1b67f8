#include "tenancy/tenant_division.h"

#include <algorithm>
#include <cmath>

#include "routing/hash.h"

namespace cairnhollow::tenancy {

namespace {

struct Weighted {
  routing::ProxyPointer proxy;
  std::uint64_t weight = 0;
};

/// Heaviest for the tenant first.
void sort_for_tenant(std::vector<routing::ProxyPointer>& proxies, const TenantName& tenant) {
  std::vector<Weighted> weighted;
  weighted.reserve(proxies.size());
  for (auto& proxy : proxies)
    weighted.push_back({proxy, routing::rendezvous_weight(tenant.value, proxy->name.value)});
  std::stable_sort(weighted.begin(), weighted.end(),
                   [](const Weighted& one, const Weighted& other) { return one.weight > other.weight; });
  for (std::size_t place = 0; place < proxies.size(); ++place) proxies[place] = weighted[place].proxy;
}

}  // namespace

std::size_t proxies_of_tenant(std::size_t in_zone, double part) {
  const double earned = std::ceil(static_cast<double>(in_zone) * part / kWholeZonePart);
  return std::clamp<std::size_t>(static_cast<std::size_t>(earned), 1, std::max<std::size_t>(in_zone, 1));
}

std::vector<routing::ProxyPointer> order_for_tenant(std::vector<routing::ProxyPointer> serving,
                                                    const TenantName& tenant, double part,
                                                    const ZoneName& zone) {
  const auto is_near = [&](const routing::ProxyPointer& proxy) { return proxy->zone == zone; };
  std::vector<routing::ProxyPointer> near;
  std::vector<routing::ProxyPointer> far;
  std::copy_if(serving.begin(), serving.end(), std::back_inserter(near), is_near);
  std::remove_copy_if(serving.begin(), serving.end(), std::back_inserter(far), is_near);
  const std::vector<routing::ProxyPointer> by_forwarder = near;
  sort_for_tenant(near, tenant);
  sort_for_tenant(far, tenant);
  // Forwarders spread over the tenant's proxies of the zone, each in its own order.
  const std::size_t own = std::min(proxies_of_tenant(near.size(), part), near.size());
  const auto place_of = [&](const routing::ProxyPointer& proxy) {
    return std::find(by_forwarder.begin(), by_forwarder.end(), proxy);
  };
  std::sort(near.begin(), near.begin() + static_cast<std::ptrdiff_t>(own),
            [&](const auto& one, const auto& other) { return place_of(one) < place_of(other); });
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

}  // namespace cairnhollow::tenancy
