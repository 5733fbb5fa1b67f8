// Backends and proxies that leave: declared by an operator, or stopped as planned, under load.
#include "simulation/scenario.h"

namespace cairnhollow::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHandOverLimit = seconds(10);

void drain_replica(ScenarioRun& run) {
  run.run_for(seconds(2));
  const GroupName group = run.random_group();
  run.declare_leaving(run.random_replica(group));
  run.run_for(seconds(10));
}

void drain_primary(ScenarioRun& run) {
  run.run_for(seconds(2));
  const GroupName group = run.random_group();
  const BackendName primary = run.fleet().primary_of(group);
  run.declare_leaving(primary);
  const bool handed_over = run.fleet().wait_for_new_primary(group, primary, kHandOverLimit);
  run.expect(handed_over, "the leaving primary did not hand over its role");
  run.run_for(seconds(8));
}

/// The platform says that the primary's machine leaves; nobody tells the system otherwise.
void platform_takes_primary(ScenarioRun& run) {
  run.run_for(seconds(2));
  const GroupName group = run.random_group();
  const BackendName primary = run.fleet().primary_of(group);
  run.fleet().set_platform_state(primary.value, "leaving");
  const bool handed_over = run.fleet().wait_for_new_primary(group, primary, kHandOverLimit);
  run.expect(handed_over, "the primary that the platform lists as leaving did not hand over its role");
  run.run_for(seconds(8));
}

void stop_proxy(ScenarioRun& run) {
  run.run_for(run.random_between(seconds(2), seconds(4)));
  const std::string proxy = run.random_proxy();
  run.drain_process(proxy);
  const bool ended = run.world().run_until([&] { return !run.world().alive(proxy); }, seconds(40));
  run.expect(ended, proxy + " did not end its planned stop");
  run.run_for(seconds(2));
}

/// As an operator does it: declare that the backend leaves, wait until it has, then stop its process.
void stop_backend(ScenarioRun& run, const BackendName& backend) {
  run.declare_leaving(backend);
  run.run_for(seconds(5));
  run.drain_process(backend.value);
  const bool ended = run.world().run_until([&] { return !run.world().alive(backend.value); }, seconds(40));
  run.expect(ended, backend.value + " did not end its planned stop");
  run.keep_down(backend.value);
  run.run_for(seconds(3));
}

void stop_replica(ScenarioRun& run) {
  run.run_for(run.random_between(seconds(2), seconds(4)));
  stop_backend(run, run.random_replica(run.random_group()));
}

void stop_primary(ScenarioRun& run) {
  run.run_for(run.random_between(seconds(2), seconds(4)));
  stop_backend(run, run.fleet().primary_of(run.random_group()));
}

/// Planned stops of proxies, one after the other, while a backend leaves as well.
void stop_proxies_in_turn(ScenarioRun& run) {
  run.run_for(seconds(2));
  for (const auto& settings : run.fleet().deployment().proxies) {
    const std::string proxy = settings.node.value;
    run.drain_process(proxy);
    const bool ended = run.world().run_until([&] { return !run.world().alive(proxy); }, seconds(40));
    run.expect(ended, proxy + " did not end its planned stop");
    run.run_for(milliseconds(500));
    run.restart(proxy);
    run.run_for(seconds(3));
  }
}

}  // namespace

std::vector<Scenario> leaving_scenarios() {
  return {
      {"backend-leaves", "a replica is declared as leaving", seconds(30), nullptr, drain_replica, true},
      {"primary-leaves", "a primary is declared as leaving and hands over", seconds(35), nullptr,
       drain_primary, true},
      {"platform-takes-primary", "the platform lists a primary's machine as leaving", seconds(35), nullptr,
       platform_takes_primary, true},
      {"proxy-stopped", "a proxy is stopped as planned under load", seconds(40), nullptr, stop_proxy, true},
      {"proxies-stopped-in-turn", "each proxy is stopped as planned and started again", seconds(50), nullptr,
       stop_proxies_in_turn, true},
      {"replica-stopped", "a leaving replica's process is stopped as planned", seconds(35), nullptr,
       stop_replica, true},
      {"primary-stopped", "a leaving primary hands over and its process is stopped", seconds(35), nullptr,
       stop_primary, true},
  };
}

}  // namespace cairnhollow::simulation
