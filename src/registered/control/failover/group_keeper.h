// Keeps one primary in each group of a registered fleet: finds the first one, and replaces dead and leaving
// ones. Acts on the leader of the control nodes only.
//
// A change of primary goes through these phases, in this order. Each names its class, what it hands on to the
// next one, which relies on it, and its bound.
// - suspect (PrimarySuspicions): proxies say of this very term that it does not serve. Lapses after 600 ms.
// - confirm (PrimaryCheck): this node asked it and found the same. 660 ms; 900 ms more for stalled commits.
// - planned change (PlannedChange), in place of both: a successor has caught up. Tried each 100 ms.
// - close (GroupTerms::close): proxies that hear of the epoch use the primary no more. 800 ms.
// - wait (FenceWait): no proxy uses it under control's lease. One serving lease.
// - compare logs (LogComparison::gather): where each log ends, and what was acknowledged. 300 ms.
// - choose (choose_promotion): who holds every acknowledged commit. Pure.
// - promote (Promotion::order): the order is given by who leads for certain. 200 ms, and 1 s for the call.
// - confirm (wait_until_leading): the chosen incarnation leads, with its log. 3 s, then anew.
// - open (GroupTerms::open): proxies may use the new primary. 800 ms.
// - release (PauseRelease, Promotion::step_down): paused members receive, the old primary steps down. 30 s.
//
// A group that is closed goes through "wait" and what follows again and again until it is open. So a leader
// that is elected during a change goes on with it, and what is not certain is tried anew.
#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "consensus/consensus.h"
#include "registered/control/failover/fence_wait.h"
#include "registered/control/failover/group_prober.h"
#include "registered/control/failover/group_terms.h"
#include "registered/control/failover/log_comparison.h"
#include "registered/control/failover/membership_watch.h"
#include "registered/control/failover/pause_release.h"
#include "registered/control/failover/planned_change.h"
#include "registered/control/failover/primary_check.h"
#include "registered/control/failover/primary_suspicions.h"
#include "registered/control/failover/promotion_steps.h"
#include "registered/control/failover/promotion_turns.h"
#include "registered/control/failover/replication_pauses.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

/// How often groups are checked when nothing happens. Chosen, not measured.
inline constexpr Duration kGroupTick = std::chrono::milliseconds(250);

struct GroupKeeperSettings {
  NodeName node;
  locality::RegionMap regions{};
  double promotion_rate = 0;  ///< calls a second that the platform takes from all nodes; 0: any number
};

/// The objects that it is given outlive it; it lives until the process ends.
class GroupKeeper {
 public:
  GroupKeeper(runtime::Runtime& runtime, consensus::Consensus& consensus, registry::FleetStateMachine& fleet,
              LeaderCalls& calls, LeaseKeeper& leases, GroupProber& prober,
              registry::PromotionCaller& promotions, GroupKeeperSettings settings);

  void start();
  void stop();
  /// Promotions without proof, as the incarnations that held the newest commits were over.
  [[nodiscard]] std::uint64_t unproved_promotions() const { return unproved_promotions_; }
  /// `proxy` suspects a primary.
  void record_suspicion(const NodeName& proxy, const registry::PrimarySuspicion& suspicion);

 private:
  Awaitable<void> run();
  void check_all();
  /// Begins what the group needs, if it needs anything and nothing goes on for it.
  void check(const GroupName& group);
  void begin(const GroupName& group, Awaitable<void> task);
  Awaitable<void> run_task(GroupName group, Awaitable<void> task);

  /// A group without a term: whoever leads already is the first primary.
  Awaitable<void> discover(GroupName group);
  /// Another incarnation of the primary has registered: the one that led is over.
  Awaitable<void> give_up_restarted(GroupName group);
  Awaitable<void> examine(GroupName group, PrimarySuspicions::Suspected suspected);
  Awaitable<void> change_as_planned(GroupName group);
  /// The group is closed: one try to open it again.
  Awaitable<void> fail_over(GroupName group);
  Awaitable<void> replace_primary(registry::GroupTerm closed);
  /// The choice, repeated after the wait for a turn to promote, as what was found may have changed. Empty:
  /// the close is past.
  struct Choice {
    PromotionFacts facts;
    PromotionChoice made;
  };
  Awaitable<std::optional<Choice>> choose(registry::GroupTerm closed);
  Awaitable<std::optional<std::uint64_t>> promote(registry::GroupTerm closed, MemberFinding chosen);
  Awaitable<void> open(registry::GroupTerm closed, Choice choice, MemberFinding chosen, std::uint64_t term);
  /// Acknowledged commits may be gone; counts and logs it.
  void record_unproved(const PromotionFacts& facts, const MemberFinding& chosen);

  runtime::Runtime& runtime_;
  registry::FleetStateMachine& fleet_;
  GroupProber& prober_;
  runtime::Signal wake_;
  GroupTerms terms_;
  PrimarySuspicions suspicions_;
  ReplicationPauses pauses_;
  MembershipWatch members_;
  LogComparison logs_;
  PrimaryCheck primary_check_;
  PlannedChange planned_;
  FenceWait fence_wait_;
  PromotionTurns turns_;
  Promotion promotion_;
  PauseRelease release_;
  std::set<GroupName> busy_;
  std::uint64_t unproved_promotions_ = 0;
  std::optional<std::uint64_t> quiet_revision_;  ///< of the fleet, at which no group needed anything
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
