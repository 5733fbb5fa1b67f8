// Failover phase "release": resumes replication to members that were paused for the fence, as soon as no
// promotion that was requested can take effect any more. Lagging members can catch up only then, and a
// primary's commits need a replica that receives them.
//
// A read barrier precedes each request, so that a former leader does not end the pauses of its successor. The
// connection resets on every end, so that a request whose answer did not come is not delivered later.
// Members that may still be paused are asked again until each has shown that it is not.
#pragma once

#include <set>

#include "registered/control/failover/group_terms.h"
#include "registered/control/failover/replication_pauses.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// First and longest delay between queries of an open group whose members may still be paused. It doubles,
/// because a member that has crashed does not answer for long.
inline constexpr Duration kLeftoverRetryDelay = std::chrono::milliseconds(500);
inline constexpr Duration kMaxLeftoverRetryDelay = std::chrono::seconds(4);

/// Referenced objects are not owned and must outlive this object, which must live until the process exits.
class PauseRelease {
 public:
  PauseRelease(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet, GroupTerms& terms,
               ReplicationPauses& pauses)
      : runtime_(runtime), fleet_(fleet), terms_(terms), pauses_(pauses) {}

  /// Resumes the members of the group that this node paused, provided that it is certainly the leader. Those
  /// that do not answer are resumed later, while the group is open.
  Awaitable<void> release(GroupName group);
  /// Once per election of this node: starts resuming members of open groups that an earlier leader may have
  /// left paused. Returns true if this call started it.
  bool release_leftover();
  /// Drops the record of pauses when this node is not the leader; its successor takes care of them.
  void clear();

 private:
  Awaitable<void> release_leftover_members();
  Awaitable<void> retry_leftover(GroupName group);
  /// Resumes the members of an open group that are paused. Returns true if none was.
  Awaitable<bool> release_leftover_of(GroupName group);
  void start_retries(const GroupName& group);

  runtime::Runtime& runtime_;
  const registry::FleetStateMachine& fleet_;
  GroupTerms& terms_;
  ReplicationPauses& pauses_;
  std::set<GroupName> retrying_;
  bool leftover_released_ = false;  ///< whether it has been started since this node became leader
};

}  // namespace cairnhollow::registered::control
