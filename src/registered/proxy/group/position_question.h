// Asks a group's primary where its log is, for reads that may not be run there. The question carries nothing
// of any caller, so regions that bind statements do not bind it.
#pragma once

#include <memory>

#include "registered/proxy/fleet/fleet_view.h"

namespace cairnhollow::registered::proxy {

/// Notes the position with the group when the primary is still the one that may be used as the answer comes.
/// One question a group at a time: without effect while one is under way. What is named outlives it.
void ask_position(runtime::Runtime& runtime, FleetView& view, const std::shared_ptr<GroupAccess>& group);

}  // namespace cairnhollow::registered::proxy
