// State that a proxy keeps for one backend of a group: its registration, links and observed health.
#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "registered/balancing/outlier_detection.h"
#include "registered/capacity/backend_room.h"
#include "registered/capacity/connection_budget.h"
#include "registered/proxy/group/backend_latency.h"
#include "registered/proxy/group/evacuated_zones.h"
#include "registered/proxy/group/replica_lag.h"
#include "registered/proxy/group/shown_log.h"
#include "registered/proxy/links/cold_backend.h"
#include "registered/proxy/links/stateful_pool.h"
#include "registered/proxy/links/statement_gate.h"
#include "registered/registry/model.h"

namespace cairnhollow::registered::proxy {

/// Covers one incarnation at one address. The next incarnation gets a new object, so that nothing observed of
/// the previous one is attributed to it.
struct BackendState {
  BackendState(runtime::Runtime& runtime, BackendDialer& dialer, const registry::BackendEntry& backend,
               std::shared_ptr<const EvacuatedZones> evacuated)
      : entry(backend),
        pool(runtime, dialer, BackendAddress{backend.endpoint, backend.group, backend.name}),
        gate(runtime, &pool),
        evacuated_(std::move(evacuated)) {
    pool.set_room_listener([this] { gate.admit_waiting(); });
  }
  BackendState(const BackendState&) = delete;
  BackendState& operator=(const BackendState&) = delete;

  /// Whether its zone is being evacuated: nothing new is sent there, except to a primary that has no
  /// successor yet.
  [[nodiscard]] bool is_evacuated() const { return evacuated_->is_evacuated(entry.zone); }
  /// Whether the grace period of its zone's evacuation is over: nothing at all may be sent there.
  [[nodiscard]] bool is_off_limits(TimePoint now) const { return evacuated_->is_off_limits(entry.zone, now); }
  [[nodiscard]] bool takes_reads() const { return !entry.leaving && !is_evacuated(); }

  registry::BackendEntry entry;
  StatefulPool pool;
  StatementGate gate;
  capacity::BackendRoom room;              ///< this proxy's part of the slots
  capacity::ConnectionBudget connections;  ///< and of the connections
  /// Whether a link is opened before the first statement. Otherwise proxies nearer to it serve most
  /// statements.
  bool opens_links_ahead = true;
  /// Whether the connections are divided by region and it is in another one than this proxy.
  bool in_other_region = false;
  TimePoint avoid_until{};                 ///< set after a failure
  std::optional<TimePoint> leaving_since;  ///< when this proxy learned that it is leaving
  RestartDetector restart_detector;
  TimePoint cold_until{};                ///< after its zone's evacuation, whatever it reports
  TimePoint cold_limit_reached_until{};  ///< no token is available before then
  BackendLatency latency;
  balancing::OutcomeHistory outcomes;  ///< of statements that this proxy sent it
  balancing::Ejection ejection;        ///< reads prefer other backends meanwhile
  ReplicaLag lag;
  LogRegressionDetector log_regression;

 private:
  std::shared_ptr<const EvacuatedZones> evacuated_;
};

}  // namespace cairnhollow::registered::proxy
