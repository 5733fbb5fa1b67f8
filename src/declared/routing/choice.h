// Selects the backends that may serve one statement, best first. A pure function: equal arguments give equal
// decisions, and nothing is modified.
#pragma once

#include "declared/routing/backend_load.h"
#include "declared/routing/decision.h"
#include "declared/routing/freshness.h"

namespace cairnhollow::declared::routing {

/// What this proxy has observed of the backends.
struct BackendEstimates {
  FreshnessTable freshness;
  BackendLoadTable load;
};

struct ChoiceSettings {
  ZoneName zone;             ///< of this proxy; replicas in it are preferred
  Duration replica_wait{0};  ///< how long a replica may wait for a position before it answers
};

/// Returns the route with the highest precedence whose selector matches the statement's labels, or null.
const RouteView* find_route(const RoutingView& view, const Request& request);
/// Returns the group selected by the route that holds the key's hash slot, or null.
GroupPointer find_group(const RoutingView& view, const RouteView& route, const std::string& partition_key);
/// Returns the group that serves the statement, by its route and its key's hash slot, or null.
GroupPointer find_group(const RoutingView& view, const Request& request);
/// Returns null if the view has no such group.
GroupPointer find_group(const RoutingView& view, const GroupName& name);
/// Returns null if the group has no such member.
const BackendView* find_backend(const GroupView& group, const BackendName& name);

/// Writes and transactions: only the primary. Reads, in order of preference: replicas in this proxy's zone
/// known to have the session's position; such replicas in other zones; replicas likely to reach it within
/// replica_wait; replicas likely to reach it soon enough to hold the read for them (limited by the route's
/// replicaWait and the request's hold_limit), shortest hold first; then the primary. Ties are broken by the
/// fewest statements in flight, then by rendezvous hashing of the key.
/// Reads without a usable session token: only the primary. A leaving backend is never a candidate.
/// If there is no candidate, `refusal` has the reason: kNoRoute, kNoPrimary or kNoBackend.
Decision choose(const Request& request, const RoutingView& view, const BackendEstimates& estimates,
                const ChoiceSettings& settings, TimePoint now);

}  // namespace cairnhollow::declared::routing
