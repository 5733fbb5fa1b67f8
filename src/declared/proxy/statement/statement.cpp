#include "declared/proxy/statement/statement.h"

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

namespace {

std::optional<Duration> retry_after_for(ReasonCode code) {
  switch (code) {
    case ReasonCode::kNoPrimary:
    case ReasonCode::kNotPrimary:
    case ReasonCode::kNoBackend:
    case ReasonCode::kTooStale:
    case ReasonCode::kUnreachable:
    case ReasonCode::kConnectionLost:
    case ReasonCode::kOutcomeUnknown:
      return kRetryAfterFailover;
    case ReasonCode::kOverloaded:
    case ReasonCode::kRetryBudgetExhausted:
    case ReasonCode::kDeadlineExceeded:
    case ReasonCode::kConflict:
      return kRetryAfterOverload;
    case ReasonCode::kLeaseExpired:
    case ReasonCode::kDraining:
      return kRetryAfterElsewhere;
    case ReasonCode::kAborted:
    case ReasonCode::kTransactionLost:
      return kRetryAfterNewRequest;
    case ReasonCode::kNoRoute:
    case ReasonCode::kInternal:
      return kRetryAfterOperator;
    default:
      return std::nullopt;
  }
}

}  // namespace

routing::Request routing_request(const StatementCall& call, bool in_transaction) {
  routing::Request request;
  request.kind = call.statement.kind;
  request.database = call.statement.database;
  request.partition_key = call.statement.partition_key;
  request.labels = call.labels;
  request.in_transaction = in_transaction;
  return request;
}

Reason statement_refused(const BackendName& backend, const std::string& detail, const Reason& reason) {
  const bool is_specific = reason.code == ReasonCode::kConflict ||
                           reason.code == ReasonCode::kTransactionLost ||
                           reason.code == ReasonCode::kDeadlineExceeded;
  return Reason{is_specific ? reason.code : ReasonCode::kInvalidArgument,
                reason.step.empty() ? "execute" : reason.step, backend.value, detail};
}

Reason duplicate_in_flight_reason() {
  return Reason{ReasonCode::kConflict, "admit_statement", "",
                "a request with the same id is in progress; its answer has the outcome"};
}

void mark_unknown_if_resent(Refused& refused, bool resent) {
  if (!resent || refused.reason.code == ReasonCode::kAborted) return;
  refused.run_state = http::RunState::kUnknown;
}

Refused refuse(Reason reason, http::RunState run_state) {
  Refused refused;
  refused.retry_after = retry_after_for(reason.code);
  refused.reason = std::move(reason);
  refused.run_state = run_state;
  return refused;
}

}  // namespace cairnhollow::declared::proxy
