// Creates the control node role: consensus member, follow streams, group monitoring and failover, and
// operator API.
#pragma once

#include <memory>

#include "declared/control/settings.h"
#include "runtime/role.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::control {

/// Creates a voting control node, or a relay if `settings.relay` is set. `runtime` must outlive it.
std::unique_ptr<runtime::Role> make_control_node(runtime::Runtime& runtime, ControlSettings settings);

}  // namespace cairnhollow::declared::control
