// Creates a relay: a non-voting control node that follows a voter or another relay as a proxy does, and
// serves its own followers from the data it received. One request upstream, and so one quorum round, renews
// the leases of all followers waiting at the relay; the load of the voters thus grows with the number of
// relays, not proxies.
#pragma once

#include <memory>

#include "declared/control/settings.h"
#include "runtime/role.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::control {

/// Keeps no files. Monitors and supervises database groups like any control node. Operator calls that need
/// the log are refused with kNotLeader and the endpoint of a node that can serve them. `runtime` must outlive
/// it.
std::unique_ptr<runtime::Role> make_relay_node(runtime::Runtime& runtime, ControlSettings settings);

}  // namespace cairnhollow::declared::control
