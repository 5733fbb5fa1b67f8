// Exit codes of the operator's command line; `cairnhollow --help` and docs/API_OPERATOR.md list them.
#pragma once

#include "base/reason.h"

namespace cairnhollow::cli {

enum class ExitCode : int {
  kDone = 0,
  kRefused = 1,      ///< the input is wrong or names nothing; nothing was changed
  kUsage = 2,        ///< the command line itself is wrong
  kConflict = 3,     ///< another change was accepted first; nothing was changed
  kUnknown = 4,      ///< the change may or may not have been accepted: send it again under the same id
  kUnavailable = 5,  ///< no control node could answer; nothing was changed
  kNotInForce = 6,   ///< accepted, but not in force on every proxy when the time was over
  kDifferent = 7,    ///< `diff` found differences
};

/// The code that a failed call ends with.
ExitCode exit_code_for(const Reason& reason);

}  // namespace cairnhollow::cli
