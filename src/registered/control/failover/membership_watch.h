// Tracks which incarnations of backends have left each group, and whether the remaining members hold what
// they held. Used by the phase "compare logs": while a departed member may have been the only one besides the
// primary to hold acknowledged commits, the furthest log among the remaining members proves nothing.
//
// Every control node tracks this, including followers: a newly elected leader then knows at once whether the
// replicas' answers suffice, instead of after kMembersSettleTime. A departure that it learns of late counts
// as having happened late, which is the safe direction.
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

/// Time within which the remaining members of a group have received what a departed member held.
inline constexpr Duration kMembersSettleTime = std::chrono::seconds(3);
/// Delay between comparisons on a follower. Longer than on a leader, as a follower needs the result only when
/// it is elected and each comparison queries every member.
inline constexpr Duration kFollowerComparisonInterval = std::chrono::seconds(1);

/// Membership of one group as observed by this node. Pure.
struct Membership {
  std::set<registry::BackendIncarnation> members;
  TimePoint last_departure{};  ///< when a departure was last observed, or when this node started watching
  /// A departed member may have been the only one besides the primary to hold acknowledged commits, and no
  /// other member has been seen to hold as much as the primary since.
  bool is_unsettled = false;
  /// While unsettled: such a member was replaced by another incarnation with the same name, or may have been.
  bool was_replaced = false;

  /// Records the current members. They are compared by incarnation: a restarted member has left with
  /// everything it held.
  void record(std::set<registry::BackendIncarnation> current_members, TimePoint now);
  /// Records that a remaining member holds what the primary held after the last departure.
  void settle();
  /// Whether the remaining members certainly hold what the departed ones held.
  [[nodiscard]] bool is_stable(TimePoint now) const;
};

/// Referenced objects are not owned and must outlive this object, which must live until the process exits.
class MembershipWatch {
 public:
  /// `settled` is notified after each comparison.
  MembershipWatch(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet, GroupTerms& terms,
                  GroupProber& prober, runtime::Signal& settled)
      : runtime_(runtime), fleet_(fleet), terms_(terms), prober_(prober), settled_(settled) {}

  /// Records the members of all groups, and starts a comparison for each unsettled one.
  void update_all();
  /// Records the members of the group according to the current registrations, and returns its membership.
  const Membership& update(const GroupName& group);
  /// Whether a comparison is running for any group.
  [[nodiscard]] bool is_comparing() const { return !comparing_.empty(); }

 private:
  void record_all();
  Awaitable<void> settle(GroupName group);
  /// Whether a remaining member holds what the primary holds.
  Awaitable<bool> compare(GroupName group);

  runtime::Runtime& runtime_;
  const registry::FleetStateMachine& fleet_;
  GroupTerms& terms_;
  GroupProber& prober_;
  runtime::Signal& settled_;
  std::map<GroupName, Membership> memberships_;
  std::set<GroupName> comparing_;
  std::optional<std::uint64_t> watched_revision_;  ///< fleet revision up to which members are recorded
};

}  // namespace cairnhollow::registered::control
