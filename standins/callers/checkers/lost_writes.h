// Promise: an acknowledged write is never lost.
#pragma once

#include "standins/callers/checkers/violation.h"

namespace cairnhollow::standins::callers {

/// An acknowledged write's value is not in the record after the run. Needs final records.
std::vector<Violation> check_lost_writes(const History& history);

}  // namespace cairnhollow::standins::callers
