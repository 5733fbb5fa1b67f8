// Divides a limit among its owners so that no interval sees more operations than its allowance.
//
// A limit has kQuotaOwners or kManyQuotaOwners owner proxies, in different zones if there are enough zones.
// Each owner has a token bucket with an equal part of the rate and of the total depth. An operation runs only
// with a token that was taken for it after the caller sent it, and that was requested at most kTokenLifetime
// before it runs, possibly in advance (token_stock.h). With rate R, operations that are both sent and run
// within a window W use tokens granted in W or in the kTokenLifetime before it: at most R x (W +
// kTokenLifetime) + depths. The depths are the remainder of the allowance:
//
//   depths = (R x W + burst) x (1 + overshoot) + slack - R x (W + kTokenLifetime)
//
// For tenants this exceeds the burst, so splitting the bucket refuses nothing that a single bucket would
// accept. A bucket shallower than one token never grants: the rate is lowered until every bucket holds one
// token. If the allowance is below one token per owner, nothing passes.
#pragma once

#include <cstddef>

#include "registered/limits/limit.h"

namespace cairnhollow::registered::limits {

/// Owners per limit, if not kManyQuotaOwners. With one of three unavailable, two thirds of the rate remain,
/// enough for a tenant that uses 0.6 of its limit; a single owner would leave nothing.
inline constexpr std::size_t kQuotaOwners = 3;
/// Owners of a tenant's limit in fleets that spread limits (registry/proxy_incarnation.h). If three quarters
/// of all proxies are lost at once, one of nine survives with 92% probability, one of three with 58%, and the
/// rate that survives is close to the part of the proxies that do. More would leave each owner a bucket too
/// shallow for the usual slack of 20 operations.
inline constexpr std::size_t kManyQuotaOwners = 9;
/// Lifetime of a token, from the request for it. A longer lifetime needs fewer requests, but reduces the
/// total bucket depth by rate x lifetime.
inline constexpr Duration kTokenLifetime = std::chrono::milliseconds(250);

/// One owner's bucket.
struct OwnerShare {
  double rate_per_s = 0;  ///< refill rate, tokens per second
  double depth = 0;       ///< capacity, tokens
};

/// `owners`: number of owners of the limit.
OwnerShare owner_share(const Limit& limit, std::size_t owners = kQuotaOwners);

/// Returns the number of operations that may run in any interval of length `limit.window.window`.
double allowance(const Limit& limit);

}  // namespace cairnhollow::registered::limits
