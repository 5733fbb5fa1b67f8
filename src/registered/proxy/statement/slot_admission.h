// Describes statements to the gate of a backend, and records in metrics what the gate decides.
#pragma once

#include <optional>

#include "registered/placement/placement.h"
#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/statement_attempt.h"
#include "registered/proxy/statement/statement_request.h"

namespace cairnhollow::registered::proxy {

/// A further statement of an open transaction, which waits until `request.deadline`.
scheduling::SlotRequest slot_request_in_transaction(const FleetView& view, const StatementRequest& request);
/// The statement of an attempt at its chosen backend.
scheduling::SlotRequest slot_request_of(const SessionServices& services, const StatementAttempt& attempt);

/// A statement's use of its slot.
struct SlotUse {
  scheduling::SlotRequest request;
  Duration latency{0};  ///< from sending to the answer
  Duration held{0};     ///< from admission to the answer
};
/// Releases the statement's slot at the gate and reports what its answer shows about the backend's load.
void leave_gate(StatementGate& gate, const std::optional<Answer>& answer, const SlotUse& use);

/// When a statement that the gate refused may come again: once those that wait now are admitted.
Duration retry_after_gate(const GateOutcome& outcome);

}  // namespace cairnhollow::registered::proxy
