// Failover phases "compare logs" and "choose": queries the members of a closed group for the end of their
// logs, combines it with what the proxies acknowledged, and lets promotion_choice.h decide.
//
// Precondition: no proxy that holds a lease from control uses the closed term's primary (fence_wait.h).
// Postcondition: a backend that is chosen for promotion holds every acknowledged commit, unless the choice is
// marked `is_unproved`; and no proxy that did not answer the fence can use the old primary once the chosen
// backend is promoted.
#pragma once

#include <vector>

#include "registered/control/failover/acknowledgement_bounds.h"
#include "registered/control/failover/group_prober.h"
#include "registered/control/failover/member_settlement.h"
#include "registered/control/failover/promotion_choice.h"
#include "registered/control/failover/region_preference.h"
#include "registered/control/failover/replication_pauses.h"
#include "registered/control/leases/lease_keeper.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// Referenced objects are not owned and must outlive this object, which must live until the process exits.
class LogComparison {
 public:
  LogComparison(const registry::FleetStateMachine& fleet, LeaseKeeper& leases, GroupProber& prober,
                const ReplicationPauses& pauses, const AcknowledgementBounds& bounds,
                locality::RegionMap regions)
      : fleet_(fleet),
        leases_(leases),
        prober_(prober),
        pauses_(pauses),
        bounds_(bounds),
        regions_(fleet, std::move(regions)) {}

  /// Collects the facts for choosing the group's next primary. Returns before all members have answered if
  /// the answers of the replicas suffice, so as not to wait for the timeout of a failed primary.
  Awaitable<PromotionFacts> gather_facts(registry::GroupTerm closed);
  /// Returns kPromote only if no proxy without an answer to the fence can use the old primary.
  [[nodiscard]] PromotionChoice choose(const PromotionFacts& facts) const;
  /// Whether closing the open term may show that some replica holds everything that its primary acknowledged:
  /// one reaches the primary's log, or one answers and every proxy is in touch to report what it
  /// acknowledged.
  Awaitable<bool> has_provable_successor(registry::GroupTerm term);

 private:
  [[nodiscard]] PromotionFacts facts_without_members(const registry::GroupTerm& closed);
  /// The members, followed by the departed ones.
  [[nodiscard]] std::vector<MemberFinding> members_to_query(const registry::GroupTerm& closed) const;
  /// Sets the findings of members_to_query().
  void set_findings(PromotionFacts& facts, std::vector<MemberFinding> findings) const;
  /// Whether the facts prove a replica outside evacuated zones, regardless of what the old primary would
  /// answer.
  [[nodiscard]] bool facts_suffice(const PromotionFacts& facts) const;

  const registry::FleetStateMachine& fleet_;
  LeaseKeeper& leases_;
  GroupProber& prober_;
  const ReplicationPauses& pauses_;
  const AcknowledgementBounds& bounds_;
  RegionPreference regions_;
};

}  // namespace cairnhollow::registered::control
