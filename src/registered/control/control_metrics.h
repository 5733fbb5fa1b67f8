// Prometheus metrics of a registered-fleet control node, rendered on request.
#pragma once

#include "consensus/consensus.h"
#include "registered/control/evacuation_orders.h"
#include "registered/control/failover/group_keeper.h"
#include "registered/control/leases/lease_keeper.h"
#include "registered/control/registration_service.h"
#include "registered/registry/registration_fault.h"
#include "registered/registry/state_machine.h"
#include "runtime/http.h"

namespace cairnhollow::registered::control {

/// Serves `GET /metrics`. The referenced objects are not owned and must outlive this object.
class ControlMetrics : public runtime::HttpHandler {
 public:
  ControlMetrics(const consensus::Consensus& consensus, const registry::FleetStateMachine& fleet,
                 const LeaseKeeper& leases, const GroupKeeper& groups,
                 const RegistrationService& registrations)
      : consensus_(consensus),
        fleet_(fleet),
        leases_(leases),
        groups_(groups),
        registrations_(registrations) {}

  Awaitable<runtime::HttpResponse> handle(runtime::HttpRequest request,
                                          runtime::HttpConnectionId connection) override;

 private:
  [[nodiscard]] std::string render() const;

  const consensus::Consensus& consensus_;
  const registry::FleetStateMachine& fleet_;
  const LeaseKeeper& leases_;
  const GroupKeeper& groups_;
  const RegistrationService& registrations_;
};

}  // namespace cairnhollow::registered::control
