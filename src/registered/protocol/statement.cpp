#include "registered/protocol/statement.h"

namespace cairnhollow::registered {

const char* refusal_name(Refusal refusal) {
  switch (refusal) {
    case Refusal::kBusy:
      return "busy";
    case Refusal::kAborted:
      return "aborted";
    case Refusal::kTooStale:
      return "too_stale";
    case Refusal::kNotPrimary:
      return "not_primary";
    case Refusal::kWrongBackend:
      return "wrong_backend";
    case Refusal::kConnectionLimit:
      return "connection_limit";
    case Refusal::kInDoubt:
      return "in_doubt";
    case Refusal::kTimedOut:
      return "timed_out";
    case Refusal::kFailed:
      return "failed";
    case Refusal::kMalformed:
      return "malformed";
    case Refusal::kUnknownStatement:
      return "unknown_statement";
    case Refusal::kUnknownDatabase:
      return "unknown_database";
    case Refusal::kUnauthorized:
      return "unauthorized";
    case Refusal::kOverLimit:
      return "over_limit";
  }
  return "unknown";
}

bool guarantees_no_effect(Refusal refusal) {
  return refusal < Refusal::kInDoubt || refusal == Refusal::kOverLimit;
}

bool guarantees_not_run(Refusal refusal) {
  return refusal == Refusal::kBusy || refusal == Refusal::kTooStale || refusal == Refusal::kNotPrimary ||
         refusal == Refusal::kWrongBackend || refusal == Refusal::kConnectionLimit ||
         refusal == Refusal::kUnknownStatement || refusal == Refusal::kUnauthorized ||
         refusal == Refusal::kOverLimit;
}

}  // namespace cairnhollow::registered
