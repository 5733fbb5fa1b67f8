// Failover phase "release": resumes replication to members that were paused for the fence, as soon as no
// promotion that was requested can take effect any more. Lagging members can catch up only then, and a
// primary's commits need a replica that receives them.
//
// A read barrier precedes it, so that a former leader does not end the pauses of its successor.
#pragma once

#include "registered/control/failover/group_terms.h"
#include "registered/control/failover/replication_pauses.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// Referenced objects are not owned and must outlive this object, which must live until the process exits.
class PauseRelease {
 public:
  PauseRelease(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet, GroupTerms& terms,
               ReplicationPauses& pauses)
      : runtime_(runtime), fleet_(fleet), terms_(terms), pauses_(pauses) {}

  /// Resumes the paused members of the group, provided that this node is certainly the leader.
  Awaitable<void> release(GroupName group);
  /// Once per election of this node: starts resuming members of open groups that an earlier leader may have
  /// left paused. Returns true if this call started it.
  bool release_leftover();
  /// Drops the record of pauses when this node is not the leader; its successor takes care of them.
  void clear();

 private:
  Awaitable<void> release_leftover_members();

  runtime::Runtime& runtime_;
  const registry::FleetStateMachine& fleet_;
  GroupTerms& terms_;
  ReplicationPauses& pauses_;
  bool leftover_released_ = false;  ///< whether it has been started since this node became leader
};

}  // namespace cairnhollow::registered::control
