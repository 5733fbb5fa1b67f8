// Failures around the system: zones cut off, answers spoiled, the platform's list wrong, clocks that drift,
// lost messages.
#include <fmt/format.h>

#include "simulation/scenario.h"

namespace cairnhollow::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLongLoss = std::chrono::minutes(10);
constexpr Duration kFailoverLimit = seconds(10);

ZoneName random_zone(ScenarioRun& run) {
  const auto& zones = run.fleet().deployment().zones;
  return zones.at(run.world().random().below(zones.size()));
}

/// Groups whose primary is in the zone, with that primary.
std::vector<std::pair<GroupName, BackendName>> primaries_in(ScenarioRun& run, const ZoneName& zone) {
  std::vector<std::pair<GroupName, BackendName>> found;
  for (const GroupName& group : run.fleet().deployment().groups()) {
    const BackendName primary = run.fleet().primary_of(group);
    if (run.fleet().deployment().database(primary).zone == zone) found.emplace_back(group, primary);
  }
  return found;
}

void cut_zone(ScenarioRun& run, bool outgoing, bool incoming) {
  run.run_for(run.random_between(seconds(2), seconds(4)));
  const ZoneName zone = random_zone(run);
  const auto lost = primaries_in(run, zone);
  run.fleet().cut_zone(zone, outgoing, incoming);
  for (const auto& [group, primary] : lost) {
    const bool replaced = run.fleet().wait_for_new_primary(group, primary, kFailoverLimit);
    run.expect(replaced, "the cut-off primary " + primary.value + " was not replaced");
  }
  run.run_for(run.random_between(seconds(1), seconds(8)));
  run.world().heal();
  run.run_for(seconds(2));
}

void cut_zone_both_ways(ScenarioRun& run) { cut_zone(run, true, true); }

void cut_zone_one_way(ScenarioRun& run) {
  const bool outgoing = run.world().random().below(2) == 0;
  cut_zone(run, outgoing, !outgoing);
}

void set_answer_faults(ScenarioRun& run, double share) {
  for (const auto& settings : run.fleet().deployment().databases) {
    run.fleet().set_database_faults(
        settings.backend,
        fmt::format(R"({{"delayed_answers":{0},"answer_delay_ms":1500,"crossed_answers":{0},)"
                    R"("duplicated_answers":{0},"short_bodies":{0}}})",
                    share));
  }
}

/// Callers who have no request id in half of their reads, and who send some writes twice: what the ids guard
/// elsewhere must hold here without them.
void prepare_careless_callers(FleetSettings& settings) {
  settings.caller.unnamed_reads_per_thousand = 500;
  settings.caller.resend_per_thousand = 200;
}

void spoil_answers(ScenarioRun& run) {
  run.run_for(seconds(2));
  set_answer_faults(run, 0.02);
  run.run_for(seconds(15));
  set_answer_faults(run, 0);
  run.run_for(seconds(3));
}

/// Nothing is broken.
void stay_calm(ScenarioRun& run) { run.run_for(seconds(20)); }

/// Every replica applies what it has 200 ms late.
void lag_a_little(Deployment& deployment) {
  for (auto& settings : deployment.databases) settings.replication_lag = milliseconds(200);
}

void prepare_little_lag(FleetSettings& settings) { settings.adjust = lag_a_little; }

/// The list stands still for a minute, in which a machine it shows as live is lost; then it shows live
/// machines as gone or leaving.
void mislead_by_platform(ScenarioRun& run) {
  run.run_for(seconds(2));
  for (const auto& settings : run.fleet().deployment().databases) {
    run.fleet().set_platform_state(settings.backend.value, "live");
  }
  run.run_for(seconds(2));
  run.fleet().freeze_platform_list(true);
  const GroupName group = run.random_group();
  const BackendName primary = run.fleet().primary_of(group);
  run.vanish(primary.value);
  const bool replaced = run.fleet().wait_for_new_primary(group, primary, kFailoverLimit);
  run.expect(replaced, "a lost primary that the stale list shows as live was not replaced");
  run.run_for(seconds(60));
  run.restart(primary.value);
  run.fleet().freeze_platform_list(false);
  const BackendName wrongly_gone = run.random_replica(run.random_group());
  run.fleet().set_platform_state(wrongly_gone.value, "gone");
  run.run_for(seconds(6));
  run.fleet().set_platform_state(wrongly_gone.value, "live");
  run.run_for(seconds(4));
}

