// Which revision of the membership nobody acts on an older one than.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "base/types.h"

namespace cairnhollow::registered::registry {

/// What the leader knows of one incarnation of a proxy that may count operations for tenants.
struct ProxyKnowledge {
  std::uint64_t revision = 0;   ///< that it said it holds, to this leader; 0: it said nothing yet
  TimePoint may_count_until{};  ///< at the latest, by what was confirmed to it (registry/budget_authority.h)
};

/// The least revision that a proxy which may still count can act on; `newest` when none can act on an old
/// one.
inline std::uint64_t stable_revision(const std::vector<ProxyKnowledge>& proxies, std::uint64_t newest,
                                     TimePoint now) {
  std::uint64_t settled = newest;
  for (const ProxyKnowledge& proxy : proxies) {
    if (now <= proxy.may_count_until) settled = std::min(settled, proxy.revision);
  }
  return settled;
}

}  // namespace cairnhollow::registered::registry
