// How often a proxy looks after what only time changes.
#pragma once

#include "base/types.h"

namespace cairnhollow::registered::proxy {

/// Between two rounds of the watches of primaries, of wanted positions, of evacuated zones and of the search
/// for a leader. Chosen, not measured: a third of the silence after which a primary is suspected.
inline constexpr Duration kWatchTick = std::chrono::milliseconds(100);

}  // namespace cairnhollow::registered::proxy
