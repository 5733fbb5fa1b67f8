#include "cli/exit_code.h"

namespace cairnhollow::cli {

ExitCode exit_code_for(const Reason& reason) {
  switch (reason.code) {
    case ReasonCode::kConflict:
      return ExitCode::kConflict;
    case ReasonCode::kOutcomeUnknown:
      return ExitCode::kUnknown;
    case ReasonCode::kUnreachable:
    case ReasonCode::kConnectionLost:
    case ReasonCode::kDeadlineExceeded:
    case ReasonCode::kNotLeader:
    case ReasonCode::kNoQuorum:
    case ReasonCode::kOverloaded:
    case ReasonCode::kCancelled:
      return ExitCode::kUnavailable;
    default:
      return ExitCode::kRefused;
  }
}

}  // namespace cairnhollow::cli
