#include "registered/capacity/backend_owners.h"

#include <algorithm>

namespace cairnhollow::registered::capacity {

std::size_t owner_count(std::uint64_t slots) {
  const std::uint64_t needed = std::max<std::uint64_t>((slots + kSlotsPerOwner - 1) / kSlotsPerOwner, 1);
  return needed + kSpareOwners;
}

std::vector<subset::ProxyPointer> owners_of(const std::vector<subset::ProxyPointer>& serving,
                                            const ZoneName& zone, std::size_t count) {
  std::vector<subset::ProxyPointer> owners;
  for (const auto& proxy : serving) {
    if (proxy->zone == zone && owners.size() < count) owners.push_back(proxy);
  }
  if (!owners.empty()) return owners;
  owners.assign(serving.begin(),
                serving.begin() + static_cast<std::ptrdiff_t>(std::min(count, serving.size())));
  return owners;
}

}  // namespace cairnhollow::registered::capacity
