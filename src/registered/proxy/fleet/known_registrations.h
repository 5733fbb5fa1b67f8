// Which registrations say nothing new, as a proxy knows from following control.
#pragma once

#include "registered/proxy/fleet/fleet_link.h"
#include "registered/proxy/fleet/fleet_view.h"
#include "registered/proxy/session_metrics.h"
#include "registered/registry/control_service.h"

namespace cairnhollow::registered::proxy {

/// What it refers to outlives it. What the view holds is committed: it may be old, but then it is not newer
/// than what the backend says, and a difference sends the backend to control. A heartbeat of an incarnation
/// before the one that is held says nothing new either.
class KnownRegistrations : public registry::RegistrationRelay {
 public:
  KnownRegistrations(runtime::Runtime& runtime, const FleetView& view, const FleetLink& link,
                     SessionMetrics& metrics)
      : runtime_(runtime), view_(view), link_(link), metrics_(metrics) {}

  [[nodiscard]] bool knows(const registry::BackendEntry& entry) const override {
    const registry::BackendEntry* held = view_.find_backend(entry.name);
    if (held == nullptr) return false;
    const bool is_late = entry.has_start_time() && entry.is_older_incarnation_than(*held);
    return is_late || held->has_same_state(entry);
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
