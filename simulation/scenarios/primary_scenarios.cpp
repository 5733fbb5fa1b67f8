// Failures of a group's primary: killed, frozen, cut off; replicas that lag.
#include <fmt/format.h>

#include "declared/config/selector_text.h"
#include "simulation/scenario.h"

namespace cairnhollow::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kFailoverLimit = seconds(10);

/// A primary is lost by `lose`; the script ends once another one was promoted.
void expect_replacement(ScenarioRun& run, const GroupName& group, const BackendName& old_primary) {
  const bool replaced = run.fleet().wait_for_new_primary(group, old_primary, kFailoverLimit);
  run.expect(replaced, fmt::format("{} was not replaced as primary of {}", old_primary.value, group.value));
}

void kill_primary(ScenarioRun& run) {
  run.run_for(run.random_between(seconds(2), seconds(4)));
  const GroupName group = run.random_group();
  const BackendName primary = run.fleet().primary_of(group);
  const bool machine_lost = run.world().random().below(2) == 0;
  if (machine_lost) run.vanish(primary.value);
  if (!machine_lost) run.kill(primary.value);
  expect_replacement(run, group, primary);
  run.run_for(seconds(4));
}

void kill_primary_twice(ScenarioRun& run) {
  const GroupName group = run.random_group();
  run.run_for(seconds(2));
  const BackendName first = run.fleet().primary_of(group);
  run.kill(first.value);
  expect_replacement(run, group, first);
  run.run_for(run.random_between(milliseconds(0), milliseconds(300)));
  run.restart(first.value);
  run.run_for(run.random_between(milliseconds(0), seconds(1)));
  const BackendName second = run.fleet().primary_of(group);
  run.kill(second.value);
  expect_replacement(run, group, second);
  run.run_for(seconds(2));
}

void freeze_primary(ScenarioRun& run) {
  run.run_for(run.random_between(seconds(2), seconds(4)));
  const GroupName group = run.random_group();
  const BackendName primary = run.fleet().primary_of(group);
  run.freeze(primary.value);
  expect_replacement(run, group, primary);
  run.run_for(run.random_between(milliseconds(0), seconds(3)));
  run.thaw(primary.value);
  run.run_for(seconds(4));
}

void cut_primary_from_replicas(ScenarioRun& run) {
  run.run_for(run.random_between(seconds(2), seconds(4)));
  const GroupName group = run.random_group();
  const BackendName primary = run.fleet().primary_of(group);
  for (const BackendName& member : run.fleet().deployment().members_of(group)) {
    if (member != primary) run.fleet().cut_between(primary.value, member.value);
  }
  expect_replacement(run, group, primary);
  run.run_for(run.random_between(seconds(1), seconds(5)));
  run.world().heal();
  run.run_for(seconds(2));
}

/// The proxies are the database's clients: they still reach the old primary.
void cut_primary_from_all_but_clients(ScenarioRun& run) {
  run.run_for(run.random_between(seconds(2), seconds(4)));
  const GroupName group = run.random_group();
  const BackendName primary = run.fleet().primary_of(group);
  std::vector<std::string> clients;
  for (const auto& settings : run.fleet().deployment().proxies) clients.push_back(settings.node.value);
  run.fleet().cut_off(primary.value, clients);
  expect_replacement(run, group, primary);
  run.run_for(run.random_between(seconds(1), seconds(5)));
  run.world().heal();
  run.run_for(seconds(2));
}

/// Cut from everything, both ways.
void cut_primary_off(ScenarioRun& run) {
  run.run_for(run.random_between(seconds(2), seconds(4)));
  const GroupName group = run.random_group();
  const BackendName primary = run.fleet().primary_of(group);
  run.fleet().cut_off(primary.value, {});
  expect_replacement(run, group, primary);
  run.run_for(run.random_between(seconds(1), seconds(5)));
  run.world().heal();
  run.run_for(seconds(2));
}

/// So that an operator can name the target of a switchover.
void label_backends(FleetSettings& settings) {
  settings.adjust = [](Deployment& deployment) {
    for (auto& object : deployment.objects) {
      if (object.kind() == declared::config::ObjectKind::kBackend)
        object.labels.entries["name"] = object.name;
    }
  };
}

