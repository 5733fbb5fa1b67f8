// Promise: a request marked as not repeatable runs at most once, and exactly once when acknowledged.
#pragma once

#include "standins/callers/checkers/violation.h"

namespace cairnhollow::standins::callers {

/// Counts each such value after the run: at most one, exactly one when acknowledged. Needs final records.
std::vector<Violation> check_single_use_writes(const History& history);

}  // namespace cairnhollow::standins::callers
