// Phase "release" of a change of primary: members that were paused for the fence receive again, as soon as no
// order that was given can take effect any more. Whoever was paused and lags can only catch up then, and a
// primary's commits need a replica that receives.
//
// A quorum round comes first: an old leader must not end the pauses of its successor.
#pragma once

#include "registered/control/failover/group_terms.h"
#include "registered/control/failover/replication_pauses.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// The objects that it is given outlive it; it lives until the process ends.
class PauseRelease {
 public:
  PauseRelease(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet, GroupTerms& terms,
               ReplicationPauses& pauses)
      : runtime_(runtime), fleet_(fleet), terms_(terms), pauses_(pauses) {}

  /// Lets paused members of the group receive again, as long as this node leads for certain.
  Awaitable<void> release(GroupName group);
  /// Once after each election of this node: lets members of open groups receive again that an earlier leader
  /// may have left paused. True when that was begun with this call.
  bool release_left();
  /// This node does not lead: what it paused is another's concern.
  void forget();

 private:
  Awaitable<void> release_left_members();

  runtime::Runtime& runtime_;
  const registry::FleetStateMachine& fleet_;
  GroupTerms& terms_;
  ReplicationPauses& pauses_;
  bool released_left_ = false;  ///< since this node leads
};

}  // namespace cairnhollow::registered::control
