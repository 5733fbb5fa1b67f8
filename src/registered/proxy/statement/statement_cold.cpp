// StatementRunner's part for cold backends: a token for each statement that is sent to one.
#include <algorithm>
#include <utility>

#include "registered/proxy/statement/statement_attempt.h"
#include "registered/proxy/statement/statement_runner.h"

namespace cairnhollow::registered::proxy {

using runtime::LogLevel;

bool StatementRunner::holds_cold_token(const Attempt& attempt) const {
  if (!attempt.order.group->is_cold(*attempt.backend)) return true;
  return attempt.cold_token && services_.runtime.now() < *attempt.cold_token;
}

Awaitable<bool> StatementRunner::pass_cold(std::shared_ptr<Attempt> attempt) {
  if (holds_cold_token(*attempt)) co_return true;
  const AdmissionAnswer admission =
      co_await services_.limits.admit_to_cold(BackendName(attempt->backend->entry.name));
  attempt->cold_token = admission.expires_at;
  if (admission.outcome == AdmissionOutcome::kAdmitted) co_return true;
  record_cold_limit(*attempt->order.group, *attempt->backend, admission);
  attempt->reason = Reason{ReasonCode::kOverloaded, "pass_cold", attempt->backend->entry.name.value,
                           "there is no token for the cold backend"};
  co_return false;
}

void StatementRunner::record_cold_limit(const GroupAccess& group, BackendUse& backend,
                                        const AdmissionAnswer& admission) {
  const TimePoint now = services_.runtime.now();
  const bool is_news = !group.is_cold_limit_reached(backend);
  backend.cold_limit_reached_until = now + admission.retry_after;
  if (!is_news) return;
  const bool is_over = admission.outcome == AdmissionOutcome::kOverLimit;
  services_.runtime.logger().log(LogLevel::kInfo, "cold_limit_reached",
                                 {{"group", group.group().value},
                                  {"backend", backend.entry.name.value},
                                  {"why", is_over ? "over its rate" : "no home counts for it"},
                                  {"retry_ms", std::to_string(in_ms(admission.retry_after))}});
}

void StatementRunner::give_cold_token_back(Attempt& attempt) {
  const auto token = std::exchange(attempt.cold_token, std::nullopt);
  if (token) services_.limits.give_back(limited(attempt.backend->entry.name), *token);
}

Awaitable<bool> StatementRunner::enter_pinned(std::shared_ptr<GroupAccess> group,
                                              std::shared_ptr<BackendUse> backend, TimePoint deadline,
                                              placement::RejectionReason& rejection) {
  const auto holds = [&](const std::optional<TimePoint>& token) {
    return !group->is_cold(*backend) || (token && services_.runtime.now() < *token);
  };
  while (true) {
    std::optional<TimePoint> token;
    const bool passed = co_await wait_for_cold_token(group, backend, deadline, token);
    if (!passed) rejection = placement::RejectionReason::kColdLimit;
    if (!passed) co_return false;
    const bool entered = co_await backend->gate.enter(admission::kUrgentClass, deadline);
    if (entered && holds(token)) co_return true;
    if (token) services_.limits.give_back(limited(backend->entry.name), *token);
    if (!entered) co_return false;
    // It expired meanwhile, or the backend turned cold.
    backend->gate.leave_unanswered();
  }
}

Awaitable<bool> StatementRunner::wait_for_cold_token(std::shared_ptr<GroupAccess> group,
                                                     std::shared_ptr<BackendUse> backend, TimePoint deadline,
                                                     std::optional<TimePoint>& token) {
  runtime::Runtime& runtime = services_.runtime;
  while (group->is_cold(*backend)) {
    const AdmissionAnswer admission =
        co_await services_.limits.admit_to_cold(BackendName(backend->entry.name));
    const TimePoint now = runtime.now();
    if (admission.expires_at && now < *admission.expires_at) {
      token = admission.expires_at;
      co_return true;
    }
    // One that is not known any more gets no tokens.
    const bool is_gone = admission.outcome == AdmissionOutcome::kAdmitted && !admission.expires_at;
    if (is_gone || now + admission.retry_after >= deadline) co_return false;
    co_await runtime.sleep_for(std::max<Duration>(admission.retry_after, placement::kRetryPause));
  }
  co_return true;
}

}  // namespace cairnhollow::registered::proxy
