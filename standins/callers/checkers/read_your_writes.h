// Promise: a session sees its own acknowledged writes in its next read, through any proxy.
#pragma once

#include "standins/callers/checkers/violation.h"

namespace cairnhollow::standins::callers {

/// A read lacks a value that its session had an acknowledgement for before the read began.
std::vector<Violation> check_read_your_writes(const History& history);

}  // namespace cairnhollow::standins::callers
