// The polling interval for conditions that change with time only.
#pragma once

#include "base/types.h"

namespace cairnhollow::registered::proxy {

/// Interval of the checks of primaries, replication positions, evacuated zones and stalled leader searches: a
/// third of kPrimarySilence.
inline constexpr Duration kWatchTick = std::chrono::milliseconds(100);

}  // namespace cairnhollow::registered::proxy
