// What the operator bounds: how many operations or statements may run in any stretch of time.
#pragma once

#include <chrono>

#include "base/types.h"

namespace cairnhollow::registered::limits {

/// In any `window` of time at most (rate x window + burst) x (1 + overshoot) + slack operations are
/// run, counted over all proxies.
struct LimitWindow {
  Duration window = std::chrono::seconds(5);
  double overshoot = 0.1;  ///< as a part of the limit
  double slack = 20;       ///< operations
  /// A limit that was lowered is counted with as it was for so long, on the clock of the proxy that heard of
  /// it. Operators allow longer: their change need not be in force everywhere before.
  Duration lowered_after{0};
};

}  // namespace cairnhollow::registered::limits
