// Builds the inputs of placement decisions (placement/facts.h) from this proxy's current state.
#pragma once

#include "registered/placement/facts.h"
#include "registered/placement/rejection_reason.h"
#include "registered/placement/wait_budget.h"
#include "registered/protocol/statement.h"
#include "registered/proxy/fleet/fleet_view.h"

namespace cairnhollow::registered::proxy {

/// Leaves the lists of other proxies empty.
placement::ProxyFacts proxy_facts(const FleetView& view, const GroupAccess& group);
/// The same for the waits of one statement, which may last until its `budget` ends.
placement::ProxyFacts proxy_facts(const FleetView& view, const GroupAccess& group,
                                  const placement::WaitBudget& budget);
/// The state of a caller's API key on a route. `tenant`: the tenant that the key proved when the statement
/// arrived; empty if no key was required.
placement::KeyFacts key_facts(const FleetView& view, const registry::RouteRule& route, const ApiKey& key,
                              const TenantName& tenant, TimePoint now);
/// The refusal that the caller gets for a rejection reason.
Refusal refusal_of(placement::RejectionReason rejection);

}  // namespace cairnhollow::registered::proxy
