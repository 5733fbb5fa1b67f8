// Opens links to a group's backends before statements need them.
#pragma once

#include <chrono>

#include "registered/proxy/group/group_access.h"

namespace cairnhollow::registered::proxy {

/// Mean interval between links that are opened ahead of need.
inline constexpr Duration kWarmInterval = std::chrono::milliseconds(200);

/// Opens one link to a backend that has none, so that the first statement does not wait for it. Returns false
/// if every backend that may be warmed has a link. `runtime` must outlive the spawned coroutine.
bool warm_one(runtime::Runtime& runtime, const GroupAccess& group);

}  // namespace cairnhollow::registered::proxy
