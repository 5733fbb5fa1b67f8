#include "registered/proxy/statement/cold_tokens.h"

#include <algorithm>

#include "registered/placement/statement_progress.h"

namespace cairnhollow::registered::proxy {

using runtime::LogLevel;

bool ColdTokens::may_send(const GroupAccess& group, const BackendState& backend,
                          const std::optional<TimePoint>& token) const {
  if (!group.cold.is_cold(backend)) return true;
  return token && services_.runtime.now() < *token;
}

Awaitable<AdmissionAnswer> ColdTokens::acquire(std::shared_ptr<GroupAccess> group,
                                               std::shared_ptr<BackendState> backend) {
  const AdmissionAnswer admission = co_await services_.limits.admit_to_cold(BackendName(backend->entry.name));
  if (admission.outcome != AdmissionOutcome::kAdmitted) record_limit(*group, *backend, admission);
  co_return admission;
}

void ColdTokens::record_limit(const GroupAccess& group, BackendState& backend,
                              const AdmissionAnswer& admission) const {
  const TimePoint now = services_.runtime.now();
  const bool is_first_report = !group.cold.is_reached(backend);
  backend.cold_limit_reached_until = now + admission.retry_after;
  if (!is_first_report) return;
  const bool is_over_limit = admission.outcome == AdmissionOutcome::kOverLimit;
  services_.runtime.logger().log(
      LogLevel::kInfo, "cold_limit_reached",
      {{"group", group.name.value},
       {"backend", backend.entry.name.value},
       {"why", is_over_limit ? "cold rate limit reached" : "no quota owner can grant tokens now"},
       {"retry_ms", std::to_string(in_ms(admission.retry_after))}});
}

void ColdTokens::release(const BackendState& backend, const std::optional<TimePoint>& token) const {
  if (token) services_.limits.give_back(limited(backend.entry.name), *token);
}

Awaitable<bool> ColdTokens::enter_gate(std::shared_ptr<GroupAccess> group,
                                       std::shared_ptr<BackendState> backend, scheduling::SlotRequest slot,
                                       StatementRefusal& refusal) {
  while (true) {
    std::optional<TimePoint> token;
    const bool may_enter = co_await wait_for_token(group, backend, slot.wait_end, token);
    if (!may_enter) refusal.cause = placement::RejectionReason::kColdLimit;
    if (!may_enter) co_return false;
    services_.demands.announce_wait(group, backend);
    const GateOutcome outcome = co_await backend->gate.enter(scheduling::SlotRequest(slot));
    const bool entered = outcome.admitted();
    services_.metrics.record_gate(slot, outcome);
    if (entered && may_send(*group, *backend, token)) co_return true;
    release(*backend, token);
    if (!entered) refusal.gate = outcome;
    if (!entered) co_return false;
    // The token expired during the wait, or the backend became cold.
    backend->gate.leave_unused(slot, outcome);
  }
}

Awaitable<bool> ColdTokens::wait_for_token(std::shared_ptr<GroupAccess> group,
                                           std::shared_ptr<BackendState> backend, TimePoint deadline,
                                           std::optional<TimePoint>& token) {
  runtime::Runtime& runtime = services_.runtime;
  while (group->cold.is_cold(*backend)) {
    const AdmissionAnswer admission =
        co_await services_.limits.admit_to_cold(BackendName(backend->entry.name));
    const TimePoint now = runtime.now();
    if (admission.expires_at && now < *admission.expires_at) {
      token = admission.expires_at;
      co_return true;
    }
    // A backend that is no longer registered gets no tokens.
    const bool is_unregistered = admission.outcome == AdmissionOutcome::kAdmitted && !admission.expires_at;
    if (is_unregistered || now + admission.retry_after >= deadline) co_return false;
    co_await runtime.sleep_for(std::max<Duration>(admission.retry_after, placement::kRetryPause));
  }
  co_return true;
}

}  // namespace cairnhollow::registered::proxy
