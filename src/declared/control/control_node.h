// The control node's role: consensus member, follow streams, group probes and failover, operator API.
#pragma once

#include <memory>

#include "declared/control/settings.h"
#include "runtime/role.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::control {

/// Creates a control node on `runtime`, which outlives it.
std::unique_ptr<runtime::Role> make_control_node(runtime::Runtime& runtime, ControlSettings settings);

}  // namespace cairnhollow::declared::control
