// Promise: a caller receives the whole answer to its own request and nothing of another's.
#pragma once

#include "standins/callers/checkers/violation.h"

namespace cairnhollow::standins::callers {

/// An answer names another request, is cut off, or holds values that were never written to that record or
/// only after the answer came.
std::vector<Violation> check_answers(const History& history);

}  // namespace cairnhollow::standins::callers
