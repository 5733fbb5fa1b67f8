// Every promise, checked.
#pragma once

#include "standins/callers/checkers/violation.h"

namespace cairnhollow::standins::callers {

/// Violations of all checkers, in the order of the checkers' names here. Needs final records.
std::vector<Violation> check_history(const History& history);

}  // namespace cairnhollow::standins::callers