Awaitable<void> switch_over(cli::OperatorClient& client, runtime::Runtime& runtime,
                            declared::control::SwitchoverRequest request) {
  Reason reason;
  const TimePoint deadline = runtime.now() + kFailoverLimit;
  co_await client.switchover(std::move(request), deadline, reason);
}

void hand_over_to(ScenarioRun& run, const GroupName& group, const BackendName& target) {
  Reason reason;
  declared::control::SwitchoverRequest request;
  request.group = group;
  request.target = declared::config::parse_selector("name=" + target.value, reason).value();
  run.fleet().operator_b().run([request](cli::OperatorClient& client, runtime::Runtime& runtime) {
    return switch_over(client, runtime, request);
  });
  const auto is_primary = [&] { return run.fleet().primary_of(group) == target; };
  run.expect(run.world().run_until(is_primary, kFailoverLimit), target.value + " did not become primary");
}

/// A proxy's writes are on their way to the primary while another takes its place; their outcomes are asked
/// for there. They arrive when the first one is primary again, in a later term.
void hold_up_writes(ScenarioRun& run) {
  run.run_for(run.random_between(seconds(2), seconds(4)));
  const GroupName group = run.random_group();
  const BackendName primary = run.fleet().primary_of(group);
  const BackendName other = run.random_replica(group);
  NetworkFaults& faults = run.world().network().faults();
  const std::string& to = run.fleet().address_of(primary.value);
  for (const auto& proxy : run.fleet().deployment().proxies) {
    faults.cut_machines(run.fleet().address_of(proxy.node.value), to);
  }
  run.run_for(run.random_between(milliseconds(50), milliseconds(500)));
  hand_over_to(run, group, other);
  run.run_for(run.random_between(seconds(4), seconds(6)));
  hand_over_to(run, group, primary);
  run.world().heal();
  run.run_for(seconds(4));
}

void roam_often(FleetSettings& settings) {
  settings.caller.roam_per_thousand = 600;
  settings.operations_per_second = 80;
}

/// Replicas fall behind for a minute while sessions move between proxies at most operations.
void lag_replicas(ScenarioRun& run) {
  run.run_for(seconds(2));
  for (const GroupName& group : run.fleet().deployment().groups()) {
    const BackendName replica = run.random_replica(group);
    const auto lag =
        std::chrono::duration_cast<milliseconds>(run.random_between(milliseconds(50), seconds(8)));
    run.fleet().set_database_faults(replica, fmt::format(R"({{"replication_lag_ms":{}}})", lag.count()));
  }
  run.run_for(seconds(60));
  for (const auto& settings : run.fleet().deployment().databases) {
    run.fleet().set_database_faults(settings.backend, R"({"replication_lag_ms":0})");
  }
  run.run_for(seconds(9));
}

}  // namespace

std::vector<Scenario> primary_scenarios() {
  return {
      {"primary-killed", "a primary's process or machine is lost", seconds(25), nullptr, kill_primary},
      {"primary-killed-twice", "a primary is killed, restarted, and its successor is killed", seconds(35),
       nullptr, kill_primary_twice},
      {"primary-frozen", "a primary is frozen and thawed after its replacement", seconds(30), nullptr,
       freeze_primary},
      {"primary-cut-from-replicas", "only the replicas can't hear their primary", seconds(30), nullptr,
       cut_primary_from_replicas},
      {"primary-cut-from-all-but-clients", "only the proxies can still reach the primary", seconds(30),
       nullptr, cut_primary_from_all_but_clients},
      {"primary-cut-off", "nobody can reach the primary, and it nobody", seconds(30), nullptr,
       cut_primary_off},
      {"writes-held-up", "writes reach a primary that has been replaced and took over again meanwhile",
       seconds(35), label_backends, hold_up_writes},
      {"replicas-lag", "replicas lag for a minute while sessions roam", seconds(85), roam_often,
       lag_replicas},
  };
}

}  // namespace cairnhollow::simulation
