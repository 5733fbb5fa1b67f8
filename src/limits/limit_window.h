// What the operator bounds: how many operations or statements may run in any stretch of time.
#pragma once

#include <chrono>

#include "base/types.h"

namespace cairnhollow::limits {

/// In any `window` of time at most (rate x window + burst) x (1 + overshoot) + slack operations are
/// run, counted over all proxies.
struct LimitWindow {
  Duration window = std::chrono::seconds(5);
  double overshoot = 0.1;  ///< as a part of the limit
  double slack = 20;       ///< operations
};

}  // namespace cairnhollow::limits
