// Runs a scenario with one seed, or with many on several threads, and judges each run.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "simulation/scenario.h"
#include "standins/callers/load_report.h"

namespace cairnhollow::simulation {

struct RunSettings {
  standins::callers::Profile profile = standins::callers::Profile::kStudyCard;
  std::uint64_t seed = 1;
  bool print_log = false;
};

struct RunResult {
  std::uint64_t seed = 0;
  std::uint64_t trace_hash = 0;
  std::uint64_t trace_events = 0;
  std::vector<Violation> violations;
  Evidence evidence;
  standins::callers::LoadStatistics statistics;
};

/// The same settings give the same result, the trace's hash included, in any process.
RunResult run_scenario(const Scenario& scenario, const RunSettings& settings);

/// Calls `run` for each seed from `first` to `last`, on `workers` threads, and hands the results to `take`
/// one at a time, in the order in which they end.
void run_seeds(std::uint64_t first, std::uint64_t last, unsigned workers,
               const std::function<RunResult(std::uint64_t)>& run,
               const std::function<void(RunResult)>& take);

/// The operations of the history that a violation is about: its session's and its record's, around it.
std::string offending_history(const Evidence& evidence, const Violation& violation);

}  // namespace cairnhollow::simulation
