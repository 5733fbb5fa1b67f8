// Phase "wait for acknowledgements and leases" of a change of primary: from the close of a group until no
// proxy uses the closed term's primary any more, or that can't be told.
//
// Each admitted proxy acknowledges the close, or its lease from control runs out: at most one serving lease
// (RegisteredControlSettings::serving_lease) after its last report. A proxy that did not acknowledge may go
// on by leases of the group's members (registry/member_lease.h). Those are ended by pausing the members, and
// waited for: kMemberLeaseWait after the pause, as a rule within the same serving lease.
//
// Invariant handed on: no proxy uses the old primary under a lease from control. For leases of members the
// choice asks ReplicationPauses::hold() of the very member that is promoted.
#pragma once

#include "registered/control/failover/group_terms.h"
#include "registered/control/failover/replication_pauses.h"
#include "registered/control/leases/lease_keeper.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// A proxy that has not answered the close of a group for this long is taken to be out of reach: two rounds
/// of a push that is gathered among some hundred proxies. Chosen, not measured.
inline constexpr Duration kSilentProxyAfter = std::chrono::milliseconds(120);
/// Leases that run out notify nobody, so they are checked this often. Chosen, not measured.
inline constexpr Duration kFenceCheckInterval = std::chrono::milliseconds(60);

/// The objects that it is given outlive it; it lives until the process ends.
class FenceWait {
 public:
  FenceWait(runtime::Runtime& runtime, GroupTerms& terms, LeaseKeeper& leases, ReplicationPauses& pauses)
      : runtime_(runtime), terms_(terms), leases_(leases), pauses_(pauses) {}

  /// False: this node does not lead any more.
  Awaitable<bool> wait(registry::GroupTerm closed);

 private:
  Awaitable<bool> wait_leases(registry::GroupTerm closed);
  Awaitable<void> wait_member_leases(registry::GroupTerm closed);

  runtime::Runtime& runtime_;
  GroupTerms& terms_;
  LeaseKeeper& leases_;
  ReplicationPauses& pauses_;
};

}  // namespace cairnhollow::registered::control
