#include "registered/proxy/statement/statement_placer.h"

#include <algorithm>

#include "registered/proxy/group/position_question.h"
#include "registered/proxy/statement/placement_facts.h"

namespace cairnhollow::registered::proxy {

using placement::Action;

const placement::ProxyList* StatementPlacer::keep_inside(const placement::ProxyList& proxies,
                                                         const StatementRequest& order,
                                                         placement::ProxyList& kept) const {
  if (order.allowed.is_unrestricted()) return &proxies;
  kept = services_.view.in_regions(proxies, order.allowed);
  // The first choice is this proxy: nothing is to be passed on.
  if (!kept.empty() && kept.front()->name == services_.view.node()) kept.clear();
  return &kept;
}

std::optional<placement::Forwarding> StatementPlacer::find_elsewhere(const StatementRequest& order,
                                                                     PeersInside& inside) const {
  FleetView& view = services_.view;
  GroupAccess& group = *order.group;
  placement::ProxyFacts proxy = proxy_facts(view, group);
  proxy.serving =
      keep_inside(view.forward_to(group.name, order.tenant,
                                  order.may_use_replicas() ? GroupWork::kSingleReads : GroupWork::kAtPrimary),
                  order, inside.serving);
  proxy.others = keep_inside(view.others(), order, inside.others);
  if (proxy.primary_full)
    proxy.also_serving = keep_inside(view.also_serving(group.name), order, inside.also_serving);
  placement::StatementNeed need;
  need.reads = order.reads();
  // What a read must see takes a while to find out, and plays no part where this proxy can serve it all.
  if (need.reads && placement::may_another_serve(proxy))
    need.primary_only = group.need_of(order.route, order.committed, &order.allowed).primary_only;
  return placement::place_elsewhere(need, proxy);
}

bool StatementPlacer::is_shut_out(const StatementRequest& order) {
  if (order.allowed.allows_none()) return true;
  ReadNeed need;
  need.primary_only = !order.may_use_replicas();
  const auto choice = placement::choose_backend(
      need.primary_only, order.group->standing.facts({&need, nullptr, &order.allowed}));
  return choice.is_final && choice.rejection == placement::RejectionReason::kOutsideRegions;
}

placement::Placement StatementPlacer::place(StatementAttempt& attempt) const {
  GroupAccess& group = *attempt.order.group;
  const StatementRequest& order = attempt.order;
  attempt.need = ReadNeed{true, std::nullopt, {}, &order.allowed};
  if (order.reads()) attempt.need = group.need_of(order.route, order.committed, &order.allowed);
  placement::StatementNeed need;
  need.reads = order.reads();
  need.primary_only = attempt.need.primary_only;
  need.is_forwarded = attempt.order.is_forwarded;
  const GroupFacts backends = group.standing.facts(attempt.question());
  const auto patience = placement::patience_at(attempt.progress, services_.runtime.now());
  const auto placed = placement::place_here(need, proxy_facts(services_.view, group), backends, patience);
  if (placed.action != Action::kRun) return placed;
  attempt.backend = group.backends.at(placed.backend);
  attempt.epoch = group.term().epoch;
  attempt.at_primary = placement::may_lead(backends[placed.backend]);
  attempt.needs_primary = need.needs_primary();
  return placed;
}

bool StatementPlacer::reroute(StatementAttempt& attempt) const {
  StatementRequest& order = attempt.order;
  // Without tenants any proxy that serves the group is as good.
  if (order.is_forwarded || order.tenant.empty() || order.may_use_replicas()) return false;
  if (!placement::may_be_rerouted(attempt.progress)) return false;
  PeersInside inside;
  const auto elsewhere = find_elsewhere(order, inside);
  if (!elsewhere) return false;
  services_.metrics.count_forwarded(elsewhere->since);
  ++order.rerouted;
  attempt.moved_to = *elsewhere->proxies;
  return true;
}

Awaitable<void> StatementPlacer::bring_position(std::shared_ptr<StatementAttempt> attempt) const {
  const StatementRequest& order = attempt->order;
  GroupAccess& group = *order.group;
  if (!order.may_use_replicas() || !group.is_primary_outside(order.allowed)) co_return;
  const Duration staleness = std::chrono::milliseconds(order.route.max_staleness_ms);
  if (group.positions.wants_newer(staleness)) ask_position(services_.runtime, services_.view, order.group);
  const TimePoint patience =
      std::min(placement::refusal_time(attempt->progress), services_.runtime.now() + kPositionPatience);
  while (group.need_of(order.route, order.committed, &order.allowed).primary_only &&
         group.is_primary_outside(order.allowed) && services_.runtime.now() < patience)
    co_await group.changed.wait_until(patience);
}

}  // namespace cairnhollow::registered::proxy
