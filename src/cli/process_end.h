// How a program ends while coroutines may still be in flight.
#pragma once

namespace cairnhollow::cli {

/// Flushes standard output and error and ends the process without unwinding: coroutines in flight refer to
/// the role and the runtime.
[[noreturn]] void end_process(int exit_code);

}  // namespace cairnhollow::cli
