// Leases that the members of a group grant to proxies that cannot reach control, and how control ends them.
//
// A proxy whose serving lease is not renewed queries the status of every member that may follow the primary.
// If all of them answer as replicas of the term that the proxy knows, and none is paused, then at the time of
// the query no member had been promoted and no promotion was prepared, and the proxy may use the primary for
// kMemberLease from that time. Before control promotes a member while a proxy has not acknowledged the close
// of the group, it pauses the members and waits kMemberLeaseWait. The two meet in the promoted member: every
// query after its pause sees the pause and later the new term.
// tests/registered/control/leases/member_lease_model_test.cpp searches the orders of events.
#pragma once

#include <chrono>

#include "base/types.h"

namespace cairnhollow::registered::registry {

/// Counted by the proxy from sending its queries. Long enough for a round of queries to busy members, and
/// short because a failover waits for it if a proxy does not acknowledge the close.
/// Such a round takes up to 0.25 s.
inline constexpr Duration kMemberLease = std::chrono::milliseconds(500);
/// Counted by control from receiving a member's acknowledgement of the pause. One fifth longer than the
/// lease, to allow for clock drift and messages in transit.
inline constexpr Duration kMemberLeaseWait = std::chrono::milliseconds(600);
/// Maximum time after its last serving lease during which a proxy uses member leases. Bounds what the proxy
/// may not know: every proxy that still serves knows each member that registered longer ago than this.
/// Shorter than the time for which an unstable core may delay a configuration (at least 12 s on all
/// deployments).
inline constexpr Duration kServeWithoutControl = std::chrono::seconds(10);

}  // namespace cairnhollow::registered::registry
