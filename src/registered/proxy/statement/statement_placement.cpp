// StatementRunner's part that asks where a statement may go (placement/placement.h) and takes the answer
// over.
#include <fmt/format.h>

#include <algorithm>

#include "registered/proxy/statement/placement_facts.h"
#include "registered/proxy/statement/statement_attempt.h"

namespace cairnhollow::registered::proxy {

using placement::Action;
using placement::RejectionReason;
using placement::SendAction;

std::optional<placement::Forwarding> StatementRunner::find_elsewhere(const RunOrder& order,
                                                                     PeersInside& inside) const {
  FleetView& view = services_.view;
  GroupAccess& group = *order.group;
  placement::ProxyFacts proxy = proxy_facts(view, group);
  proxy.serving =
      keep_inside(view.forward_to(group.group(), order.tenant, work_of(order)), order, inside.serving);
  proxy.others = keep_inside(view.others(), order, inside.others);
  if (proxy.primary_full)
    proxy.also_serving = keep_inside(view.also_serving(group.group()), order, inside.also_serving);
  placement::StatementNeed need;
  need.reads = order.reads();
  // What a read must see takes a while to find out, and plays no part where this proxy can serve it all.
  if (need.reads && placement::may_another_serve(proxy))
    need.primary_only = group.need_of(order.route, order.committed, &order.allowed).primary_only;
  return placement::place_elsewhere(need, proxy);
}

PlacementQuestion StatementRunner::question_of(const Attempt& attempt) {
  return PlacementQuestion{&attempt.need, &attempt.excluded, &attempt.order.allowed};
}

placement::Placement StatementRunner::look(Attempt& attempt) {
  GroupAccess& group = *attempt.order.group;
  const RunOrder& order = attempt.order;
  attempt.need = ReadNeed{true, std::nullopt, {}, &order.allowed};
  if (order.reads()) attempt.need = group.need_of(order.route, order.committed, &order.allowed);
  placement::StatementNeed need;
  need.reads = order.reads();
  need.primary_only = attempt.need.primary_only;
  need.is_forwarded = attempt.order.is_forwarded;
  const GroupFacts backends = group.facts(question_of(attempt));
  const auto patience = placement::patience_at(attempt.progress, services_.runtime.now());
  const auto placed = placement::place_here(need, proxy_facts(services_.view, group), backends, patience);
  if (placed.action != Action::kRun) return placed;
  attempt.backend = group.backend_at(placed.backend);
  attempt.epoch = group.term().epoch;
  attempt.at_primary = placement::may_lead(backends[placed.backend]);
  attempt.needs_primary = need.needs_primary();
  return placed;
}

bool StatementRunner::is_moved(Attempt& attempt) const {
  RunOrder& order = attempt.order;
  // Without tenants any proxy that serves the group is as good.
  if (order.is_forwarded || order.tenant.empty() || work_of(order) != GroupWork::kAtPrimary) return false;
  if (!placement::may_be_rerouted(attempt.progress)) return false;
  PeersInside inside;
  const auto elsewhere = find_elsewhere(order, inside);
  if (!elsewhere) return false;
  services_.metrics.count_forwarded(elsewhere->since);
  ++order.rerouted;
  attempt.moved_to = *elsewhere->proxies;
  return true;
}

Awaitable<bool> StatementRunner::choose(std::shared_ptr<Attempt> attempt) {
  placement::Placement placed = look(*attempt);
  bool has_waited = false;
  while (placed.action == Action::kWait) {
    attempt->excluded.clear();
    const TimePoint again = services_.runtime.now() + placement::kRetryPause;
    const TimePoint limit = placement::refusal_time(attempt->progress);
    co_await attempt->order.group->changed().wait_until(std::min(limit, again));
    placed = look(*attempt);
    has_waited = true;
  }
  if (placed.action == Action::kRefuse) refuse(*attempt, placed.rejection, placed.back_in);
  if (placed.action != Action::kRun) co_return false;
  co_return !has_waited || !is_moved(*attempt);
}

void StatementRunner::refuse(Attempt& attempt, RejectionReason since, Duration back_in) {
  Answer& answer = attempt.result.answer;
  answer.refusal = refusal_of(since);
  answer.state = TransactionState::kIdle;
  answer.detail = placement::rejection_text(since);
  attempt.unplaced = Unplaced{since, back_in, {}};
  if (back_in == Duration(0)) return;
  answer.detail += fmt::format("; come back in {} ms", in_ms(back_in));
  const GroupFacts backends = attempt.order.group->facts(question_of(attempt));
  for (const placement::BackendFacts& backend : backends) {
    const RejectionReason rejection = placement::rejection_at(backend, attempt.need.primary_only, backends);
    if (rejection == RejectionReason::kNone) continue;
    std::string& passed_over = attempt.unplaced.passed_over;
    if (!passed_over.empty()) passed_over += ' ';
    passed_over += fmt::format("{}:{}", backend.name, placement::rejection_name(rejection));
  }
}

placement::NextStep StatementRunner::stop_before_sending(Attempt& attempt, bool begun) {
  const placement::SendDecision& decision = attempt.last_look;
  const bool is_given_up = decision.rejection == RejectionReason::kPrimaryGivenUp;
  if (begun) {
    if (attempt.order.opens_transaction || is_given_up) attempt.link->link().close();
    attempt.backend->pool.release(attempt.link);
  }
  if (decision.action == SendAction::kChooseAgain) return placement::NextStep::kChooseAgain;
  refuse(attempt, decision.rejection, Duration(0));
  return placement::NextStep::kAnswer;
}

placement::SendFacts StatementRunner::send_facts(const Attempt& attempt) const {
  placement::SendFacts facts;
  facts.needs_primary = attempt.needs_primary;
  facts.may_use_primary = services_.view.may_use_primary(*attempt.order.group, attempt.epoch);
  return facts;
}

placement::SendDecision StatementRunner::look_again(const Attempt& attempt,
                                                    const placement::SendFacts& facts) const {
  const GroupAccess& group = *attempt.order.group;
  placement::BackendFacts backend = group.facts_of(*attempt.backend, question_of(attempt));
  // Its token is its own, whoever had none; and without one it is not sent, whatever others had.
  backend.cold_limit_reached = !holds_cold_token(attempt);
  return placement::before_sending(facts, backend);
}

bool StatementRunner::may_go_on(Attempt& attempt) const {
  attempt.last_look = look_again(attempt, send_facts(attempt));
  return attempt.last_look.action == SendAction::kSend;
}

Awaitable<placement::SendDecision> StatementRunner::last_look(std::shared_ptr<Attempt> attempt) {
  const RunOrder& order = attempt->order;
  const FleetView& view = services_.view;
  bool lacks_token = false;
  const bool runs_again = order.may_have_run && !order.tenant.empty();
  // What can't be sent in any case takes no token.
  if (runs_again && look_again(*attempt, send_facts(*attempt)).action == SendAction::kSend) {
    const AdmissionAnswer admission = co_await services_.limits.admit(order.tenant);
    lacks_token = admission.outcome != AdmissionOutcome::kAdmitted;
  }
  placement::SendFacts facts = send_facts(*attempt);
  facts.lacks_token = lacks_token;
  facts.key = key_facts(view, order.route, order.key, order.tenant, services_.runtime.now());
  co_return look_again(*attempt, facts);
}

}  // namespace cairnhollow::registered::proxy
