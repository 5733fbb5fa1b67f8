// Upper bounds on how long promises made to a proxy may remain valid, as the control node computes them. Pure
// arithmetic; the caller passes the times. All times are of this node's clock, and every bound errs on the
// late side, so that code that waits for it acts only after the promise has expired.
//
// Each promise, the event from which the proxy counts it, the time for which control waits, and the margin:
// - Serving lease granted by this leader. The proxy counts from sending its report; control waits one serving
//   lease from receiving it. The margin is the report's transit time.
// - Serving lease granted by a previous leader. The proxy counts from sending its report; control waits one
//   serving lease from its own election. The margin is the same.
// - Lease granted by the group's members for use of the primary (registry/member_lease.h). The proxy counts
//   from sending its status queries; control waits kMemberLeaseWait from the pause. The margin is one fifth.
// - Authority to count operations (registry/budget_authority.h). The proxy counts from sending its report;
//   control waits kBudgetAuthorityWait from receiving it. The margin is one fiftieth.
//
// The transit time is a sufficient margin for clock drift over a serving lease: at 1.5 s, two clocks that
// differ by 200 ppm diverge by 0.3 ms. The quorum round that backs each lease starts after the report was
// received, so a leader that was replaced before then grants none.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/types.h"
#include "registered/registry/budget_authority.h"
#include "registered/registry/member_lease.h"

namespace cairnhollow::registered::control {

/// A proxy whose lease expired this long ago is excluded from the division of groups until it returns. Short,
/// so that a failed proxy's share of backend connections is reassigned quickly.
/// When half of 66 proxies lost power, the others served clearly less while the lost ones kept their share
/// for 8 s.
inline constexpr Duration kAbsentProxyAfter = std::chrono::milliseconds(200);
/// A proxy is removed 2 s after it can no longer serve by member leases either.
inline constexpr Duration kForgetProxyAfter = registry::kServeWithoutControl + std::chrono::seconds(2);

/// State of a proxy relative to the end of its lease.
enum class ProxyPresence : std::uint8_t {
  kPresent,    ///< its lease is valid, or expired at most kAbsentProxyAfter ago
  kAbsent,     ///< excluded from the division of groups; the commits it acknowledged still count
  kForgotten,  ///< removed from the fleet
};

/// `lease_end`: the latest time at which its serving lease may be valid.
inline ProxyPresence presence_after(TimePoint lease_end, TimePoint now) {
  if (now > lease_end + kForgetProxyAfter) return ProxyPresence::kForgotten;
  if (now > lease_end + kAbsentProxyAfter) return ProxyPresence::kAbsent;
  return ProxyPresence::kPresent;
}

/// The latest time at which a proxy may still count operations on behalf of others, based on its last
/// confirmation by control.
inline TimePoint budget_authority_end(TimePoint lease_end, Duration serving_lease) {
  return lease_end - serving_lease + registry::kBudgetAuthorityWait;
}

/// The time from which every proxy that serves without control also queries a given group member. The member
/// has been known to this node since `known_since`, at fleet revision `known_revision`. `silent_revision`:
/// the lowest fleet revision that any proxy without an answer is known to hold. A proxy whose last lease
/// predates the member may serve without querying it until `known_since` + kServeWithoutControl +
/// kMemberLease.
inline TimePoint queried_by_all_from(TimePoint known_since, std::uint64_t known_revision,
                                     std::uint64_t silent_revision) {
  if (silent_revision >= known_revision) return known_since;
  return known_since + registry::kServeWithoutControl + registry::kMemberLease;
}

/// The time by which all leases that depend on a member's answers before its pause have expired, including
/// those of proxies that may not have queried the member.
inline TimePoint member_lease_end(TimePoint paused_at, TimePoint queried_by_all_since) {
  return std::max(paused_at + registry::kMemberLeaseWait, queried_by_all_since);
}

/// Target interval between lease requests of all proxies together, as far as the lease duration allows.
inline constexpr Duration kReportSpacing = std::chrono::milliseconds(4);

/// Interval at which a proxy requests a lease. Grows with the number of proxies, but is clamped so that one
/// lost report does not cost a proxy its lease.
inline Duration report_interval(std::size_t proxies, Duration serving_lease) {
  const Duration by_load = kReportSpacing * static_cast<Duration::rep>(proxies);
  return std::clamp<Duration>(by_load, serving_lease / 4, serving_lease * 2 / 5);
}

}  // namespace cairnhollow::registered::control
