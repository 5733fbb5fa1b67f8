// What the runs of one scenario came to, for people.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "simulation/scenario_runner.h"

namespace cairnhollow::simulation {

/// Sums up the runs of one scenario and profile.
class ScenarioReport {
 public:
  ScenarioReport(std::string scenario, standins::callers::Profile profile)
      : scenario_(std::move(scenario)), profile_(profile) {}

  void add(const RunResult& result);

  [[nodiscard]] std::uint64_t violated_seeds() const { return violated_seeds_; }
  [[nodiscard]] std::string to_text() const;

 private:
  std::string scenario_;
  standins::callers::Profile profile_;
  std::uint64_t runs_ = 0;
  std::uint64_t violated_seeds_ = 0;
  std::uint64_t operations_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::map<std::string, std::uint64_t> violations_;  ///< by checker
  std::uint64_t reads_ = 0;                          ///< that were answered
  std::uint64_t replica_reads_ = 0;                  ///< of these, served by a replica
  std::vector<Duration> write_gaps_;                 ///< the longest of each run
};

/// The value below which `share` of the values lie (nearest rank). Zero when there are none.
Duration quantile(std::vector<Duration> values, double share);

/// One run's longest write gap: how long, from when to when on the world's clock, and of whose group.
std::string gap_text(const RunResult& result);

/// Prints each checker's first violation with the history it is about and the command that replays the run.
void print_violations(const std::string& scenario, standins::callers::Profile profile,
                      const RunResult& result);

}  // namespace cairnhollow::simulation
