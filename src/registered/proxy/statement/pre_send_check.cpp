#include "registered/proxy/statement/pre_send_check.h"

#include "registered/proxy/statement/placement_facts.h"

namespace cairnhollow::registered::proxy {

using placement::SendAction;

placement::SendFacts PreSendCheck::send_facts(const StatementAttempt& attempt) const {
  placement::SendFacts facts;
  facts.needs_primary = attempt.needs_primary;
  facts.may_use_primary = services_.view.may_use_primary(*attempt.request.group, attempt.epoch);
  return facts;
}

placement::SendDecision PreSendCheck::decide(const StatementAttempt& attempt,
                                             const placement::SendFacts& facts) const {
  const GroupAccess& group = *attempt.request.group;
  placement::BackendFacts backend = group.evaluator.facts_of(*attempt.backend, attempt.placement_request());
  // The cold limit is checked by the statement's own token, not by the limit state that other statements saw.
  backend.cold_limit_reached = !cold_tokens_.may_send(group, *attempt.backend, attempt.cold_token);
  return placement::check_before_sending(facts, backend);
}

bool PreSendCheck::may_proceed(StatementAttempt& attempt) const {
  attempt.pre_send_check = decide(attempt, send_facts(attempt));
  return attempt.pre_send_check.action == SendAction::kSend;
}

Awaitable<placement::SendDecision> PreSendCheck::check(std::shared_ptr<StatementAttempt> attempt) const {
  const StatementRequest& request = attempt->request;
  const FleetView& view = services_.view;
  bool lacks_token = false;
  const bool runs_again = request.may_have_run && !request.tenant.empty();
  // Do not spend a token on a statement that can't be sent anyway.
  if (runs_again && decide(*attempt, send_facts(*attempt)).action == SendAction::kSend) {
    const AdmissionAnswer admission = co_await services_.limits.admit_again(request.tenant);
    lacks_token = admission.outcome != AdmissionOutcome::kAdmitted;
  }
  placement::SendFacts facts = send_facts(*attempt);
  facts.lacks_token = lacks_token;
  facts.key = key_facts(view, request.route, request.key, request.tenant, services_.runtime.now());
  co_return decide(*attempt, facts);
}

}  // namespace cairnhollow::registered::proxy
