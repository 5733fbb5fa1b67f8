// Defines the interval over which a limit is enforced, and the tolerance above the configured rate and burst.
#pragma once

#include <chrono>

#include "base/types.h"

namespace cairnhollow::registered::limits {

/// In any interval of length `window`, at most (rate x window + burst) x (1 + overshoot) + slack operations
/// run, summed over all proxies.
struct LimitWindow {
  Duration window = std::chrono::seconds(5);
  double overshoot = 0.1;  ///< as a fraction of the limit
  double slack = 20;       ///< operations
  /// After a limit is lowered, the previous value stays in force for this long, measured by the clock of the
  /// proxy that received the change. Must be shorter than the time that operators allow for a change to take
  /// effect everywhere.
  Duration lowering_grace_period{0};
};

}  // namespace cairnhollow::registered::limits
