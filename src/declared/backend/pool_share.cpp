#include "declared/backend/pool_share.h"

#include <algorithm>

#include "declared/backend/pool_knobs.h"

namespace cairnhollow::declared::backend {

std::uint32_t connection_share(const BackendCapacity& capacity) {
  const auto proxies = std::max(1U, capacity.proxies_serving);
  return std::max(1U, capacity.connections / proxies);
}

std::uint32_t slot_share(const BackendCapacity& capacity) {
  const auto proxies = std::max(1U, capacity.proxies_serving);
  const auto rounded_up = capacity.slots / proxies + (capacity.slots % proxies == 0 ? 0 : 1);
  return std::max(1U, rounded_up);
}

std::uint32_t warm_connections(const BackendCapacity& capacity) {
  if (capacity.proxies_serving > capacity.connections) return 0;
  return std::min(connection_share(capacity), std::max(kWarmConnections, slot_share(capacity)));
}

}  // namespace cairnhollow::declared::backend
