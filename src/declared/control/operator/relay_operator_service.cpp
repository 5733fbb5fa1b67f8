#include "declared/control/operator/relay_operator_service.h"

#include <algorithm>

#include "declared/control/operator/fleet_status.h"

namespace cairnhollow::declared::control {

Awaitable<std::optional<FleetStatus>> RelayOperatorService::status(TimePoint /*deadline*/,
                                                                   Reason& /*reason*/) {
  FleetStatus status;
  status.answered_by = node();
  status.revision = configuration_.revision();
  status.groups = core_.groups().group_status();
  status.proxies =
      proxy_status(core_.follow_server().registry(), core_.peer_exchange().peers(), node(), runtime_.now());
  status.other_control_nodes =
      non_member_nodes({}, peer_status(core_.peer_exchange().peers(), runtime_.now()));
  status.leaving = core_.groups().leaving_machines();
  co_return status;
}

Awaitable<std::optional<std::vector<FleetEvent>>> RelayOperatorService::events(std::uint64_t since,
                                                                               std::uint32_t limit,
                                                                               TimePoint /*deadline*/,
                                                                               Reason& /*reason*/) {
  co_return core_.events().events_since(since, limit);
}

Awaitable<std::optional<SwitchoverOutcome>> RelayOperatorService::switchover(SwitchoverRequest request,
                                                                             TimePoint deadline,
                                                                             Reason& reason) {
  auto outcome = co_await core_.groups().switch_over(std::move(request), deadline, reason);
  co_return outcome;
}

std::optional<Endpoint> RelayOperatorService::leader_operator_endpoint() const {
  for (const auto& [peer_node, peer] : core_.peer_exchange().peers().peers()) {
    const auto& message = peer.last_message;
    const bool has_log = !message.sender.identity.empty() && !message.standby;
    if (has_log && peer.alive(runtime_.now())) return message.operator_endpoint;
  }
  return std::nullopt;
}

}  // namespace cairnhollow::declared::control
