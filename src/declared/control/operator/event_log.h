// The events that this control node has recorded, for operators: a ring in memory, and a line of the log
// each.
#pragma once

#include <deque>
#include <vector>

#include "declared/control/operator/operator_sources.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::control {

/// Keeps the last kMaxRetainedEvents events. `runtime` outlives it.
class EventLog : public EventSource {
 public:
  EventLog(runtime::Runtime& runtime, NodeName node) : runtime_(runtime), node_(std::move(node)) {}

  [[nodiscard]] std::vector<FleetEvent> events_since(std::uint64_t since, std::uint32_t limit) const override;
  /// A cause that failed makes the log line a warning.
  void record(FleetEvent event) override;
  /// As record(), from its parts.
  void record(std::string kind, std::string subject, std::string message, Reason cause = {});

 private:
  runtime::Runtime& runtime_;
  NodeName node_;
  std::deque<FleetEvent> events_;  ///< by number, ascending
  std::uint64_t next_number_ = 1;
};

}  // namespace cairnhollow::declared::control
