#include "registered/registry/division.h"

#include <algorithm>

#include "subset/subset.h"

namespace cairnhollow::registered::registry {

std::uint64_t usable_connections(const GroupRule& rule) {
  if (rule.max_connections == 0) return 0;
  return rule.max_connections > kReservedConnections ? rule.max_connections - kReservedConnections : 1;
}

std::size_t serving_proxies(const GroupRule& rule, const std::vector<std::uint64_t>& slots,
                            std::size_t proxies, bool tenants) {
  std::size_t serving = proxies;
  const std::uint64_t usable = usable_connections(rule);
  if (usable > 0) serving = subset::subset_size(static_cast<std::uint32_t>(usable), proxies);
  for (const std::uint64_t of_backend : slots) {
    const std::uint64_t by_slots =
        of_backend * (tenants ? kServingProxiesPerSlotOfTenants : kServingProxiesPerSlot);
    if (by_slots > 0) serving = std::min<std::size_t>(serving, by_slots);
  }
  return serving;
}

}  // namespace cairnhollow::registered::registry
