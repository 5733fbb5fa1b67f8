// Until when what was promised to a proxy may hold, as control sees it. Pure arithmetic; the caller gives the
// times. All times are of this node's clock, and every bound is late rather than early: whoever waits for it
// acts only when the promise surely is over.
//
// Each promise with what the proxy counts it from, what control waits for, and the margin between the two:
// - Control lets a proxy serve (serving lease). Counted from its question; control waits until a serving
//   lease after the reception. The margin is the question's way.
// - A leader before this one let it serve. Counted from its question; control waits until a serving lease
//   after its own election. The margin is the same.
// - A group's members let it use the primary (registry/member_lease.h). Counted from its questions to them;
//   control waits until the pause and kMemberLeaseWait. The margin is a fifth.
// - Control lets it count operations (registry/budget_authority.h). Counted from its question; control waits
//   until the reception of that and kBudgetAuthorityWait. The margin is a fiftieth.
//
// A serving lease needs no margin for clocks that do not run alike beyond the question's way: at 1.5 s, two
// clocks that differ by 200 ppm are 0.3 ms apart at its end. The quorum round behind each lease begins after
// the question was received, so a leader that was replaced before that gives none.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/types.h"
#include "registered/registry/budget_authority.h"
#include "registered/registry/member_lease.h"

namespace cairnhollow::registered::control {

/// A proxy whose lease ran out this long ago serves no group until it is back. Where half of 66 proxies lose
/// power, worth is 0.556 with it and was 0.491 while they kept their share of connections for 8 s.
inline constexpr Duration kAbsentProxyAfter = std::chrono::milliseconds(200);
/// It is forgotten once it can't serve by leases of the groups' members any more, either: 2 s later.
inline constexpr Duration kForgetProxyAfter = registry::kServeWithoutControl + std::chrono::seconds(2);

/// What becomes of a proxy after the end of its lease.
enum class ProxyPresence : std::uint8_t {
  kPresent,    ///< it holds a lease, or did a moment ago
  kAbsent,     ///< it takes no part in the division of groups; what it acknowledged still counts
  kForgotten,  ///< it takes no part in anything
};

/// `lease_end`: the latest at which its serving lease may hold.
inline ProxyPresence presence_after(TimePoint lease_end, TimePoint now) {
  if (now > lease_end + kForgetProxyAfter) return ProxyPresence::kForgotten;
  if (now > lease_end + kAbsentProxyAfter) return ProxyPresence::kAbsent;
  return ProxyPresence::kPresent;
}

/// Until when a proxy may count operations for others by what control confirmed to it last.
inline TimePoint budget_authority_end(TimePoint lease_end, Duration serving_lease) {
  return lease_end - serving_lease + registry::kBudgetAuthorityWait;
}

/// Since when, or from when on, each proxy that serves without control asks a member of a group as well,
/// which is known here since `known_since`, when the fleet got `known_revision`. `silent_revision`: the least
/// that a proxy without an answer is known to hold of the fleet. A proxy that had its last lease before the
/// member was known may serve without asking it until the second bound.
inline TimePoint asked_by_all_from(TimePoint known_since, std::uint64_t known_revision,
                                   std::uint64_t silent_revision) {
  if (silent_revision >= known_revision) return known_since;
  return known_since + registry::kServeWithoutControl + registry::kMemberLease;
}

/// When the leases that a member gave before its pause are over, also at proxies that may not have asked it.
inline TimePoint member_lease_end(TimePoint paused_at, TimePoint asked_by_all) {
  return std::max(paused_at + registry::kMemberLeaseWait, asked_by_all);
}

/// Proxies ask for leases no closer together than this, as far as their leases allow. Chosen, not measured.
inline constexpr Duration kReportSpacing = std::chrono::milliseconds(4);

/// How often a proxy is to ask for a lease: more seldom the more proxies there are, but often enough that one
/// lost question does not cost it its lease.
inline Duration report_interval(std::size_t proxies, Duration serving_lease) {
  const Duration by_load = kReportSpacing * static_cast<Duration::rep>(proxies);
  return std::clamp<Duration>(by_load, serving_lease / 4, serving_lease * 2 / 5);
}

}  // namespace cairnhollow::registered::control
