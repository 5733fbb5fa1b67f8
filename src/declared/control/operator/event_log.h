// In-memory ring buffer of the events recorded by this control node, each also written to the log.
#pragma once

#include <deque>
#include <vector>

#include "declared/control/operator/operator_sources.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::control {

/// Keeps the last kMaxRetainedEvents events. `runtime` is not owned and must outlive this object.
class EventLog : public EventSource {
 public:
  EventLog(runtime::Runtime& runtime, NodeName node) : runtime_(runtime), node_(std::move(node)) {}

  [[nodiscard]] std::vector<FleetEvent> events_since(std::uint64_t since, std::uint32_t limit) const override;
  /// Logged as a warning if `event.cause` is a failure.
  void record(FleetEvent event) override;
  /// Builds the event from its fields and records it.
  void record(std::string kind, std::string subject, std::string message, Reason cause = {});

 private:
  runtime::Runtime& runtime_;
  NodeName node_;
  std::deque<FleetEvent> events_;  ///< in ascending order of number
  std::uint64_t next_number_ = 1;
};

}  // namespace cairnhollow::declared::control
