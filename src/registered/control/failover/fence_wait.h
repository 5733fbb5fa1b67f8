// Failover phase "wait": after a group was closed, waits until no proxy uses the closed term's primary any
// more, or until that cannot be established.
//
// Each admitted proxy either acknowledges the close or loses its lease from control, at most one serving
// lease (RegisteredControlSettings::serving_lease) after its last report. A proxy that did not acknowledge
// may continue under leases from the group's members (registry/member_lease.h). To end those, the members are
// paused and kMemberLeaseWait is waited for after the pause, which usually falls within the same serving
// lease.
//
// Postcondition: no proxy uses the old primary under a lease from control. For member leases, the next phases
// check ReplicationPauses::hold() for the member that is to be promoted.
#pragma once

#include "registered/control/failover/group_terms.h"
#include "registered/control/failover/replication_pauses.h"
#include "registered/control/leases/lease_keeper.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// A proxy that has not acknowledged the close after this time is assumed unreachable. Covers two rounds of a
/// batched push to several hundred proxies.
inline constexpr Duration kUnresponsiveProxyTimeout = std::chrono::milliseconds(120);
/// Polling interval for lease expiry, which sends no notification.
inline constexpr Duration kFenceCheckInterval = std::chrono::milliseconds(60);

/// Referenced objects are not owned and must outlive this object, which must live until the process exits.
class FenceWait {
 public:
  FenceWait(runtime::Runtime& runtime, GroupTerms& terms, LeaseKeeper& leases, ReplicationPauses& pauses)
      : runtime_(runtime), terms_(terms), leases_(leases), pauses_(pauses) {}

  /// Returns false if this node is no longer the leader.
  Awaitable<bool> wait(registry::GroupTerm closed);

 private:
  Awaitable<bool> wait_for_control_leases(registry::GroupTerm closed);
  Awaitable<void> wait_for_member_leases(registry::GroupTerm closed);

  runtime::Runtime& runtime_;
  GroupTerms& terms_;
  LeaseKeeper& leases_;
  ReplicationPauses& pauses_;
};

}  // namespace cairnhollow::registered::control
