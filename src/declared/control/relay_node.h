// A control node without a vote: it follows a voter (or another relay) as a proxy does, and serves followers
// of its own from what it was told. One question of its own, so one quorum round, stands for all of its
// followers that wait; so the voters' work grows with the relays, not with the proxies.
#pragma once

#include <memory>

#include "declared/control/settings.h"
#include "runtime/role.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::control {

/// Keeps no files. It watches and supervises database groups like any control node. Operators' calls that
/// need the log are refused with kNotLeader and the endpoint of a node that has it.
std::unique_ptr<runtime::Role> make_relay_node(runtime::Runtime& runtime, ControlSettings settings);

}  // namespace cairnhollow::declared::control
