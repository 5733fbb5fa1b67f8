// One backend of a group as a proxy uses it: its registration, links, and what is known of how it does.
#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "registered/proxy/group/backend_latency.h"
#include "registered/proxy/group/evacuated_zones.h"
#include "registered/proxy/group/replica_lag.h"
#include "registered/proxy/group/shown_log.h"
#include "registered/proxy/links/cold_backend.h"
#include "registered/proxy/links/stateful_pool.h"
#include "registered/proxy/links/statement_gate.h"
#include "registered/registry/model.h"

namespace cairnhollow::registered::proxy {

/// Of one incarnation at one address: the next one gets a new object, so that nothing known of the former one
/// is said of it.
struct BackendUse {
  BackendUse(runtime::Runtime& runtime, BackendDialer& dialer, const registry::BackendEntry& backend,
             std::shared_ptr<const EvacuatedZones> evacuated)
      : entry(backend),
        pool(runtime, dialer, BackendAddress{backend.endpoint, backend.group, backend.name}),
        gate(runtime),
        evacuated_(std::move(evacuated)) {}

  /// Its zone is to be left: nothing new goes there, but for a primary that nobody follows yet.
  [[nodiscard]] bool is_evacuated() const { return evacuated_->is_evacuated(entry.zone); }
  /// Its zone is left: nothing at all may be sent there.
  [[nodiscard]] bool is_off_limits(TimePoint now) const { return evacuated_->is_off_limits(entry.zone, now); }
  [[nodiscard]] bool takes_reads() const { return !entry.leaving && !is_evacuated(); }

  registry::BackendEntry entry;
  StatefulPool pool;
  StatementGate gate;
  TimePoint avoid_until{};                 ///< it failed a moment ago
  std::optional<TimePoint> leaving_since;  ///< when this proxy heard of it
  RebirthWatch rebirth;
  TimePoint cold_until{};                ///< whatever it says, since its zone was evacuated
  TimePoint cold_limit_reached_until{};  ///< no token for it before
  BackendLatency latency;
  ReplicaLag lag;
  ShownLog shown_log;

 private:
  std::shared_ptr<const EvacuatedZones> evacuated_;
};

}  // namespace cairnhollow::registered::proxy
