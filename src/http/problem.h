// Problem documents (RFC 9457) for refusals, the same on every HTTP surface of the system.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/reason.h"
#include "base/types.h"
#include "runtime/http.h"

namespace cairnhollow::http {

/// Whether a refused statement can have run.
enum class RunState : std::uint8_t {
  kNotRun,   ///< proved: it left no trace and never will
  kUnknown,  ///< ask for its outcome by its request id
};

struct Problem {
  Reason reason;
  RunState run_state = RunState::kNotRun;
  std::optional<Duration> retry_after;  ///< when to come back
};

/// Body: {"type","title","status","code","step","peer","detail","outcome":"not_run"|"unknown",
/// "retry_after_ms"}; headers: content-type application/problem+json, retry-after (whole seconds, up).
runtime::HttpResponse make_problem_response(unsigned status, const Problem& problem);
/// The status that a reason is answered with (e.g. kOverloaded: 503, kInvalidArgument: 400).
unsigned status_for(ReasonCode code);
/// Reads a problem document back; empty when the body is none.
std::optional<Problem> parse_problem(const std::string& body);

}  // namespace cairnhollow::http
