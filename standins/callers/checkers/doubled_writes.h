// Promise: nothing takes effect twice.
#pragma once

#include "standins/callers/checkers/violation.h"

namespace cairnhollow::standins::callers {

/// A value is in a record more than once, in a read or after the run.
std::vector<Violation> check_doubled_writes(const History& history);

}  // namespace cairnhollow::standins::callers
