// Opens links to a group's backends ahead of need.
#pragma once

#include <chrono>

#include "registered/proxy/group/group_access.h"

namespace cairnhollow::registered::proxy {

/// Links are opened ahead of need, one in this time, on average. Chosen, not measured.
inline constexpr Duration kWarmInterval = std::chrono::milliseconds(200);

/// Opens one link to a backend that has none, so that the first statement need not wait for it. False when
/// all have one that may be sent something. `runtime` outlives the process's coroutines.
bool warm_one(runtime::Runtime& runtime, const GroupAccess& group);

}  // namespace cairnhollow::registered::proxy
