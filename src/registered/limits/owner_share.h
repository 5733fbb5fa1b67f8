// How a limit is divided, so that no stretch of time sees more operations than is allowed.
//
// What is limited has kQuotaOwners proxies that count for it (its owners), one a zone where there are as many
// zones. Every owner has a token bucket of a third of the rate and of `depth`; who runs an operation has
// taken a token from one of them, at most kGrantLife ago, after the caller had sent it. With the rate R, in
// any window W the operations that were both sent and run in it took tokens that were granted in the window
// or kGrantLife before: at most R x (W + kGrantLife) + depths. The depths are what the allowance leaves:
//
//   depths = (R x W + burst) x (1 + overshoot) + slack - R x (W + kGrantLife)
//
// For tenants that is more than the burst, so that splitting it in three refuses nothing that one bucket
// would let pass. A bucket under one token would never let anything pass: where less than that is left for
// each, the rate is lowered until one is, and where the allowance is less than one token an owner nothing
// passes.
#pragma once

#include <cstddef>

#include "registered/limits/limit.h"

namespace cairnhollow::registered::limits {

/// Proxies that count for one limited thing. Two of three give two thirds of the rate, which is what a tenant
/// that uses 0.6 of its limit needs while one of them is away; one would give nothing. Chosen, not measured.
inline constexpr std::size_t kQuotaOwners = 3;
/// A token may be used this long after it was asked for. Longer: asked for less often, and a smaller bucket
/// (a quarter of a second takes a quarter of the rate off the depths).
inline constexpr Duration kGrantLife = std::chrono::milliseconds(250);

/// One owner's bucket.
struct OwnerShare {
  double rate_per_s = 0;  ///< tokens that come in
  double depth = 0;       ///< tokens that it holds at most
};

OwnerShare owner_share(const Limit& limit);

/// Operations that may run in any window.
double allowance(const Limit& limit);

}  // namespace cairnhollow::registered::limits
