// The lease that the members of a group give to proxies out of control's reach, and what control does to end
// it.
//
// A proxy that control gives no more lease asks every member that may follow the primary what it is. When all
// of them answer as replicas of the term that the proxy knows, and none is paused, nobody was promoted and no
// promotion was prepared at the time of the question: the proxy may use the primary for kMemberLease from
// then on. Before control promotes while a proxy has not answered the close of the group, it pauses the
// members and waits kMemberLeaseWait. The two meet in the member that is promoted: every question after its
// pause shows the pause, and later the new term. tests/control/registered/member_lease_model_test.cpp
// searches the orders of events.
#pragma once

#include <chrono>

#include "base/types.h"

namespace cairnhollow::registered::registry {

/// Counted by the proxy from the sending of its questions. Shorter: rounds of up to 0.25 s at busy members
/// leave nothing. Longer: a failover with a silent proxy waits for it.
inline constexpr Duration kMemberLease = std::chrono::milliseconds(500);
/// Counted by control from a member's answer to the pause. A fifth more than the lease, for clocks that do
/// not run alike and for what is on its way.
inline constexpr Duration kMemberLeaseWait = std::chrono::milliseconds(600);
/// A proxy uses such leases for no longer after its last lease from control. Bounds what it may not have
/// heard of: a member that registered longer ago than this is known to every proxy that still serves. Less
/// than the time by which an unstable core may delay a configuration (12 s at least on all deployments).
inline constexpr Duration kServeWithoutControl = std::chrono::seconds(10);

}  // namespace cairnhollow::registered::registry
