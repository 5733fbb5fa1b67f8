// What a checker found: one broken promise, with enough to find it in the history.
#pragma once

#include <string>
#include <vector>

#include "standins/callers/history.h"

namespace cairnhollow::standins::callers {

struct Violation {
  std::string checker;  ///< name of the promise, e.g. "lost_write"
  std::string request;  ///< "session:number" of the operation at fault; empty when it is a record's
  std::string record;
  std::string detail;
};

}  // namespace cairnhollow::standins::callers
