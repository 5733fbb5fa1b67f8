// Queries the log position of a group's primary for reads that may not run there. The query carries no caller
// data, so region restrictions on statements do not apply to it.
#pragma once

#include <memory>

#include "registered/proxy/fleet/fleet_view.h"

namespace cairnhollow::registered::proxy {

/// Records the position in `group` if that primary may still be used when the answer arrives. No effect while
/// a query to this group is pending. `runtime` and `view` must outlive the spawned coroutine.
void query_position(runtime::Runtime& runtime, FleetView& view, const std::shared_ptr<GroupAccess>& group);

}  // namespace cairnhollow::registered::proxy
