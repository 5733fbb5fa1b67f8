// Incarnations of proxies: a random number for each start of the process. The lowest bit says whether the
// proxy can divide tenants' limits among many owners. Builds and settings that do not always set it, so that
// no message or record needs a field for it.
#pragma once

#include <cstdint>

namespace cairnhollow::registered::registry {

/// Returns a non-zero incarnation from random bits. `spreads_limits`: the proxy divides limits among
/// limits::kManyQuotaOwners if all others do, too.
constexpr std::uint64_t proxy_incarnation(std::uint64_t random, bool spreads_limits) {
  constexpr std::uint64_t kFewOwners = 1;
  return spreads_limits ? (random & ~kFewOwners) | 2U : random | kFewOwners;
}

/// Whether the proxy can divide limits among limits::kManyQuotaOwners.
constexpr bool spreads_limits(std::uint64_t incarnation) {
  return incarnation != 0 && (incarnation & 1U) == 0;
}

}  // namespace cairnhollow::registered::registry
