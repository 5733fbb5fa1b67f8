// Promise: when the system says that a request was not run, it was not run.
#pragma once

#include "standins/callers/checkers/violation.h"

namespace cairnhollow::standins::callers {

/// A value refused as not run is in a record, in a read or after the run.
std::vector<Violation> check_refused_writes(const History& history);

}  // namespace cairnhollow::standins::callers
