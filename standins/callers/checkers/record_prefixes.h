// Promise: there is one order of a record's entries (no acknowledgement by a replaced primary).
#pragma once

#include "standins/callers/checkers/violation.h"

namespace cairnhollow::standins::callers {

/// Two reads of a record, or a read and its content after the run, are not prefixes of one another: its
/// history forked.
std::vector<Violation> check_record_prefixes(const History& history);

}  // namespace cairnhollow::standins::callers
