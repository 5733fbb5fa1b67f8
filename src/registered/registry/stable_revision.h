// Computes the stable revision: the highest membership revision such that no proxy acts on an older one.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "base/types.h"

namespace cairnhollow::registered::registry {

/// The leader's knowledge of one incarnation of a proxy that may count operations for tenants.
struct ProxyRevision {
  std::uint64_t revision = 0;   ///< last reported to this leader; 0: none reported yet
  TimePoint authority_until{};  ///< latest end of its authority (registry/budget_authority.h)
};

/// The lowest revision held by a proxy that may still count operations, or `newest` if there is no such proxy
/// at an older one.
inline std::uint64_t stable_revision(const std::vector<ProxyRevision>& proxies, std::uint64_t newest,
                                     TimePoint now) {
  std::uint64_t stable = newest;
  for (const ProxyRevision& proxy : proxies) {
    if (now <= proxy.authority_until) stable = std::min(stable, proxy.revision);
  }
  return stable;
}

}  // namespace cairnhollow::registered::registry
