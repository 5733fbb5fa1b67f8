#include "registered/proxy/statement/statement_log.h"

namespace cairnhollow::registered::proxy {

using runtime::LogLevel;

void StatementLog::slow(const StatementAttempt& attempt) const {
  services_.runtime.logger().log(
      LogLevel::kInfo, "statement_slow",
      {{"id", attempt.order.id},
       {"group", attempt.order.group->name.value},
       {"writes", attempt.order.writes ? "true" : "false"},
       {"opens_transaction", attempt.order.opens_transaction ? "true" : "false"},
       {"primary_only", attempt.need.primary_only ? "true" : "false"},
       {"attempts", std::to_string(attempt.progress.attempts)},
       {"backends", attempt.path},
       {"gate_ms", std::to_string(in_ms(attempt.at_gate))},
       {"link_ms", std::to_string(in_ms(attempt.at_pool))},
       {"backend_ms", std::to_string(in_ms(attempt.at_backend))},
       {"took_ms", std::to_string(in_ms(services_.runtime.now() - attempt.order.arrived))}});
}

void StatementLog::lost_answer(const StatementAttempt& attempt, const Reason& reason) const {
  services_.runtime.logger().log(
      LogLevel::kWarning, "answer_lost", reason,
      {{"id", attempt.order.id},
       {"backend", attempt.backend->entry.name.value},
       {"at_primary", attempt.at_primary ? "true" : "false"},
       {"epoch", std::to_string(attempt.epoch)},
       {"writes", attempt.order.writes ? "true" : "false"},
       {"waited_ms", std::to_string(in_ms(services_.runtime.now() - attempt.sent_at))}});
}

void StatementLog::refusal(const StatementRequest& order, const Answer& answer, const Reason& reason,
                           int attempts, const Unplaced& unplaced) const {
  const bool is_own = unplaced.since != placement::RejectionReason::kNone;
  if (is_own) services_.metrics.count_unplaced(unplaced.since);
  const registry::GroupTerm& term = order.group->term();
  const Duration lease_left = services_.view.lease_until() - services_.runtime.now();
  services_.runtime.logger().log(
      LogLevel::kWarning, "statement_refused", reason,
      {{"id", order.id},
       {"refusal", refusal_name(*answer.refusal)},
       {"why", answer.detail},
       {"since", is_own ? placement::rejection_name(unplaced.since) : ""},
       {"passed_over", unplaced.passed_over},
       {"back_in_ms", unplaced.retry_after > Duration(0) ? std::to_string(in_ms(unplaced.retry_after)) : ""},
       {"database", order.route.database.value},
       {"group", term.group.value},
       {"term", std::to_string(term.term)},
       {"epoch", std::to_string(term.epoch)},
       {"open", term.open ? "true" : "false"},
       {"lease_left_ms", std::to_string(in_ms(lease_left))},
       {"attempts", std::to_string(attempts)},
       {"waited_ms", std::to_string(in_ms(services_.runtime.now() - order.arrived))}});
}

}  // namespace cairnhollow::registered::proxy
