// Operator service of a relay: reports what the relay itself knows and refuses everything that needs the
// configuration log.
#pragma once

#include "declared/control/control_core.h"
#include "declared/control/failover/node_health.h"
#include "declared/control/operator/operator_service.h"

namespace cairnhollow::declared::control {

/// References passed to the constructor are not owned and must outlive this object.
class RelayOperatorService : public OperatorService {
 public:
  RelayOperatorService(runtime::Runtime& runtime, NodeName node, ControlCore& core,
                       const ConfigView& configuration, const NodeHealth& health)
      : OperatorService(std::move(node)),
        runtime_(runtime),
        core_(core),
        configuration_(configuration),
        health_(health) {}

  Awaitable<std::optional<FleetStatus>> status(TimePoint deadline, Reason& reason) override;
  Awaitable<std::optional<std::vector<FleetEvent>>> events(std::uint64_t since, std::uint32_t limit,
                                                           TimePoint deadline, Reason& reason) override;
  Awaitable<std::optional<SwitchoverOutcome>> switchover(SwitchoverRequest request, TimePoint deadline,
                                                         Reason& reason) override;
  [[nodiscard]] std::optional<Endpoint> leader_operator_endpoint() const override;
  [[nodiscard]] bool ready(Reason& reason) const override { return health_.ready(reason); }
  [[nodiscard]] std::string metrics_text() const override { return health_.metrics_text(); }

 private:
  runtime::Runtime& runtime_;
  ControlCore& core_;
  const ConfigView& configuration_;
  const NodeHealth& health_;
};

}  // namespace cairnhollow::declared::control
