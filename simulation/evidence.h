// Everything that is known of a run after it: what callers, operators and the observer saw, and what the
// databases' logs hold. The checkers judge it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "simulation/change_history.h"
#include "simulation/group_log.h"
#include "simulation/observer_role.h"
#include "simulation/overload.h"
#include "standins/callers/checkers/violation.h"
#include "standins/callers/history.h"

namespace cairnhollow::simulation {

using standins::callers::History;
using standins::callers::OperationRecord;
using standins::callers::Violation;

/// A backend that was told to leave. World time; the callers' clock shows the same.
struct LeavingBackend {
  BackendName backend;
  TimePoint since{};  ///< the change was accepted, or the platform's list showed it
};

/// New work that a proxy handed to the network for a backend: a statement, or the begin of a transaction.
struct SentWork {
  TimePoint at{};
  std::string proxy;
  BackendName backend;
};

struct Evidence {
  History history;
  ChangeHistory changes;
  std::vector<ProxyObservation> proxies;
  std::vector<PrimaryChange> primary_changes;
  std::vector<GroupLog> logs;
  std::vector<SentWork> work;
  std::vector<LeavingBackend> leaving;
  Duration serving_lease = std::chrono::seconds(2);
  TimePoint healed_at{};  ///< the last fault was healed
  bool planned_stops_only = false;
  std::optional<OverloadWindow> overload;
};

}  // namespace cairnhollow::simulation
