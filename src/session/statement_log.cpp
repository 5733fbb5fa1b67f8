// What StatementRunner logs of statements: refusals, and where the time of slow ones went.
#include <fmt/format.h>

#include <chrono>

#include "session/statement_attempt.h"
#include "session/statement_runner.h"

namespace cairnhollow::session {

using runtime::LogLevel;

void StatementRunner::log_slow(const Attempt& attempt) {
  services_.runtime.logger().log(
      LogLevel::kInfo, "statement_slow",
      {{"id", attempt.order.id},
       {"group", attempt.order.group->group().value},
       {"writes", attempt.order.writes ? "true" : "false"},
       {"opens_transaction", attempt.order.opens_transaction ? "true" : "false"},
       {"primary_only", attempt.need.primary_only ? "true" : "false"},
       {"attempts", std::to_string(attempt.count)},
       {"backends", attempt.path},
       {"gate_ms", std::to_string(in_ms(attempt.at_gate))},
       {"link_ms", std::to_string(in_ms(attempt.at_pool))},
       {"backend_ms", std::to_string(in_ms(attempt.at_backend))},
       {"took_ms", std::to_string(in_ms(services_.runtime.now() - attempt.order.arrived))}});
}

void StatementRunner::log_refusal(const RunOrder& order, const Answer& answer, const Reason& reason,
                                  int attempts) {
  const registry::GroupTerm& term = order.group->term();
  const Duration lease_left = services_.view.lease_until() - services_.runtime.now();
  services_.runtime.logger().log(
      LogLevel::kWarning, "statement_refused", reason,
      {{"id", order.id},
       {"refusal", refusal_name(*answer.refusal)},
       {"why", answer.detail},
       {"database", order.route.database.value},
       {"group", term.group.value},
       {"term", std::to_string(term.term)},
       {"epoch", std::to_string(term.epoch)},
       {"open", term.open ? "true" : "false"},
       {"lease_left_ms", std::to_string(in_ms(lease_left))},
       {"attempts", std::to_string(attempts)},
       {"waited_ms", std::to_string(in_ms(services_.runtime.now() - order.arrived))}});
}

RunResult StatementRunner::refuse_stalled(Attempt& attempt) {
  Answer& answer = attempt.result.answer;
  answer.refusal = Refusal::kBusy;
  answer.detail = fmt::format("commits reach no replica now; come back in {} ms", in_ms(kComeBackAfter));
  attempt.reason = Reason{ReasonCode::kOverloaded, "check_commits", attempt.order.group->term().primary.value,
                          "commits sent before have no answer"};
  log_refusal(attempt.order, answer, attempt.reason, 0);
  return std::move(attempt.result);
}

}  // namespace cairnhollow::session
