// Maintains one primary in each group of a registered fleet: discovers the first primary, and replaces failed
// and leaving ones. Acts only on the leader of the control nodes.
//
// A failover goes through the following phases, in this order. For each, the list names the class, the
// postcondition on which the next phase relies, and the time limit.
// - suspect (PrimarySuspicions): proxies report that the primary of this term does not serve. Expires after
//   600 ms.
// - confirm (PrimaryCheck): this node's own checks agree. 660 ms, and 900 ms more for stalled commits.
// - planned change (PlannedChange), instead of both: a successor has caught up. Retried every 100 ms.
// - close (GroupTerms::close): proxies that learn of the epoch stop using the primary. 800 ms.
// - wait (FenceWait): no proxy uses the primary under a lease from control. One serving lease.
// - compare logs (LogComparison::gather): the log ends and the acknowledged position are known. 300 ms.
// - choose (choose_promotion): the chosen backend holds every acknowledged commit. Pure.
// - promote (PromotionRequests): a node that is certainly the leader has recorded and requested the
//   promotion. 1 s each to connect, for the record, the read barrier and the answer.
// - confirm (wait_until_leading): the chosen incarnation is primary and still has its log. 3 s, then retried.
// - open (GroupTerms::open): proxies may use the new primary. 800 ms.
// - release (PauseRelease, Promotion::step_down): paused members resume and the old primary steps down. 30 s.
//
// A closed group repeats "wait" and the following phases until it is open. A leader that is elected during a
// failover therefore continues it, and a phase with an uncertain outcome is retried.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "consensus/consensus.h"
#include "registered/control/failover/acknowledgement_bounds.h"
#include "registered/control/failover/fence_wait.h"
#include "registered/control/failover/group_prober.h"
#include "registered/control/failover/group_terms.h"
#include "registered/control/failover/log_comparison.h"
#include "registered/control/failover/member_settlement.h"
#include "registered/control/failover/pause_release.h"
#include "registered/control/failover/planned_change.h"
#include "registered/control/failover/primary_check.h"
#include "registered/control/failover/primary_suspicions.h"
#include "registered/control/failover/promotion_requests.h"
#include "registered/control/failover/promotion_steps.h"
#include "registered/control/failover/promotion_turns.h"
#include "registered/control/failover/replication_pauses.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

/// Interval between checks of all groups when no event triggers one.
inline constexpr Duration kGroupCheckInterval = std::chrono::milliseconds(250);

struct GroupKeeperSettings {
  NodeName node;
  locality::RegionMap regions{};
  double promotion_rate =
      0;  ///< promotion calls per second that the platform accepts from all nodes; 0 means unlimited
};

/// Referenced objects are not owned and must outlive this object, which must live until the process exits.
class GroupKeeper {
 public:
  GroupKeeper(runtime::Runtime& runtime, consensus::Consensus& consensus, registry::FleetStateMachine& fleet,
              LeaderCalls& calls, LeaseKeeper& leases, GroupProber& prober,
              registry::PromotionCaller& promotions, GroupKeeperSettings settings);

  void start();
  void stop();
  /// After stop(), returns once the promotion attempts in progress are recorded as withdrawn or settled, or
  /// after kPromotionConclusionTimeout.
  Awaitable<void> conclude();
  /// Returns the number of promotions without proof that the backend holds every acknowledged commit, made
  /// because the incarnations that held the newest commits had ended.
  [[nodiscard]] std::uint64_t unproved_promotions() const { return unproved_promotions_; }
  [[nodiscard]] const PromotionRequests& promotion_requests() const { return promotion_requests_; }
  /// Records that `proxy` suspects a primary.
  void record_suspicion(const NodeName& proxy, const registry::PrimarySuspicion& suspicion);

 private:
  Awaitable<void> run();
  void check_all();
  /// Starts the task that the group needs, unless one is already running for it.
  void check(const GroupName& group);
  void start_task(const GroupName& group, Awaitable<void> task);
  Awaitable<void> run_task(GroupName group, Awaitable<void> task);

  /// For a group without a term: records the backend that already is primary as the first primary.
  Awaitable<void> discover(GroupName group);
  /// Closes the group after another incarnation of its primary has registered, which means that the former
  /// one ended.
  Awaitable<void> close_restarted(GroupName group);
  Awaitable<void> check_primary(GroupName group, PrimarySuspicions::Suspected suspected);
  Awaitable<void> switch_over(GroupName group);
  /// Makes one attempt to reopen a closed group.
  Awaitable<void> fail_over(GroupName group);
  Awaitable<void> replace_primary(registry::GroupTerm closed);
  /// The choice and the facts behind it.
  struct Decision {
    PromotionFacts facts;
    PromotionChoice choice;
  };
  /// Chooses the next primary. Repeats the choice if it waited for a turn to promote, as the facts may have
  /// changed. Returns std::nullopt if the close is no longer current.
  Awaitable<std::optional<Decision>> choose(registry::GroupTerm closed);
  /// Logs the choice. A group that waits is logged again only when what it waits for changes.
  void log_choice(const registry::GroupTerm& chosen, const PromotionChoice& choice);
  /// Whether the group cannot be opened with `primary` yet, because an earlier request may have promoted
  /// another backend.
  [[nodiscard]] bool awaits_settlement(const GroupName& group, const BackendName& primary) const;
  /// Requests the promotion of a backend that leads already, so that the platform's answer settles withdrawn
  /// requests for other backends.
  Awaitable<void> request_settlement(registry::GroupTerm closed, MemberFinding chosen);
  Awaitable<std::optional<std::uint64_t>> promote(registry::GroupTerm closed, MemberFinding chosen);
  Awaitable<void> open(registry::GroupTerm closed, Decision decision, MemberFinding chosen,
                       std::uint64_t term);
  /// Counts and logs a promotion after which acknowledged commits may be lost.
  void report_unproved(const PromotionFacts& facts, const MemberFinding& chosen);

  runtime::Runtime& runtime_;
  registry::FleetStateMachine& fleet_;
  GroupProber& prober_;
  runtime::Signal wake_;
  GroupTerms terms_;
  PrimarySuspicions suspicions_;
  ReplicationPauses pauses_;
  MemberSettlement settlement_;
  AcknowledgementBounds bounds_;
  LogComparison log_comparison_;
  PrimaryCheck primary_check_;
  PlannedChange planned_change_;
  FenceWait fence_wait_;
  PromotionTurns promotion_turns_;
  PromotionRequests promotion_requests_;
  Promotion promotion_;
  PauseRelease release_;
  std::set<GroupName> busy_;
  std::map<GroupName, std::string> logged_waits_;  ///< epoch and reason, of groups that were closed
  std::uint64_t unproved_promotions_ = 0;
  std::optional<std::uint64_t> idle_revision_;  ///< fleet revision at which no group needed a task
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
