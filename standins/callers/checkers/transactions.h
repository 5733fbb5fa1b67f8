// Promise: a transaction's writes take effect all or none.
#pragma once

#include "standins/callers/checkers/violation.h"

namespace cairnhollow::standins::callers {

/// A transaction's value is in some of its records after the run but not in all. Needs final records.
std::vector<Violation> check_transactions(const History& history);

}  // namespace cairnhollow::standins::callers
