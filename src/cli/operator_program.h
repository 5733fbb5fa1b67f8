// The operator's command line as a program.
#pragma once

namespace cairnhollow::cli {

/// Parses the arguments, runs the command and ends the process with its ExitCode.
int run_operator_program(int argument_count, char** arguments);

}  // namespace cairnhollow::cli
