// The control node of a registered fleet: consensus member or standby, leases of proxies, registrations,
// changes of primary.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "registered/control/settings.h"
#include "registered/protocol/backend_link.h"
#include "registered/registry/control_service.h"
#include "registered/registry/state_machine.h"
#include "runtime/role.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// How the node speaks with the world around the fleet. Made once, at the start.
struct ControlEdge {
  std::function<std::unique_ptr<runtime::HttpHandler>(registry::ControlService&)> make_operator_calls;
  std::function<std::unique_ptr<registry::PromotionCaller>(runtime::Runtime&, Endpoint)> make_promotions;
  std::function<std::unique_ptr<BackendDialer>(runtime::Runtime&, NodeName)> make_dialer;
};

/// Creates a control node on `runtime`, which outlives it.
std::unique_ptr<runtime::Role> make_registered_control_node(runtime::Runtime& runtime,
                                                            RegisteredControlSettings settings,
                                                            const ControlEdge& edge);

/// The consensus term in which a node made here leads; empty when it does not lead. For status and tests.
std::optional<std::uint64_t> leading_term(runtime::Role& control_node);
/// What the node has applied; for tests and the simulator. `control_node` was made here.
const registry::FleetStateMachine& fleet_of(runtime::Role& control_node);

}  // namespace cairnhollow::registered::control
