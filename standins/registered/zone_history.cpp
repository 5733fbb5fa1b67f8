#include "standins/registered/zone_history.h"

#include <fmt/format.h>

namespace cairnhollow::standins::registered {

namespace {

/// Since when nothing may come to the zone any more, as of `at`; the end of time: something may.
TimePoint closed_since(const ZoneHistory& history, const ZoneName& zone, TimePoint at, Duration bound) {
  TimePoint since = TimePoint::max();
  for (const EvacuationOrder& order : history.orders) {
    if (order.zone != zone || order.sent_at > at) continue;
    if (!order.begins) since = TimePoint::max();
    if (order.begins && since == TimePoint::max()) since = order.acknowledged_at + bound;
  }
  return since;
}

}  // namespace

std::vector<std::string> find_evacuation_violations(const ZoneHistory& history, Duration bound) {
  std::vector<std::string> violations;
  for (const ArrivedStatement& arrived : history.arrived) {
    const TimePoint since = closed_since(history, arrived.zone, arrived.at, bound);
    if (arrived.at <= since) continue;
    violations.push_back(fmt::format("statement {} came to {} in the evacuated zone {} {} ms too late",
                                     arrived.id, arrived.backend.value, arrived.zone.value,
                                     in_ms(arrived.at - since)));
  }
  return violations;
}

}  // namespace cairnhollow::standins::registered
