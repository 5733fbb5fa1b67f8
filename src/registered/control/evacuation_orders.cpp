#include "registered/control/evacuation_orders.h"

#include <algorithm>

namespace cairnhollow::registered::control {

namespace {

/// An evacuation order that finds no leader is retried at this interval, up to this timeout, which covers the
/// detection of a lost leader and an election.
/// An election begins 0.4 s after the leader was last heard and takes up to 0.3 s.
constexpr Duration kOrderRetryPause = std::chrono::milliseconds(30);
constexpr Duration kEvacuationOrderTimeout = std::chrono::milliseconds(1800);
constexpr std::array<const char*, kOrderOutcomes> kOutcomeNames{"taken", "repeated", "refused", "unsettled"};

}  // namespace

const char* outcome_name(OrderOutcome outcome) { return kOutcomeNames[static_cast<std::size_t>(outcome)]; }

bool EvacuationOrders::is_known_zone(const ZoneName& zone) const {
  if (fleet_.is_evacuated(zone) || fleet_.was_evacuated(zone)) return true;
  if (std::find(zones_.begin(), zones_.end(), zone) != zones_.end()) return true;
  const auto in_zone = [&zone](const auto& registered) { return registered.zone == zone; };
  const auto backends = fleet_.backends();
  const auto proxies = fleet_.proxies();
  if (std::any_of(backends.begin(), backends.end(), in_zone)) return true;
  if (std::any_of(proxies.begin(), proxies.end(), in_zone)) return true;
  return zones_.empty() && backends.empty() && proxies.empty();
}

Awaitable<bool> EvacuationOrders::sleep_before_retry(TimePoint limit) {
  if (runtime_.now() + kOrderRetryPause >= limit) co_return false;
  co_await runtime_.sleep_for(kOrderRetryPause);
  co_return true;
}

Awaitable<bool> EvacuationOrders::confirm(TimePoint limit, Reason& reason) {
  while (true) {
    const auto index = co_await consensus_.read_barrier(runtime_.now() + kCommitTimeout, reason);
    if (index) co_return true;
    const bool again = co_await sleep_before_retry(limit);
    if (!again) co_return false;
  }
}

Awaitable<bool> EvacuationOrders::submit(ZoneName zone, bool evacuated, TimePoint limit, Reason& reason) {
  while (true) {
    registry::Command command = registry::BeginEvacuation{zone};
    if (!evacuated) command = registry::EndEvacuation{zone};
    const bool done = co_await calls_.submit(std::move(command), reason);
    if (done) co_return true;
    const bool again = co_await sleep_before_retry(limit);
    if (!again) co_return false;
  }
}

Awaitable<OrderOutcome> EvacuationOrders::determine_outcome(ZoneName zone, bool evacuated, Reason& reason) {
  const TimePoint limit = runtime_.now() + kEvacuationOrderTimeout;
  // Local state may be stale, so kRepeated and kRefused both require a quorum round.
  if (!is_known_zone(zone) || fleet_.is_evacuated(zone) == evacuated) {
    const bool confirmed = co_await confirm(limit, reason);
    if (!confirmed) co_return OrderOutcome::kUnsettled;
    reason = Reason();
    if (!is_known_zone(zone)) {
      reason = Reason{ReasonCode::kNotFound, "evacuate_zone", zone.value, "unknown zone; order refused"};
      co_return OrderOutcome::kRefused;
    }
    if (fleet_.is_evacuated(zone) == evacuated) co_return OrderOutcome::kRepeated;
  }
  const bool done = co_await submit(std::move(zone), evacuated, limit, reason);
  co_return done ? OrderOutcome::kTaken : OrderOutcome::kUnsettled;
}

Awaitable<bool> EvacuationOrders::execute(ZoneName zone, bool evacuated, Reason& reason) {
  const TimePoint asked_at = runtime_.now();
  const OrderOutcome outcome = co_await determine_outcome(zone, evacuated, reason);
  ++counts_[static_cast<std::size_t>(outcome)];
  const bool done = outcome == OrderOutcome::kTaken || outcome == OrderOutcome::kRepeated;
  if (done) reason = Reason();
  log(zone, evacuated, outcome, runtime_.now() - asked_at, reason);
  co_return done;
}

void EvacuationOrders::log(const ZoneName& zone, bool evacuated, OrderOutcome outcome, Duration took,
                           const Reason& reason) {
  const bool done = outcome == OrderOutcome::kTaken || outcome == OrderOutcome::kRepeated;
  const char* event = evacuated ? "evacuation_begun" : "evacuation_ended";
  if (!done) event = "evacuation_order_refused";
  runtime_.logger().log(done ? runtime::LogLevel::kInfo : runtime::LogLevel::kWarning, event, reason,
                        {{"zone", zone.value},
                         {"order", evacuated ? "begin" : "end"},
                         {"outcome", outcome_name(outcome)},
                         {"took_ms", std::to_string(in_ms(took))},
                         {"revision", std::to_string(fleet_.revision())}});
}

}  // namespace cairnhollow::registered::control
