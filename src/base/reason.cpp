#include "base/reason.h"

#include <fmt/format.h>

namespace cairnhollow {

std::string_view reason_code_name(ReasonCode code) {
  switch (code) {
    case ReasonCode::kNone:
      return "none";
    case ReasonCode::kInvalidArgument:
      return "invalid_argument";
    case ReasonCode::kNotFound:
      return "not_found";
    case ReasonCode::kConflict:
      return "conflict";
    case ReasonCode::kAlreadyExists:
      return "already_exists";
    case ReasonCode::kUnreachable:
      return "unreachable";
    case ReasonCode::kConnectionLost:
      return "connection_lost";
    case ReasonCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case ReasonCode::kNotLeader:
      return "not_leader";
    case ReasonCode::kNoQuorum:
      return "no_quorum";
    case ReasonCode::kNotPrimary:
      return "not_primary";
    case ReasonCode::kNoPrimary:
      return "no_primary";
    case ReasonCode::kTooStale:
      return "too_stale";
    case ReasonCode::kNoBackend:
      return "no_backend";
    case ReasonCode::kNoRoute:
      return "no_route";
    case ReasonCode::kLeaseExpired:
      return "lease_expired";
    case ReasonCode::kOverloaded:
      return "overloaded";
    case ReasonCode::kRetryBudgetExhausted:
      return "retry_budget_exhausted";
    case ReasonCode::kDraining:
      return "draining";
    case ReasonCode::kFenced:
      return "fenced";
    case ReasonCode::kOutcomeUnknown:
      return "outcome_unknown";
    case ReasonCode::kAborted:
      return "aborted";
    case ReasonCode::kTransactionLost:
      return "transaction_lost";
    case ReasonCode::kCorrupt:
      return "corrupt";
    case ReasonCode::kStorage:
      return "storage";
    case ReasonCode::kUnsupported:
      return "unsupported";
    case ReasonCode::kCancelled:
      return "cancelled";
    case ReasonCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::string Reason::to_string() const {
  std::string text{reason_code_name(code)};
  if (!step.empty()) text += fmt::format(" at {}", step);
  if (!peer.empty()) text += fmt::format(" from {}", peer);
  if (!detail.empty()) text += fmt::format(": {}", detail);
  return text;
}

}  // namespace cairnhollow
