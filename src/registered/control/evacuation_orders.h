// Executes operator requests to begin or end the evacuation of a zone, on any control node.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "consensus/consensus.h"
#include "registered/control/leader_calls.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// Outcome of an evacuation order.
enum class OrderOutcome : std::uint8_t {
  kTaken,      ///< committed to the log
  kRepeated,   ///< already in effect, confirmed by a quorum round
  kRefused,    ///< unknown zone
  kUnsettled,  ///< outcome unknown
};
inline constexpr std::size_t kOrderOutcomes = static_cast<std::size_t>(OrderOutcome::kUnsettled) + 1;

/// Stable lower-case name used in logs and metrics.
const char* outcome_name(OrderOutcome outcome);

/// The referenced objects are not owned and must outlive this object.
class EvacuationOrders {
 public:
  /// `zones`: configured zones, in addition to those of registered backends and proxies.
  EvacuationOrders(runtime::Runtime& runtime, consensus::Consensus& consensus,
                   registry::FleetStateMachine& fleet, LeaderCalls& calls, std::vector<ZoneName> zones)
      : runtime_(runtime), consensus_(consensus), fleet_(fleet), calls_(calls), zones_(std::move(zones)) {}

  /// Returns true once the requested state of the zone is durable. Fails with kNotFound if the zone is
  /// unknown; with any other code the outcome is unknown.
  Awaitable<bool> execute(ZoneName zone, bool evacuated, Reason& reason);
  [[nodiscard]] std::uint64_t count(OrderOutcome outcome) const {
    return counts_[static_cast<std::size_t>(outcome)];
  }

 private:
  Awaitable<OrderOutcome> determine_outcome(ZoneName zone, bool evacuated, Reason& reason);
  Awaitable<bool> submit(ZoneName zone, bool evacuated, TimePoint limit, Reason& reason);
  /// Runs a quorum round; like submit(), it retries until `limit` so that an order survives a change of
  /// leader. Both are idempotent.
  Awaitable<bool> confirm(TimePoint limit, Reason& reason);
  Awaitable<bool> sleep_before_retry(TimePoint limit);
  [[nodiscard]] bool is_known_zone(const ZoneName& zone) const;
  void log(const ZoneName& zone, bool evacuated, OrderOutcome outcome, Duration took, const Reason& reason);

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  registry::FleetStateMachine& fleet_;
  LeaderCalls& calls_;
  std::vector<ZoneName> zones_;
  std::array<std::uint64_t, kOrderOutcomes> counts_{};
};

}  // namespace cairnhollow::registered::control