/// Rates half a percent slow, half a percent fast and right: two of three pairs differ, one in four or so by
/// the whole percent. The zeros mean nothing to each other.
void drift_clocks(ProcessSettings& process, runtime::Random& random) {
  constexpr std::int64_t kDriftPerMillion = 5000;
  const bool is_recorder = process.zone == kClientZone || process.zone == kObserverZone;
  if (is_recorder) return;
  process.clock_offset = random.between(seconds(0), seconds(100000));
  process.clock_drift_per_million = (static_cast<std::int64_t>(random.below(3)) - 1) * kDriftPerMillion;
}

void prepare_drift(FleetSettings& settings) { settings.adjust_process = drift_clocks; }

/// Drift shows in leases: a control node is cut off from the others and a proxy frozen while changes are
/// made.
void run_with_drift(ScenarioRun& run) {
  run.run_for(seconds(2));
  for (int round = 0; round < 4; ++round) {
    const std::string node = run.random_control_node();
    const std::string proxy = run.random_proxy();
    for (const auto& settings : run.fleet().deployment().control_nodes) {
      if (settings.node.value != node) run.fleet().cut_between(node, settings.node.value);
    }
    run.freeze(proxy);
    run.fleet().declare_drain(declared::config::ObjectKind::kProxy,
                              run.fleet().deployment().proxies.front().node.value, false);
    run.run_for(run.random_between(seconds(1), seconds(5)));
    run.thaw(proxy);
    run.world().heal();
    run.run_for(run.random_between(milliseconds(100), seconds(2)));
  }
}

void lose_messages(ScenarioRun& run) {
  run.run_for(seconds(2));
  run.world().network().faults().set_loss(0.05);
  run.run_for(seconds(30));
  run.expect(run.fleet().observer().primary_changes().size() == run.fleet().deployment().groups().size(),
             "a primary that was not lost was replaced");
  run.world().network().faults().set_loss(0);
  run.run_for(seconds(1));
}

/// For runs that count false failovers: few callers, so that many simulated minutes are affordable.
void prepare_few_callers(FleetSettings& settings) {
  settings.operations_per_second = 2;
  settings.sessions = 4;
}

void lose_messages_for_long(ScenarioRun& run) {
  run.run_for(seconds(2));
  run.world().network().faults().set_loss(0.05);
  run.run_for(kLongLoss);
  run.expect(run.fleet().observer().primary_changes().size() == run.fleet().deployment().groups().size(),
             "a primary that was not lost was replaced");
  run.world().network().faults().set_loss(0);
  run.run_for(seconds(1));
}

}  // namespace

std::vector<Scenario> environment_scenarios() {
  return {
      {"calm", "nothing is broken", seconds(25), nullptr, stay_calm},
      {"calm-with-200ms-lag", "nothing is broken; replicas lag by 200 ms", seconds(25), prepare_little_lag,
       stay_calm},
      {"zone-cut-both-ways", "a zone is cut off from the others", seconds(35), nullptr, cut_zone_both_ways},
      {"zone-cut-one-way", "a zone hears the others, or they it, but not both", seconds(35), nullptr,
       cut_zone_one_way},
      {"answers-spoiled", "databases answer late, twice, crossed and short", seconds(35),
       prepare_careless_callers, spoil_answers},
      {"platform-list-wrong", "the platform's list stands still for a minute and is wrong after it",
       seconds(105), nullptr, mislead_by_platform},
      {"clock-rates-differ", "clock rates differ by 1% while leases matter", seconds(55), prepare_drift,
       run_with_drift},
      {"messages-lost", "5% of all messages are lost", seconds(45), nullptr, lose_messages},
      {"messages-lost-long", "5% of all messages are lost for ten minutes, under a light load",
       kLongLoss + seconds(15), prepare_few_callers, lose_messages_for_long},
  };
}

}  // namespace cairnhollow::simulation
