#include "registered/proxy/statement/statement_log.h"

namespace cairnhollow::registered::proxy {

using runtime::LogLevel;

void StatementLog::slow(const StatementAttempt& attempt) const {
  services_.runtime.logger().log(
      LogLevel::kInfo, "statement_slow",
      {{"id", attempt.request.id},
       {"group", attempt.request.group->name.value},
       {"writes", attempt.request.writes ? "true" : "false"},
       {"opens_transaction", attempt.request.opens_transaction ? "true" : "false"},
       {"primary_only", attempt.need.primary_only ? "true" : "false"},
       {"attempts", std::to_string(attempt.progress.attempts)},
       {"backends", attempt.tried_backends},
       {"gate_ms", std::to_string(in_ms(attempt.gate_time))},
       {"link_ms", std::to_string(in_ms(attempt.pool_time))},
       {"backend_ms", std::to_string(in_ms(attempt.backend_time))},
       {"took_ms", std::to_string(in_ms(services_.runtime.now() - attempt.request.arrived))}});
}

void StatementLog::lost_answer(const StatementAttempt& attempt, const Reason& reason) const {
  services_.runtime.logger().log(
      LogLevel::kWarning, "answer_lost", reason,
      {{"id", attempt.request.id},
       {"backend", attempt.backend->entry.name.value},
       {"at_primary", attempt.at_primary ? "true" : "false"},
       {"epoch", std::to_string(attempt.epoch.epoch)},
       {"writes", attempt.request.writes ? "true" : "false"},
       {"waited_ms", std::to_string(in_ms(services_.runtime.now() - attempt.sent_at))}});
}

void StatementLog::refusal(const StatementRequest& request, const Answer& answer, const Reason& reason,
                           int attempts, const StatementRefusal& refusal) const {
  services_.metrics.count_unplaced(refusal.cause);
  Reason failure = reason;
  if (failure.step.empty()) failure.step = refusal.step;
  const registry::GroupTerm& term = request.group->term();
  const std::optional<GateOutcome>& gate = refusal.gate;
  const Duration lease_left = services_.view.lease_until() - services_.runtime.now();
  services_.runtime.logger().log(
      LogLevel::kWarning, "statement_refused", failure,
      {{"id", request.id},
       {"refusal", refusal_name(*answer.refusal)},
       {"why", answer.detail},
       {"since", placement::rejection_name(refusal.cause)},
       {"passed_over", refusal.passed_over},
       {"back_in_ms", refusal.retry_after > Duration(0) ? std::to_string(in_ms(refusal.retry_after)) : ""},
       {"gate", gate ? gate_verdict_name(gate->verdict) : ""},
       {"ahead", gate ? std::to_string(gate->forecast.ahead) : ""},
       {"expected_wait_ms", gate ? std::to_string(in_ms(gate->forecast.wait)) : ""},
       {"priority", std::to_string(request.route.priority)},
       {"database", request.route.database.value},
       {"group", term.group.value},
       {"term", std::to_string(term.term)},
       {"epoch", std::to_string(term.epoch)},
       {"open", term.open ? "true" : "false"},
       {"lease_left_ms", std::to_string(in_ms(lease_left))},
       {"attempts", std::to_string(attempts)},
       {"waited_ms", std::to_string(in_ms(services_.runtime.now() - request.arrived))}});
}

}  // namespace cairnhollow::registered::proxy
