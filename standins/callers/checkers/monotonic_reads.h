// Promise: what a session has read once, it does not lose again, through any proxy.
#pragma once

#include "standins/callers/checkers/violation.h"

namespace cairnhollow::standins::callers {

/// A session's read of a record saw fewer entries than an earlier read of that session did.
std::vector<Violation> check_monotonic_reads(const History& history);

}  // namespace cairnhollow::standins::callers
