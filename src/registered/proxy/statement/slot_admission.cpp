#include "registered/proxy/statement/slot_admission.h"

#include <algorithm>

#include "registered/placement/retry_after.h"

namespace cairnhollow::registered::proxy {

namespace {

scheduling::SlotRequest describe(const FleetView& view, const StatementRequest& request) {
  scheduling::SlotRequest slot;
  slot.route_priority = request.route.priority;
  const registry::TenantRule* tenant = view.tenants().find(request.tenant);
  if (tenant != nullptr) slot.tenant_priority = tenant->priority;
  slot.tenant = request.tenant;
  slot.arrived = request.arrived;
  slot.target_end =
      request.arrived - request.waited_before + std::chrono::milliseconds(request.route.target_latency_ms);
  slot.wait_end = request.deadline;
  slot.deadline = request.deadline;
  return slot;
}

}  // namespace

scheduling::SlotRequest slot_request_in_transaction(const FleetView& view, const StatementRequest& request) {
  scheduling::SlotRequest slot = describe(view, request);
  slot.in_transaction = true;
  return slot;
}

scheduling::SlotRequest slot_request_of(const SessionServices& services, const StatementAttempt& attempt) {
  const StatementRequest& request = attempt.request;
  const BackendState& backend = *attempt.backend;
  const TimePoint now = services.runtime.now();
  scheduling::SlotRequest slot = describe(services.view, request);
  slot.has_link = backend.pool.has_idle(request.tenant);
  slot.wait_end = placement::slot_wait_end(attempt.progress, now);
  if (!backend.gate.is_shared_room()) return slot;
  const bool has_other = !attempt.needs_primary &&
                         request.group->evaluator.has_other_reader(attempt.placement_request(), backend);
  // Where it would be late here, another backend may still answer in time.
  if (has_other) slot.deadline = std::min(request.deadline, std::max(slot.target_end, slot.wait_end));
  return slot;
}

void leave_gate(StatementGate& gate, const std::optional<Answer>& answer, const SlotUse& use) {
  if (!answer && gate.is_shared_room()) return gate.leave_given_up(use.request, use.held);
  if (!answer) return gate.leave_unanswered();
  if (answer->refusal == Refusal::kBusy) return gate.leave_busy();
  // The latency of a refused statement says nothing about how long statements take to run.
  if (answer->refusal) return gate.leave_unanswered();
  if (gate.is_shared_room()) return gate.leave_answered(use.request, use.held);
  gate.leave(use.latency);
}

Duration retry_after_gate(const GateOutcome& outcome) {
  if (outcome.forecast.drain == Duration(0)) return placement::kRetryAfterWithoutPrimary;
  return std::max<Duration>(outcome.forecast.drain, placement::kRetryPause);
}

}  // namespace cairnhollow::registered::proxy
