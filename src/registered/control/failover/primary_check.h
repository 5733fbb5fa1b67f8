// Phase "confirm" of a change of primary: whether a suspected primary is to be given up.
//
// The reasons, in this order: it does not show that it leads its term, in one or two checks in a row; most
// proxies that serve the group can't use it; its commits reach no replica. The last two replace a primary
// that answers, so they count only while a replica can be shown to hold all that was acknowledged.
//
// Invariant handed on: none. A primary that is given up here may run on, and only the fence and the leases
// that it waits for keep proxies from using it.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "registered/control/failover/group_prober.h"
#include "registered/control/failover/group_terms.h"
#include "registered/control/failover/log_comparison.h"
#include "registered/control/failover/primary_suspicions.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// Pause between checks in a row: with kStatusTimeout each, a primary that answers nothing is given up after
/// 660 ms at most. Chosen, not measured.
inline constexpr Duration kDeadCheckPause = std::chrono::milliseconds(60);
/// A primary whose commits stall while replicas are behind for this long is given up. Chosen, not measured.
inline constexpr Duration kStallLimit = std::chrono::milliseconds(900);

/// Whether the status, empty without an answer, shows the primary of exactly this term.
bool shows_lead_of(const std::optional<BackendStatus>& status, const registry::GroupTerm& term);

/// The objects that it is given outlive it; it lives until the process ends.
class PrimaryCheck {
 public:
  PrimaryCheck(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet, GroupTerms& terms,
               GroupProber& prober, LogComparison& logs, const PrimarySuspicions& suspicions)
      : runtime_(runtime),
        fleet_(fleet),
        terms_(terms),
        prober_(prober),
        logs_(logs),
        suspicions_(suspicions) {}

  /// Why the term's primary is to be given up, for the log; empty: it is not, or this node does not lead.
  Awaitable<std::optional<std::string>> confirm(registry::GroupTerm term,
                                                PrimarySuspicions::Suspected suspected);

 private:
  /// `reason`: of the last check, where it was not answered.
  Awaitable<bool> is_dead(registry::GroupTerm term, registry::BackendEntry primary,
                          std::size_t suspecting_proxies, Reason& reason);
  Awaitable<bool> has_stalled_commits(registry::GroupTerm term);
  [[nodiscard]] std::size_t serving_proxies(const GroupName& group) const;

  runtime::Runtime& runtime_;
  const registry::FleetStateMachine& fleet_;
  GroupTerms& terms_;
  GroupProber& prober_;
  LogComparison& logs_;
  const PrimarySuspicions& suspicions_;
};

}  // namespace cairnhollow::registered::control
