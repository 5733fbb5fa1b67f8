#include "declared/control/operator/event_log.h"

#include <algorithm>

#include "declared/control/knobs.h"

namespace cairnhollow::declared::control {

std::vector<FleetEvent> EventLog::events_since(std::uint64_t since, std::uint32_t limit) const {
  const auto first = std::find_if(events_.begin(), events_.end(),
                                  [since](const FleetEvent& event) { return event.number > since; });
  const auto available = static_cast<std::size_t>(events_.end() - first);
  const auto count = static_cast<std::ptrdiff_t>(std::min<std::size_t>(available, limit));
  return {first, first + count};
}

void EventLog::record(FleetEvent event) {
  event.number = next_number_++;
  event.wall_clock_microseconds = runtime_.wall_clock_microseconds();
  event.node = node_;
  if (event.cause.failed()) {
    runtime_.logger().log(runtime::LogLevel::kWarning, event.kind, event.cause,
                          {{"subject", event.subject}, {"message", event.message}});
  } else {
    runtime_.logger().log(runtime::LogLevel::kInfo, event.kind,
                          {{"subject", event.subject}, {"message", event.message}});
  }
  events_.push_back(std::move(event));
  if (events_.size() > kMaxRetainedEvents) events_.pop_front();
}

void EventLog::record(std::string kind, std::string subject, std::string message, Reason cause) {
  FleetEvent event;
  event.kind = std::move(kind);
  event.subject = std::move(subject);
  event.message = std::move(message);
  event.cause = std::move(cause);
  record(std::move(event));
}

}  // namespace cairnhollow::declared::control
