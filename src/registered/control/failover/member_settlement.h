// Finds evidence that the remaining members of a group hold what its departed members held
// (registry/departed_members.h), and has it recorded. Until then the furthest log among the remaining members
// proves nothing in the phase "compare logs".
//
// The evidence, in this order: a departed member has ended; the primary of the open term shows a position; a
// remaining replica shows that position. The order matters: a departed member that still runs may be the only
// replica to receive later commits. A member that does not answer may still be running, however long it has
// been silent.
#pragma once

#include <set>
#include <vector>

#include "registered/control/failover/group_prober.h"
#include "registered/control/failover/group_terms.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

/// Delay between attempts to settle a group while a departed member still runs. Deregistered backends serve
/// on for seconds, and each attempt costs one of them a status query.
inline constexpr Duration kDepartedProbeInterval = std::chrono::milliseconds(500);

/// Entry of a departed member, for queries.
registry::BackendEntry departed_entry(const registry::DepartedMember& departed, const GroupName& group);

/// Runs on the leader. Referenced objects are not owned and must outlive this object, which must live until
/// the process exits.
class MemberSettlement {
 public:
  /// `settled` is notified after each attempt.
  MemberSettlement(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet, GroupTerms& terms,
                   GroupProber& prober, runtime::Signal& settled)
      : runtime_(runtime), fleet_(fleet), terms_(terms), prober_(prober), settled_(settled) {}

  /// Starts an attempt for each open group with departed members.
  void settle_all();
  /// Whether an attempt is running for any group.
  [[nodiscard]] bool is_running() const { return !running_.empty(); }

 private:
  using Departed = std::vector<registry::DepartedMember>;

  Awaitable<void> settle(GroupName group);
  /// The departed members that have certainly ended.
  Awaitable<Departed> find_ended(GroupName group);
  /// Whether a remaining replica holds everything that the primary held when this was called.
  Awaitable<bool> has_caught_up_replica(registry::GroupTerm term);

  runtime::Runtime& runtime_;
  const registry::FleetStateMachine& fleet_;
  GroupTerms& terms_;
  GroupProber& prober_;
  runtime::Signal& settled_;
  std::set<GroupName> running_;
};

}  // namespace cairnhollow::registered::control
