#include "registered/placement/placement.h"

namespace cairnhollow::registered::placement {

namespace {

bool is_empty(const ProxyList* proxies) { return proxies == nullptr || proxies->empty(); }

Placement run_at(std::size_t backend) {
  Placement runs;
  runs.action = Action::kRun;
  runs.backend = backend;
  return runs;
}

Placement refuse(Obstacle obstacle, Duration back_in) {
  Placement refused;
  refused.obstacle = obstacle;
  refused.back_in = back_in;
  return refused;
}

Placement wait_for(Obstacle obstacle) {
  Placement waits;
  waits.action = Action::kWait;
  waits.obstacle = obstacle;
  return waits;
}

/// What is most worth telling a caller that gets nothing.
Obstacle main_obstacle(const StatementNeed& need, const ProxyFacts& proxy, const Patience& patience,
                       Obstacle at_backends) {
  if (patience.offered) return Obstacle::kBackendsBusy;
  if (!proxy.holds_lease) return Obstacle::kNoLease;
  if (!proxy.group_open) return Obstacle::kGroupClosed;
  if (need.needs_primary() && proxy.primary_unreachable) return Obstacle::kPrimaryUnreachable;
  if (need.needs_primary() && proxy.primary_full) return Obstacle::kPrimaryFull;
  return at_backends == Obstacle::kNone ? Obstacle::kNoBackend : at_backends;
}

bool is_worth_waiting(const ProxyFacts& proxy, const Patience& patience) {
  if (!patience.may_wait) return false;
  if (!proxy.holds_lease) return proxy.expects_lease;
  return proxy.group_open || proxy.group_changing;
}

}  // namespace

std::optional<Forwarding> place_elsewhere(const StatementNeed& need, const ProxyFacts& proxy) {
  if (need.is_forwarded) return std::nullopt;
  if (!is_empty(proxy.serving)) return Forwarding{proxy.serving, ForwardCause::kServedElsewhere};
  if (!need.needs_primary()) return std::nullopt;
  const bool is_unreachable = proxy.group_open && proxy.primary_unreachable;
  if ((!proxy.holds_lease || is_unreachable) && !is_empty(proxy.others)) {
    return Forwarding{proxy.others,
                      proxy.holds_lease ? ForwardCause::kPrimaryUnreachable : ForwardCause::kNoLease};
  }
  // Another that serves the group may have links.
  if (proxy.primary_full && !is_empty(proxy.also_serving))
    return Forwarding{proxy.also_serving, ForwardCause::kPrimaryFull};
  return std::nullopt;
}

Placement place_here(const StatementNeed& need, const ProxyFacts& proxy,
                     std::span<const BackendFacts> backends, const Patience& patience) {
  if (!patience.may_try)
    return refuse(main_obstacle(need, proxy, patience, Obstacle::kNone), patience.back_after);
  const BackendChoice choice = choose_backend(need.needs_primary(), backends);
  if (choice.is_final)
    return refuse(choice.obstacle, choice.back_in > Duration(0) ? choice.back_in : patience.back_after);
  if (choice.backend && (proxy.holds_lease || !need.needs_primary())) return run_at(*choice.backend);
  const Obstacle obstacle = main_obstacle(need, proxy, patience, choice.obstacle);
  return is_worth_waiting(proxy, patience) ? wait_for(obstacle) : refuse(obstacle, patience.back_after);
}

TurnAction take_turn(const ProxyTurn& turn, const ProxyFacts& proxy) {
  // Without a lease the others may well be without one, too: they are not asked each time.
  if (turn.gave_no_answer && !proxy.holds_lease) return TurnAction::kSkip;
  if (!turn.is_this_proxy) return TurnAction::kSend;
  return proxy.holds_lease ? TurnAction::kRunHere : TurnAction::kSkip;
}

Placement place_unforwarded(const ForwardingEnd& end, const ProxyFacts& proxy, const Patience& patience) {
  if (!end.may_try_another) return refuse(Obstacle::kNone, patience.back_after);
  if (proxy.holds_lease && end.has_waited) return run_at(0);
  if (proxy.holds_lease) return refuse(Obstacle::kNoProxy, patience.back_after);
  if (proxy.expects_lease && patience.may_wait) return wait_for(Obstacle::kNoLease);
  return refuse(Obstacle::kNoLease, patience.back_after);
}

bool may_another_serve(const ProxyFacts& proxy) {
  return !proxy.holds_lease || proxy.primary_unreachable || proxy.primary_full;
}

Obstacle key_obstacle(const KeyFacts& key) {
  if (!key.is_needed) return Obstacle::kNone;
  if (!key.proves_tenant) return Obstacle::kKeyUnauthorized;
  return key.is_confirmed ? Obstacle::kNone : Obstacle::kKeyUnconfirmed;
}

Obstacle commit_obstacle(bool writes, bool commits_stall) {
  return writes && commits_stall ? Obstacle::kCommitsStall : Obstacle::kNone;
}

SendDecision before_sending(const SendFacts& facts, const BackendFacts& backend) {
  if (facts.needs_primary && !facts.may_use_primary)
    return {SendAction::kChooseAgain, Obstacle::kPrimaryGivenUp};
  const Obstacle closed = obstacle_to_new_work(backend);
  if (closed != Obstacle::kNone) return {SendAction::kChooseAgain, closed};
  if (facts.lacks_token) return {SendAction::kRefuse, Obstacle::kOverLimit};
  const Obstacle key = key_obstacle(facts.key);
  if (key != Obstacle::kNone) return {SendAction::kRefuse, key};
  return {};
}

Obstacle obstacle_in_transaction(const TransactionFacts& facts, const BackendFacts& backend) {
  if (facts.commits_stall) return Obstacle::kCommitsStall;
  if (backend.zone_evacuated && backend.transaction_grace_over) return Obstacle::kZoneEvacuated;
  const Obstacle key = key_obstacle(facts.key);
  if (key != Obstacle::kNone) return key;
  const bool counts_on_primary = facts.at_primary && !facts.read_only;
  return counts_on_primary && !facts.may_use_primary ? Obstacle::kPrimaryGivenUp : Obstacle::kNone;
}

}  // namespace cairnhollow::registered::placement
