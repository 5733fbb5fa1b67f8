#include "simulation/scenario_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

#include "simulation/checkers/checkers.h"
#include "standins/callers/history_file.h"

namespace cairnhollow::simulation {

namespace {

/// Lines printed of one violation's history.
constexpr std::size_t kHistoryLines = 12;

Evidence collect_evidence(Fleet& fleet, const ScenarioRun& run, const Scenario& scenario, Reason& reason) {
  Evidence evidence;
  evidence.history = fleet.history();
  evidence.changes = fleet.changes();
  evidence.proxies = fleet.observer().proxies();
  evidence.primary_changes = fleet.observer().primary_changes();
  evidence.logs = read_group_logs(fleet, reason);
  evidence.work = fleet.work();
  evidence.leaving = run.leaving();
  evidence.serving_lease = fleet.deployment().control_nodes.front().serving_lease;
  evidence.healed_at = run.healed_at();
  evidence.overload = run.overload();
  evidence.planned_stops_only = scenario.planned_stops_only;
  return evidence;
}

/// Loads, breaks and settles the fleet; the evidence is complete after it.
void play(const Scenario& scenario, Fleet& fleet, RunResult& result) {
  Reason reason;
  if (!fleet.start(reason)) {
    result.violations.push_back({"scenario", "", "", "the fleet did not start: " + reason.to_string()});
    return;
  }
  fleet.start_callers(scenario.load_duration);
  ScenarioRun run(fleet);
  scenario.script(run);
  run.undo_faults();
  if (!fleet.settle(reason)) {
    result.violations.push_back({"liveness", "", "", "the run did not settle: " + reason.to_string()});
  }
  result.statistics = fleet.callers().statistics();
  result.evidence = collect_evidence(fleet, run, scenario, reason);
  if (reason.failed()) result.violations.push_back({"scenario", "", "", reason.to_string()});
  for (const Violation& violation : run.violations()) result.violations.push_back(violation);
  for (const Violation& violation : check_evidence(result.evidence)) result.violations.push_back(violation);
}

bool concerns(const OperationRecord& operation, const Violation& violation) {
  const std::string request = fmt::format("{}:{}", operation.session.value, operation.number);
  const bool same_session = violation.request.starts_with(operation.session.value + ":");
  const bool same_record = !violation.record.empty() &&
                           std::find(operation.records.begin(), operation.records.end(), violation.record) !=
                               operation.records.end();
  return request == violation.request || (violation.record.empty() ? same_session : same_record);
}

}  // namespace

RunResult run_scenario(const Scenario& scenario, const RunSettings& settings) {
  FleetSettings fleet_settings;
  fleet_settings.profile = settings.profile;
  fleet_settings.seed = settings.seed;
  fleet_settings.print_log = settings.print_log;
  if (scenario.prepare != nullptr) scenario.prepare(fleet_settings);
  RunResult result;
  result.seed = settings.seed;
  Fleet fleet(std::move(fleet_settings));
  try {
    play(scenario, fleet, result);
  } catch (const std::exception& error) {
    result.violations.push_back({"scenario", "", "", error.what()});
  }
  for (const std::string& fault : fleet.world().faults()) {
    result.violations.push_back({"process_fault", "", "", fault});
  }
  result.trace_hash = fleet.world().trace().hash();
  result.trace_events = fleet.world().trace().event_count();
  return result;
}

void run_seeds(std::uint64_t first, std::uint64_t last, unsigned workers,
               const std::function<RunResult(std::uint64_t)>& run,
               const std::function<void(RunResult)>& take) {
  std::atomic<std::uint64_t> next{first};
  std::mutex taking;
  const auto work = [&] {
    for (std::uint64_t seed = next++; seed <= last; seed = next++) {
      RunResult result = run(seed);
      const std::scoped_lock lock(taking);
      take(std::move(result));
    }
  };
  std::vector<std::thread> threads;
  for (unsigned worker = 1; worker < workers; ++worker) threads.emplace_back(work);
  work();
  for (std::thread& thread : threads) thread.join();
}

std::string offending_history(const Evidence& evidence, const Violation& violation) {
  History part;
  std::size_t found = 0;
  const auto& operations = evidence.history.operations;
  for (std::size_t place = 0; place < operations.size(); ++place) {
    const auto& operation = operations[place];
    if (fmt::format("{}:{}", operation.session.value, operation.number) == violation.request) found = place;
  }
  // The operations before the one at fault tell most; walk back from it.
  for (std::size_t place = std::min(found + 1, operations.size()); place-- > 0;) {
    if (part.operations.size() >= kHistoryLines) break;
    if (concerns(operations[place], violation)) part.operations.push_back(operations[place]);
  }
  std::reverse(part.operations.begin(), part.operations.end());
  return standins::callers::write_history(part);
}

}  // namespace cairnhollow::simulation
