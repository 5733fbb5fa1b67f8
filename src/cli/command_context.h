// What every command of the operator's command line works with.
#pragma once

#include <ostream>

#include "cli/command_line.h"
#include "cli/exit_code.h"
#include "cli/operator_client.h"
#include "runtime/runtime.h"

namespace cairnhollow::cli {

/// Lives until the command has ended, with everything it refers to.
struct CommandContext {
  runtime::Runtime& runtime;
  OperatorClient& client;
  const CommandLine& line;
  std::ostream& output;  ///< the result
  std::ostream& errors;  ///< refusals and progress

  /// When the command gives up, counted from now.
  [[nodiscard]] TimePoint deadline() const { return runtime.now() + line.timeout; }
};

/// Prints why a call failed; the exit code that goes with it.
ExitCode report_failure(CommandContext& context, const Reason& reason);

}  // namespace cairnhollow::cli
