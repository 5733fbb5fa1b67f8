#include "registered/proxy/statement/statement_placer.h"

#include <algorithm>

#include "registered/proxy/group/position_question.h"
#include "registered/proxy/statement/placement_facts.h"

namespace cairnhollow::registered::proxy {

using placement::Action;

const placement::ProxyList* StatementPlacer::filter_permitted(const placement::ProxyList& proxies,
                                                              const StatementRequest& request,
                                                              placement::ProxyList& permitted) const {
  if (request.allowed.is_unrestricted()) return &proxies;
  permitted = services_.view.filter_by_region(proxies, request.allowed);
  // This proxy is the first choice: do not forward.
  if (!permitted.empty() && permitted.front()->name == services_.view.node()) permitted.clear();
  return &permitted;
}

std::optional<placement::Forwarding> StatementPlacer::find_forwarding(const StatementRequest& request,
                                                                      PermittedProxies& permitted) const {
  FleetView& view = services_.view;
  GroupAccess& group = *request.group;
  placement::ProxyFacts proxy = proxy_facts(view, group);
  proxy.serving = filter_permitted(
      view.forwarding_targets(group.name, request.tenant,
                              request.may_use_replicas() ? GroupWork::kSingleReads : GroupWork::kAtPrimary),
      request, permitted.serving);
  proxy.others = filter_permitted(view.other_proxies(), request, permitted.others);
  if (proxy.primary_full)
    proxy.also_serving = filter_permitted(view.also_serving(group.name), request, permitted.also_serving);
  placement::StatementNeed need;
  need.reads = request.reads();
  // need_of is expensive, and irrelevant if this proxy can serve everything itself.
  if (need.reads && placement::may_other_proxy_serve(proxy))
    need.primary_only = group.need_of(request.route, request.committed, &request.allowed).primary_only;
  return placement::choose_forwarding(need, proxy);
}

bool StatementPlacer::lacks_permitted_backend(const StatementRequest& request) {
  if (request.allowed.allows_none()) return true;
  ReadNeed need;
  need.primary_only = !request.may_use_replicas();
  const auto choice = placement::choose_backend(
      need.primary_only, request.group->evaluator.facts({&need, nullptr, &request.allowed}));
  return choice.is_final && choice.rejection == placement::RejectionReason::kOutsideRegions;
}

placement::Placement StatementPlacer::place(StatementAttempt& attempt) const {
  GroupAccess& group = *attempt.request.group;
  const StatementRequest& request = attempt.request;
  attempt.need = ReadNeed{true, std::nullopt, {}, &request.allowed};
  if (request.reads()) attempt.need = group.need_of(request.route, request.committed, &request.allowed);
  placement::StatementNeed need;
  need.reads = request.reads();
  need.primary_only = attempt.need.primary_only;
  need.is_forwarded = attempt.request.is_forwarded;
  const GroupFacts backends = group.evaluator.facts(attempt.placement_request());
  const auto allowance = placement::attempt_allowance_at(attempt.progress, services_.runtime.now());
  const auto placed = placement::place_locally(
      need, proxy_facts(services_.view, group, attempt.progress.wait_budget()), backends, allowance);
  if (placed.action != Action::kRun) return placed;
  attempt.backend = group.backends.at(placed.backend);
  attempt.epoch = group.epoch();
  attempt.at_primary = placement::may_lead(backends[placed.backend]);
  attempt.needs_primary = need.needs_primary();
  return placed;
}

bool StatementPlacer::reroute(StatementAttempt& attempt) const {
  StatementRequest& request = attempt.request;
  if (request.is_forwarded || request.may_use_replicas()) return false;
  // Otherwise no proxy that serves the group is preferred over this one.
  if (request.tenant.empty() && !services_.view.divides_by_region()) return false;
  if (!placement::may_reroute(attempt.progress)) return false;
  PermittedProxies permitted;
  const auto forwarding = find_forwarding(request, permitted);
  if (!forwarding) return false;
  services_.metrics.count_forwarded(forwarding->cause);
  ++request.reroute_count;
  attempt.reroute_targets = *forwarding->proxies;
  return true;
}

Awaitable<void> StatementPlacer::await_primary_position(std::shared_ptr<StatementAttempt> attempt) const {
  const StatementRequest& request = attempt->request;
  GroupAccess& group = *request.group;
  if (!request.may_use_replicas() || !group.is_primary_outside(request.allowed)) co_return;
  const Duration staleness = std::chrono::milliseconds(request.route.max_staleness_ms);
  if (group.positions.needs_refresh(staleness))
    query_position(services_.runtime, services_.view, request.group);
  const TimePoint deadline =
      std::min(placement::refusal_time(attempt->progress), services_.runtime.now() + kPositionWaitLimit);
  while (group.need_of(request.route, request.committed, &request.allowed).primary_only &&
         group.is_primary_outside(request.allowed) && services_.runtime.now() < deadline)
    co_await group.changed.wait_until(deadline);
}

}  // namespace cairnhollow::registered::proxy
