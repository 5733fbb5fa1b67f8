// Which incarnations of backends have left each group, and whether those who stayed hold what they held. The
// phase "compare logs" asks it: while a member that left may have been the only one beside the primary to
// hold acknowledged commits, the furthest log among those who stayed proves nothing.
//
// Every control node watches, also one that does not lead: one that is elected after the leader's death then
// knows at once whether the replicas' word is enough, instead of after kMembersSettleTime. What it hears late
// it takes to have happened late, which errs on the safe side.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>

#include "registered/control/failover/group_prober.h"
#include "registered/control/failover/group_terms.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

/// Whoever stays in a group has received within this time what one that left held. Chosen, not measured.
inline constexpr Duration kMembersSettleTime = std::chrono::seconds(3);
/// Pause between comparisons at a node that follows: it needs the outcome only when it is elected, and each
/// comparison asks every member. Chosen, not measured.
inline constexpr Duration kFollowerSettleRetry = std::chrono::seconds(1);

/// One group's members, as far as this node has seen them come and go. Pure.
struct Membership {
  std::set<registry::BackendIncarnation> members;
  TimePoint left_at{};  ///< when a member was last found gone, or this node began to watch
  /// A member left that may have been the only one to hold acknowledged commits beside the primary, and no
  /// other was seen to hold as much as the primary since.
  bool is_unsettled = false;
  /// While unsettled: such a member came back under its name, as another incarnation.
  bool was_replaced = false;

  /// Members come and go as incarnations: one that started again has left with all that it held.
  void record(std::set<registry::BackendIncarnation> now_members, TimePoint now);
  /// A member that stayed holds what the primary held when the last one left.
  void settle();
  /// Whether all who stayed surely hold what those who left held.
  [[nodiscard]] bool is_stable(TimePoint now) const;
};

/// The objects that it is given outlive it; it lives until the process ends.
class MembershipWatch {
 public:
  /// `settled` is notified after each comparison.
  MembershipWatch(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet, GroupTerms& terms,
                  GroupProber& prober, runtime::Signal& settled)
      : runtime_(runtime), fleet_(fleet), terms_(terms), prober_(prober), settled_(settled) {}

  /// Records the members of all groups, and begins to compare those of unsettled ones.
  void watch_all();
  /// The group's membership by the registrations that are in force now.
  const Membership& watch(const GroupName& group);
  /// Whether members of some group are being compared.
  [[nodiscard]] bool is_comparing() const { return !comparing_.empty(); }

 private:
  void record_all();
  Awaitable<void> settle(GroupName group);
  /// Whether a member that stayed holds what the primary holds.
  Awaitable<bool> compare(GroupName group);

  runtime::Runtime& runtime_;
  const registry::FleetStateMachine& fleet_;
  GroupTerms& terms_;
  GroupProber& prober_;
  runtime::Signal& settled_;
  std::map<GroupName, Membership> memberships_;
  std::set<GroupName> comparing_;
  std::optional<std::uint64_t> watched_revision_;  ///< of the fleet, up to which members are recorded
};

}  // namespace cairnhollow::registered::control
