#include "simulation/overload.h"

#include <algorithm>
#include <vector>

#include "standins/callers/checkers/history_index.h"

namespace cairnhollow::simulation {

namespace {

using standins::callers::is_acknowledged;
using standins::callers::OperationKind;
using standins::callers::OperationRecord;

constexpr std::size_t kPercentile = 99;

TimePoint time_of(std::int64_t nanoseconds) { return TimePoint(Duration(nanoseconds)); }

bool is_urgent(const OperationRecord& operation) {
  return operation.kind == OperationKind::kAppend && operation.priority && !operation.repeatable;
}

Duration latency_of(const OperationRecord& operation) {
  return Duration(operation.answered - operation.invoked);
}

Duration percentile(std::vector<Duration> latencies) {
  if (latencies.empty()) return Duration(0);
  const std::size_t place = (latencies.size() - 1) * kPercentile / 100;
  std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(place),
                   latencies.end());
  return latencies[place];
}

void add_urgent(const OperationRecord& operation, const OverloadWindow& window, OverloadFigures& figures) {
  ++figures.urgent_writes;
  const Duration took = latency_of(operation);
  if (operation.answered == 0 || took > window.urgent_limit) ++figures.urgent_late;
  if (operation.answered != 0) figures.urgent_slowest = std::max(figures.urgent_slowest, took);
  if (!is_acknowledged(operation)) ++figures.urgent_refused;
}

}  // namespace

OverloadFigures measure_overload(const standins::callers::History& history, const OverloadWindow& window) {
  OverloadFigures figures;
  std::vector<Duration> before;
  std::vector<Duration> after;
  std::uint64_t attempts = 0;
  std::uint64_t answered = 0;
  for (const OperationRecord& operation : history.operations) {
    const TimePoint began = time_of(operation.invoked);
    const TimePoint ended = time_of(operation.answered);
    const bool done = is_acknowledged(operation);
    const bool is_before = ended < window.from && operation.answered != 0;
    const bool is_after = began >= window.until + kReturnLimit;
    const bool is_during = began >= window.from && began < window.until;
    if (is_during) ++attempts;
    if (is_during && is_urgent(operation)) add_urgent(operation, window, figures);
    if (done && ended >= window.from && ended < window.until) answered += operation.records.size();
    if (!done && is_after) ++figures.refused_after;
    if (!done && ended > window.until) figures.last_refusal_after = ended - window.until;
    if (!done || operation.kind == OperationKind::kTransaction) continue;
    if (is_before) before.push_back(latency_of(operation));
    if (is_after) after.push_back(latency_of(operation));
  }
  const double possible = window.capacity * std::chrono::duration<double>(window.until - window.from).count();
  figures.goodput = static_cast<double>(answered) / possible;
  figures.offered = static_cast<double>(attempts) / possible;
  figures.p99_before = percentile(std::move(before));
  figures.p99_after = percentile(std::move(after));
  return figures;
}

}  // namespace cairnhollow::simulation
