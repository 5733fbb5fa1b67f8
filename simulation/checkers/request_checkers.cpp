// Checkers over the callers' history and what the scenario did.
#include <fmt/format.h>

#include "simulation/checkers/checkers.h"
#include "standins/callers/checkers/history_index.h"

namespace cairnhollow::simulation {

namespace {

using standins::callers::is_acknowledged;
using standins::callers::OperationOutcome;
using standins::callers::request_name;

double seconds_of(std::int64_t nanoseconds) {
  constexpr double kNanosecondsInSecond = 1e9;
  return static_cast<double>(nanoseconds) / kNanosecondsInSecond;
}

std::int64_t nanoseconds(TimePoint time) { return time.time_since_epoch().count(); }

}  // namespace

std::vector<Violation> check_leaving_backends(const History& history,
                                              const std::vector<LeavingBackend>& leaving) {
  std::vector<Violation> violations;
  for (const OperationRecord& operation : history.operations) {
    if (!is_acknowledged(operation)) continue;
    for (const LeavingBackend& left : leaving) {
      const bool late = operation.invoked > nanoseconds(left.since + kLeavingLimit);
      if (operation.served_by != left.backend.value || !late) continue;
      violations.push_back({"leaving_backend", request_name(operation), operation.records.front(),
                            fmt::format("began at {:.3f} s and was served by {}, leaving since {:.3f} s",
                                        seconds_of(operation.invoked), operation.served_by,
                                        seconds_of(nanoseconds(left.since)))});
    }
  }
  return violations;
}

std::vector<Violation> check_work_of_leaving(const std::vector<SentWork>& work,
                                             const std::vector<LeavingBackend>& leaving) {
  std::vector<Violation> violations;
  for (const LeavingBackend& left : leaving) {
    for (const SentWork& sent : work) {
      if (sent.backend != left.backend || sent.at <= left.since + kLeavingLimit) continue;
      violations.push_back({"leaving_work", sent.proxy, "",
                            fmt::format("sent work at {:.3f} s to {}, leaving since {:.3f} s",
                                        seconds_of(nanoseconds(sent.at)), sent.backend.value,
                                        seconds_of(nanoseconds(left.since)))});
    }
  }
  return violations;
}

std::vector<Violation> check_planned_stops(const History& history) {
  std::vector<Violation> violations;
  for (const OperationRecord& operation : history.operations) {
    const bool cut = operation.outcome == OperationOutcome::kNoAnswer ||
                     operation.outcome == OperationOutcome::kUnknown || operation.answered == 0;
    if (!cut) continue;
    violations.push_back({"planned_stop", request_name(operation), operation.records.front(),
                          fmt::format("began at {:.3f} s through {} and got no answer ({})",
                                      seconds_of(operation.invoked), operation.proxy, operation.refusal)});
  }
  return violations;
}

std::vector<Violation> check_liveness(const History& history, TimePoint healed_at) {
  std::vector<Violation> violations;
  const std::int64_t from = nanoseconds(healed_at + kRecoveryLimit);
  for (const OperationRecord& operation : history.operations) {
    if (operation.invoked < from || is_acknowledged(operation)) continue;
    violations.push_back(
        {"liveness", request_name(operation), operation.records.front(),
         fmt::format("began at {:.3f} s through {}, {:.3f} s after the last heal: {}",
                     seconds_of(operation.invoked), operation.proxy,
                     seconds_of(operation.invoked - nanoseconds(healed_at)), operation.refusal)});
  }
  return violations;
}

}  // namespace cairnhollow::simulation
