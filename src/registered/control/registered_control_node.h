// Control node of a registered fleet: consensus member or standby, proxy leases, backend registrations and
// failovers.
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

/// Factories for the control node's external interfaces. Each is called once, during construction of the
/// node.
struct ControlNodeFactories {
  std::function<std::unique_ptr<runtime::HttpHandler>(registry::ControlService&)> make_operator_calls;
  std::function<std::unique_ptr<registry::PromotionCaller>(runtime::Runtime&, Endpoint)> make_promotions;
  std::function<std::unique_ptr<BackendDialer>(runtime::Runtime&, NodeName)> make_dialer;
};

/// Creates a control node. `runtime` must outlive the returned object.
std::unique_ptr<runtime::Role> make_registered_control_node(runtime::Runtime& runtime,
                                                            RegisteredControlSettings settings,
                                                            const ControlNodeFactories& factories);

/// Returns the consensus term in which the node leads, or std::nullopt if it is not the leader.
/// `control_node` must come from make_registered_control_node(). For status output and tests.
std::optional<std::uint64_t> leading_term(runtime::Role& control_node);
/// The node's applied state, for tests and the simulator. `control_node` must come from
/// make_registered_control_node().
const registry::FleetStateMachine& fleet_of(runtime::Role& control_node);

}  // namespace cairnhollow::registered::control
