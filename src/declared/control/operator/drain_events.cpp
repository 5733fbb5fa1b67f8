#include "declared/control/operator/drain_events.h"

#include <fmt/format.h>

namespace cairnhollow::declared::control {

namespace {

bool is_draining(const config::Object& object) {
  if (const auto* proxy = std::get_if<config::ProxySpec>(&object.spec)) return proxy->drain;
  if (const auto* backend = std::get_if<config::BackendSpec>(&object.spec)) return backend->drain;
  return false;
}

}  // namespace

DrainEvents::DrainEvents(const config::ChangeRequest& request, const config::StateMachine& machine)
    : operator_name_(request.operator_name) {
  for (const auto& change : request.changes) {
    if (change.deletion) continue;
    const auto before = machine.find(change.object.key());
    const bool drained_before = before && is_draining(before->object);
    if (is_draining(change.object) == drained_before) continue;
    drains_.push_back({change.object.key(), !drained_before});
  }
}

std::vector<FleetEvent> DrainEvents::at_revision(std::uint64_t revision) const {
  const std::string by = operator_name_.empty() ? "an operator" : operator_name_;
  std::vector<FleetEvent> events;
  for (const auto& drain : drains_) {
    FleetEvent event;
    event.kind = drain.begins ? "drain_started" : "drain_ended";
    event.subject = drain.object.name;
    event.message = fmt::format("cause: operator; {} {} by revision {}", by,
                                drain.begins ? "takes new work away from it" : "gives it new work", revision);
    if (events.size() == kDrainEventsPerChange) {
      event.message +=
          fmt::format("; {} more objects like it in this change", drains_.size() - events.size() - 1);
    }
    events.push_back(std::move(event));
    if (events.size() > kDrainEventsPerChange) break;
  }
  return events;
}

}  // namespace cairnhollow::declared::control
