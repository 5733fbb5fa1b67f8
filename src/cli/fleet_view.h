// The whole fleet's state, put together from all control nodes: each knows only the proxies that follow it
// and the events that it recorded.
#pragma once

#include <vector>

#include "cli/command_context.h"
#include "cli/subject_filter.h"

namespace cairnhollow::cli {

/// One client for each control node that the first answer names as reachable, and for each server of the
/// command line; in order of endpoint.
std::vector<Endpoint> control_endpoints(const CommandLine& line,
                                        const declared::control::FleetStatus& status);

/// The first node's status with the proxies of all nodes that answered in time, and each group's members
/// as the node that probes it sees them. A node that did not answer is named on the error stream.
Awaitable<std::optional<declared::control::FleetStatus>> read_fleet_status(CommandContext& context,
                                                                           Reason& reason);

/// Events of all nodes that answered, by time: the latest that fit the command's limit, or with --since as
/// many of each node. Says on the error stream how many it leaves out.
Awaitable<std::optional<std::vector<declared::control::FleetEvent>>> read_fleet_events(
    CommandContext& context, SubjectFilter filter, Reason& reason);

}  // namespace cairnhollow::cli
