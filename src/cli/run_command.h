// Runs one command of the operator's command line.
#pragma once

#include "cli/command_context.h"

namespace cairnhollow::cli {

/// Ends within the command's timeout (with --wait: within twice that).
Awaitable<ExitCode> run_command(CommandContext& context);

}  // namespace cairnhollow::cli
