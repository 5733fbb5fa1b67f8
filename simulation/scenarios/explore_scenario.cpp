// Random faults, several at once and the same one twice, under the whole workload with racing operators.
#include <algorithm>

#include "simulation/scenarios/random_faults.h"

namespace cairnhollow::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kExploring = seconds(30);
constexpr Duration kLongestPause = seconds(3);
constexpr Duration kStep = milliseconds(50);
constexpr Duration kChangeLimit = seconds(20);
constexpr std::uint64_t kMostResends = 2;

Duration pause(ScenarioRun& run) { return run.random_between(Duration(0), kLongestPause); }

/// Both change one proxy's label on the version that was last accepted.
void race_operators(ScenarioRun& run) {
  const auto name = run.fleet().deployment().proxies.front().node.value;
  std::uint64_t version = 0;
  for (const ChangeRecord& change : run.fleet().changes().changes) {
    const bool accepted = !change.answers.empty() && change.answers.front().accepted;
    if (accepted) version = std::max(version, change.answers.front().revision);
  }
  for (OperatorRole* const contender : {&run.fleet().operator_a(), &run.fleet().operator_b()}) {
    if (contender->in_flight() > 0) continue;
    declared::config::Object object = run.fleet().object(declared::config::ObjectKind::kProxy, name);
    object.labels.entries["note"] = std::to_string(run.world().random().below(1000));
    std::vector<declared::config::ObjectChange> changes;
    changes.push_back({std::move(object), false, version});
    contender->apply(std::move(changes), kChangeLimit,
                     static_cast<int>(run.world().random().below(kMostResends + 1)));
  }
}

/// Some reads have no request id, and some writes are sent twice under one.
void prepare_explore(FleetSettings& settings) {
  settings.caller.unnamed_reads_per_thousand = 100;
  settings.caller.resend_per_thousand = 100;
}

void explore(ScenarioRun& run) {
  run.run_for(seconds(1));
  RandomFaults faults(run);
  const TimePoint end = run.world().now() + kExploring;
  TimePoint next_fault = run.world().now() + pause(run);
  TimePoint next_change = next_fault;
  while (run.world().now() < end) {
    run.run_for(kStep);
    faults.end_due();
    if (run.world().now() >= next_change) {
      race_operators(run);
      next_change = run.world().now() + pause(run);
    }
    if (run.world().now() < next_fault) continue;
    faults.begin();
    next_fault = run.world().now() + pause(run);
  }
  faults.end_all();
}

}  // namespace

const Scenario& explore_scenario() {
  static const Scenario scenario{"explore", "random faults, several at once, under racing operators",
                                 seconds(45), prepare_explore, explore};
  return scenario;
}

}  // namespace cairnhollow::simulation
