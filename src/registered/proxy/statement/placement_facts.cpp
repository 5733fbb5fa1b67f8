#include "registered/proxy/statement/placement_facts.h"

namespace cairnhollow::registered::proxy {

placement::ProxyFacts proxy_facts(const FleetView& view, const GroupAccess& group) {
  placement::ProxyFacts facts;
  facts.holds_lease = view.holds_lease_for(group);
  facts.expects_lease = view.expects_lease(false);
  facts.group_open = group.term().open;
  facts.group_changing = group.leadership.is_primary_expected();
  facts.primary_unreachable = group.leadership.is_primary_unreachable();
  const auto primary = group.evaluator.primary();
  facts.primary_full = primary && primary->pool.is_refused();
  return facts;
}

placement::ProxyFacts proxy_facts(const FleetView& view, const GroupAccess& group,
                                  const placement::WaitBudget& budget) {
  placement::ProxyFacts facts = proxy_facts(view, group);
  facts.expects_lease = view.expects_lease(placement::allows_longer_wait(budget));
  return facts;
}

placement::KeyFacts key_facts(const FleetView& view, const registry::RouteRule& route, const ApiKey& key,
                              const TenantName& tenant, TimePoint now) {
  placement::KeyFacts facts;
  facts.is_needed = !tenant.empty() || view.needs_key(route);
  if (!facts.is_needed) return facts;
  const registry::TenantRule* proved = view.tenants().find_by_key(key);
  facts.proves_tenant = proved != nullptr && proved->name == tenant;
  facts.is_confirmed = view.keys_confirmed().allows(now);
  return facts;
}

Refusal refusal_of(placement::RejectionReason rejection) {
  if (rejection == placement::RejectionReason::kKeyUnauthorized) return Refusal::kUnauthorized;
  return rejection == placement::RejectionReason::kOverLimit ? Refusal::kOverLimit : Refusal::kBusy;
}

}  // namespace cairnhollow::registered::proxy
