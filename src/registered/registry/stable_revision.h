// Computes the stable revision: the highest membership revision such that no proxy acts on an older one.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "base/types.h"

namespace cairnhollow::registered::registry {

/// The leader's knowledge of one incarnation of a proxy that may count operations for tenants.
struct ProxyKnowledge {
  std::uint64_t revision = 0;   ///< last reported to this leader; 0: none reported yet
  TimePoint may_count_until{};  ///< latest end of its authority (registry/budget_authority.h)
};

/// The lowest revision held by a proxy that may still count operations, or `newest` if there is no such proxy
/// at an older one.
inline std::uint64_t stable_revision(const std::vector<ProxyKnowledge>& proxies, std::uint64_t newest,
                                     TimePoint now) {
  std::uint64_t settled = newest;
  for (const ProxyKnowledge& proxy : proxies) {
    if (now <= proxy.may_count_until) settled = std::min(settled, proxy.revision);
  }
  return settled;
}

}  // namespace cairnhollow::registered::registry
