// Recognizes backend registrations that repeat what the proxy's copy of the fleet already contains.
#pragma once

#include "registered/proxy/fleet/fleet_link.h"
#include "registered/proxy/fleet/fleet_view.h"
#include "registered/proxy/session_metrics.h"
#include "registered/registry/control_service.h"

namespace cairnhollow::registered::proxy {

/// The view contains only committed entries. It may be stale, but then it is not newer than what the
/// backend reports, and a difference sends the backend to control. A heartbeat from an earlier incarnation
/// than the recorded one is no news either. The referenced objects are not owned and must outlive this
/// object.
class KnownRegistrations : public registry::RegistrationRelay {
 public:
  KnownRegistrations(runtime::Runtime& runtime, const FleetView& view, const FleetLink& link,
                     SessionMetrics& metrics)
      : runtime_(runtime), view_(view), link_(link), metrics_(metrics) {}

  [[nodiscard]] bool knows(const registry::BackendEntry& entry) const override {
    const registry::BackendEntry* known = view_.find_backend(entry.name);
    if (known == nullptr) return false;
    const bool is_stale = entry.has_start_time() && entry.is_older_incarnation_than(*known);
    return is_stale || known->has_same_state(entry);
  }
  [[nodiscard]] std::optional<Endpoint> control_endpoint() const override {
    return link_.registration_endpoint();
  }
  void record_refused(const registry::RefusedRegistration& refused) const override {
    metrics_.count_registration_refused(refused.fault);
    registry::log_refused_registration(runtime_.logger(), refused);
  }

 private:
  runtime::Runtime& runtime_;
  const FleetView& view_;
  const FleetLink& link_;
  SessionMetrics& metrics_;
};

}  // namespace cairnhollow::registered::proxy
