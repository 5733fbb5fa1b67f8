// Chooses the backends that may serve one statement, best first. Pure: the same arguments give the same
// decision, and nothing is touched.
#pragma once

#include "declared/routing/backend_load.h"
#include "declared/routing/decision.h"
#include "declared/routing/freshness.h"

namespace cairnhollow::declared::routing {

/// What the proxy has learned of the backends by itself.
struct BackendEstimates {
  FreshnessTable freshness;
  BackendLoadTable load;
};

struct ChoiceSettings {
  ZoneName zone;             ///< of this proxy; its replicas are preferred
  Duration replica_wait{0};  ///< how long a replica may be let wait for a position, once it is asked
};

/// The route with the highest precedence whose selector matches the statement's labels; null when none.
const RouteView* find_route(const RoutingView& view, const Request& request);
/// The group that the route selects and that holds the key's hash slot; null when none.
GroupPointer find_group(const RoutingView& view, const RouteView& route, const std::string& partition_key);
/// The group that serves the statement: by its route and its key's hash slot; null when none.
GroupPointer find_group(const RoutingView& view, const Request& request);
/// Null when the view has no such group.
GroupPointer find_group(const RoutingView& view, const GroupName& name);
/// Null when the group has no such member.
const BackendView* find_backend(const GroupView& group, const BackendName& name);

/// Writes and transactions: only the primary. Reads: replicas of the own zone that surely have the
/// session's position, then those of other zones, then replicas that likely have it within replica_wait,
/// then those that likely have it so soon that the read may be held for it (the route's replicaWait, within
/// the request's hold_limit), the soonest first; then the primary. Among equals the one with the least in
/// flight, then by rendezvous hashing of the key.
/// A read without a usable session token: only the primary. A leaving backend is never a candidate.
/// With no candidate `refusal` says why: kNoRoute, kNoPrimary or kNoBackend.
Decision choose(const Request& request, const RoutingView& view, const BackendEstimates& estimates,
                const ChoiceSettings& settings, TimePoint now);

}  // namespace cairnhollow::declared::routing
