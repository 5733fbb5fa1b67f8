// Phases "compare logs" and "choose" of a change of primary: asks the members of a closed group where their
// logs end, puts that beside what the proxies acknowledged, and has promotion_choice.h decide.
//
// Invariant taken over: no proxy that holds control's lease uses the closed term's primary (fence_wait.h).
// Invariant handed on: a backend that is chosen for promotion holds every acknowledged commit, but for a
// choice that says `is_unproved`; and no proxy without an answer to the fence can use the old primary once
// the chosen one is promoted.
#pragma once

#include <vector>

#include "registered/control/failover/group_prober.h"
#include "registered/control/failover/membership_watch.h"
#include "registered/control/failover/promotion_choice.h"
#include "registered/control/failover/region_preference.h"
#include "registered/control/failover/replication_pauses.h"
#include "registered/control/leases/lease_keeper.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// The objects that it is given outlive it; it lives until the process ends.
class LogComparison {
 public:
  LogComparison(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet, LeaseKeeper& leases,
                GroupProber& prober, MembershipWatch& members, const ReplicationPauses& pauses,
                locality::RegionMap regions)
      : runtime_(runtime),
        fleet_(fleet),
        leases_(leases),
        prober_(prober),
        members_(members),
        pauses_(pauses),
        regions_(fleet, std::move(regions)) {}

  /// What is known of the group, for the choice of its next primary. Returns before all members have answered
  /// when the replicas that have prove enough: a dead primary never answers, and to wait for it took 0.3 s of
  /// a failover of 1.7 s.
  Awaitable<PromotionFacts> gather(registry::GroupTerm closed);
  /// kPromote only if no silent proxy can use the old primary.
  [[nodiscard]] PromotionChoice choose(const PromotionFacts& facts) const;
  /// Whether a replica could be shown to hold all that the open term's primary acknowledged.
  Awaitable<bool> has_provable_successor(registry::GroupTerm term);

 private:
  [[nodiscard]] PromotionFacts facts_without_members(const registry::GroupTerm& closed);
  [[nodiscard]] std::vector<MemberFinding> members_to_ask(const registry::GroupTerm& closed) const;
  /// Whether the facts prove a replica outside evacuated zones, whatever the old primary would answer.
  [[nodiscard]] bool is_enough(const PromotionFacts& facts) const;
  void mark_evacuated(std::vector<MemberFinding>& members) const;

  runtime::Runtime& runtime_;
  const registry::FleetStateMachine& fleet_;
  LeaseKeeper& leases_;
  GroupProber& prober_;
  MembershipWatch& members_;
  const ReplicationPauses& pauses_;
  RegionPreference regions_;
};

}  // namespace cairnhollow::registered::control
