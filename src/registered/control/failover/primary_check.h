// Failover phase "confirm": decides whether a suspected primary is to be replaced.
//
// The criteria, in this order: it does not report that it is primary of its term, in one or two consecutive
// checks, and is not just too busy to report or at its connection limit; most proxies that serve the group
// cannot use it; its commits reach no replica. The last two replace a primary that answers, so they apply
// only if a replica is likely to be proved to hold everything that was acknowledged.
//
// Postcondition: none. The replaced primary may still be running; only the fence and the leases that expire
// after it keep proxies from using it.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "registered/control/failover/group_prober.h"
#include "registered/control/failover/group_terms.h"
#include "registered/control/failover/log_comparison.h"
#include "registered/control/failover/primary_suspicions.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// Delay between consecutive checks. With kStatusTimeout each, a primary that does not answer at all is
/// replaced after at most 660 ms.
inline constexpr Duration kFailedCheckDelay = std::chrono::milliseconds(60);
/// A primary whose commits reach no replica for this long is replaced.
inline constexpr Duration kCommitStallTimeout = std::chrono::milliseconds(900);
/// A primary that is at its connection limit whenever it is checked is taken to run for this long after the
/// first such check: twice the time for which backends count the connections of processes that are gone.
inline constexpr Duration kFullPrimaryTolerance = std::chrono::seconds(6);

/// Whether the status shows the primary of exactly this term. False if there is no status.
bool is_primary_of(const std::optional<BackendStatus>& status, const registry::GroupTerm& term);

/// Referenced objects are not owned and must outlive this object, which must live until the process exits.
class PrimaryCheck {
 public:
  PrimaryCheck(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet, GroupTerms& terms,
               GroupProber& prober, LogComparison& log_comparison, const PrimarySuspicions& suspicions)
      : runtime_(runtime),
        fleet_(fleet),
        terms_(terms),
        prober_(prober),
        log_comparison_(log_comparison),
        suspicions_(suspicions) {}

  /// Returns the reason for replacing the term's primary, for the log, or std::nullopt if it is not to be
  /// replaced or this node is not the leader.
  Awaitable<std::optional<std::string>> confirm(registry::GroupTerm term,
                                                PrimarySuspicions::Suspected suspected);

 private:
  /// `reason` is set to the failure of the last check, if it got no answer.
  Awaitable<bool> has_failed(registry::GroupTerm term, registry::BackendEntry primary,
                             std::size_t suspecting_proxies, Reason& reason);
  /// Whether a check that met the connection limit, after `failures` that failed, shows that the primary
  /// runs.
  bool tolerates_full_primary(const registry::GroupTerm& term, int failures);
  Awaitable<bool> has_stalled_commits(registry::GroupTerm term);
  [[nodiscard]] std::size_t serving_proxies(const GroupName& group) const;

  runtime::Runtime& runtime_;
  const registry::FleetStateMachine& fleet_;
  GroupTerms& terms_;
  GroupProber& prober_;
  LogComparison& log_comparison_;
  const PrimarySuspicions& suspicions_;
  /// When a group's primary of an epoch was first met at its connection limit, until it shows its status.
  std::map<GroupName, std::pair<std::uint64_t, TimePoint>> full_since_;
};

}  // namespace cairnhollow::registered::control
