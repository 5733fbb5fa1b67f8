// Operators' orders to evacuate zones and to take them back, as any control node takes them.
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

/// What became of an order.
enum class OrderOutcome : std::uint8_t {
  kTaken,      ///< it is in the log
  kRepeated,   ///< it held already, confirmed by a quorum round
  kRefused,    ///< there is no such zone
  kUnsettled,  ///< no clear outcome
};
inline constexpr std::size_t kOrderOutcomes = static_cast<std::size_t>(OrderOutcome::kUnsettled) + 1;

/// Lower-case name for logs and metrics.
const char* outcome_name(OrderOutcome outcome);

/// What it refers to outlives it.
class EvacuationOrders {
 public:
  /// `zones`: known from the settings, beside those that backends and proxies register from.
  EvacuationOrders(runtime::Runtime& runtime, consensus::Consensus& consensus,
                   registry::FleetStateMachine& fleet, LeaderCalls& calls, std::vector<ZoneName> zones)
      : runtime_(runtime), consensus_(consensus), fleet_(fleet), calls_(calls), zones_(std::move(zones)) {}

  /// True once it is durable that the zone is evacuated, or is not. kNotFound names an unknown zone. Other
  /// codes: no clear outcome.
  Awaitable<bool> take(ZoneName zone, bool evacuated, Reason& reason);
  [[nodiscard]] std::uint64_t count(OrderOutcome outcome) const {
    return counts_[static_cast<std::size_t>(outcome)];
  }

 private:
  Awaitable<OrderOutcome> settle(ZoneName zone, bool evacuated, Reason& reason);
  Awaitable<bool> submit(ZoneName zone, bool evacuated, TimePoint limit, Reason& reason);
  /// Waits out the loss of a leader; both are without effect when they come twice.
  Awaitable<bool> confirm(TimePoint limit, Reason& reason);
  Awaitable<bool> may_try_again(TimePoint limit);
  [[nodiscard]] bool knows_zone(const ZoneName& zone) const;
  void log(const ZoneName& zone, bool evacuated, OrderOutcome outcome, Duration took, const Reason& reason);

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  registry::FleetStateMachine& fleet_;
  LeaderCalls& calls_;
  std::vector<ZoneName> zones_;
  std::array<std::uint64_t, kOrderOutcomes> counts_{};
};

}  // namespace cairnhollow::registered::control
