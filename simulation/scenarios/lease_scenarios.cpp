// Serving leases at their limits: proxies that control nodes can't reach while everyone else does, proxies
// frozen with work in their queues, leaders frozen with renewals in their buffers.
#include <fmt/format.h>

#include "simulation/scenario.h"

namespace cairnhollow::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kChangeLimit = seconds(20);
constexpr Duration kWarmUp = seconds(2);
/// Beyond the lease, so that a proxy which serves on is seen to.
constexpr Duration kSeparation = seconds(8);
constexpr int kLeaderRounds = 3;
constexpr int kFrozenRounds = 3;
/// A proxy has so few connections that work waits for one while statements are slow.
constexpr int kSlowStatementMs = 500;
constexpr std::uint32_t kFewConnections = 4;

const declared::proxy::ProxySettings& random_proxy_settings(ScenarioRun& run) {
  const auto& proxies = run.fleet().deployment().proxies;
  return proxies.at(run.world().random().below(proxies.size()));
}

/// A replica that the proxy prefers, because it is in its zone; any replica when there is none.
BackendName replica_near(ScenarioRun& run, const ZoneName& zone) {
  for (const auto& database : run.fleet().deployment().databases) {
    const bool near = database.zone == zone;
    if (near && run.fleet().primary_of(database.group) != database.backend) return database.backend;
  }
  return run.random_replica(run.random_group());
}

std::size_t label_proxy(ScenarioRun& run, const std::string& value) {
  const std::string& proxy = run.fleet().deployment().proxies.front().node.value;
  declared::config::Object object = run.fleet().object(declared::config::ObjectKind::kProxy, proxy);
  object.labels.entries["note"] = value;
  std::vector<declared::config::ObjectChange> changes;
  changes.push_back({std::move(object), false, std::nullopt});
  return run.fleet().operator_a().apply(std::move(changes), kChangeLimit, 1);
}

/// Callers and databases still reach the proxy, and it them.
void cut_proxy_from_control(ScenarioRun& run) {
  run.run_for(run.random_between(kWarmUp, 2 * kWarmUp));
  const auto& proxy = random_proxy_settings(run);
  for (const auto& node : run.fleet().deployment().control_nodes) {
    run.fleet().cut_between(proxy.node.value, node.node.value);
  }
  run.declare_leaving(replica_near(run, proxy.zone));
  run.run_for(kSeparation);
  run.world().heal();
  run.run_for(seconds(2));
}

void cut_proxy_from_all_but(ScenarioRun& run, const std::string& proxy, const std::string& kept) {
  for (const auto& node : run.fleet().deployment().control_nodes) {
    if (node.node.value != kept) run.fleet().cut_between(proxy, node.node.value);
  }
}

void cut_from_control_nodes(ScenarioRun& run, const std::string& leader) {
  for (const auto& node : run.fleet().deployment().control_nodes) {
    if (node.node.value != leader) run.fleet().cut_between(leader, node.node.value);
  }
}

/// A proxy can reach no control node but the leader when that is lost to the others; changes are accepted
/// without it meanwhile.
void lose_leaders(ScenarioRun& run, void (*lose)(ScenarioRun&, const std::string&)) {
  run.run_for(kWarmUp);
  for (int round = 0; round < kLeaderRounds; ++round) {
    const std::string leader = run.fleet().control_leader();
    run.expect(!leader.empty(), "there is no control leader");
    if (leader.empty()) return;
    cut_proxy_from_all_but(run, random_proxy_settings(run).node.value, leader);
    // The proxy goes round the control nodes until it has found the leader.
    run.run_for(run.random_between(seconds(1), seconds(3)));
    lose(run, leader);
    label_proxy(run, std::to_string(round));
    run.run_for(run.random_between(seconds(2), seconds(6)));
    run.thaw(leader);
    run.run_for(run.random_between(milliseconds(500), seconds(2)));
    run.world().heal();
    run.run_for(seconds(2));
  }
}

/// At its thaw the leader finds the proxy's question, and learns that another one leads.
void freeze_leaders(ScenarioRun& run) {
  lose_leaders(run, [](ScenarioRun& broken, const std::string& leader) { broken.freeze(leader); });
}

/// The leader hears its proxy all the time and nobody else.
void cut_leaders_off(ScenarioRun& run) { lose_leaders(run, cut_from_control_nodes); }

void prepare_queues(FleetSettings& settings) {
  settings.adjust = [](Deployment& deployment) {
    for (auto& database : deployment.databases) database.connections = kFewConnections;
    for (auto& object : deployment.objects) {
      auto* group = std::get_if<declared::config::DatabaseGroupSpec>(&object.spec);
      if (group != nullptr) group->connections_per_backend = kFewConnections;
    }
  };
}

void set_statement_duration(ScenarioRun& run, int duration_ms) {
  for (const auto& settings : run.fleet().deployment().databases) {
    run.fleet().set_database_faults(settings.backend,
                                    fmt::format(R"({{"statement_duration_ms":{}}})", duration_ms));
  }
}

/// Statements that a proxy admitted wait in its queue when it is frozen; the answers that free connections
/// for them are there at its thaw, and the lease is over.
void freeze_proxy_with_queue(ScenarioRun& run) {
  run.run_for(kWarmUp);
  for (int round = 0; round < kFrozenRounds; ++round) {
    const auto& proxy = random_proxy_settings(run);
    const BackendName replica = replica_near(run, proxy.zone);
    set_statement_duration(run, kSlowStatementMs);
    run.run_for(run.random_between(milliseconds(500), milliseconds(1500)));
    run.freeze(proxy.node.value);
    run.declare_leaving(replica);
    run.run_for(run.random_between(milliseconds(3100), milliseconds(4500)));
    run.thaw(proxy.node.value);
    run.run_for(milliseconds(500));
    set_statement_duration(run, 0);
    run.run_for(run.random_between(seconds(1), seconds(2)));
  }
}

}  // namespace

std::vector<Scenario> lease_scenarios() {
  return {
      {"proxy-cut-from-control", "control nodes can't reach a proxy that callers and databases reach",
       seconds(30), nullptr, cut_proxy_from_control},
      {"control-leaders-frozen", "each leader is frozen with a proxy's question in its buffer", seconds(60),
       nullptr, freeze_leaders},
      {"control-leaders-cut-off",
       "each leader is cut from the other control nodes, and a proxy hears it alone", seconds(60), nullptr,
       cut_leaders_off},
      {"proxy-frozen-with-queue", "a proxy is frozen with admitted work in its queue, beyond its lease",
       seconds(40), prepare_queues, freeze_proxy_with_queue},
  };
}

}  // namespace cairnhollow::simulation
