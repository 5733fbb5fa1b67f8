// What the placement of a statement is decided by, as this proxy knows it now (placement/facts.h).
#pragma once

#include "registered/placement/facts.h"
#include "registered/placement/rejection_reason.h"
#include "registered/protocol/statement.h"
#include "registered/proxy/fleet/fleet_view.h"

namespace cairnhollow::registered::proxy {

/// Without lists of proxies.
placement::ProxyFacts proxy_facts(const FleetView& view, const GroupAccess& group);
/// A caller's key on a route; `tenant`: what it proved when the statement came, empty where none was asked
/// for.
placement::KeyFacts key_facts(const FleetView& view, const registry::RouteRule& route, const ApiKey& key,
                              const TenantName& tenant, TimePoint now);
/// What the caller is told of the rejection reason.
Refusal refusal_of(placement::RejectionReason rejection);

}  // namespace cairnhollow::registered::proxy
