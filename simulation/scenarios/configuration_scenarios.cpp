// Operators who race, resend and change much, while control nodes and proxies come and go.
#include <fmt/format.h>

#include <algorithm>

#include "simulation/scenario.h"

namespace cairnhollow::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kChangeLimit = seconds(20);
constexpr int kRaces = 20;
constexpr int kManyChanges = 520;

/// The object that the changes label: a route is in use all the time.
declared::config::Object route_with_label(ScenarioRun& run, const std::string& value) {
  const auto& objects = run.fleet().deployment().objects;
  const auto found = std::find_if(objects.begin(), objects.end(), [](const declared::config::Object& object) {
    return object.kind() == declared::config::ObjectKind::kRoute;
  });
  declared::config::Object route = *found;
  route.labels.entries["note"] = value;
  return route;
}

std::vector<declared::config::ObjectChange> label_route(ScenarioRun& run, const std::string& value,
                                                        std::optional<std::uint64_t> based_on) {
  std::vector<declared::config::ObjectChange> changes;
  changes.push_back({route_with_label(run, value), false, based_on});
  return changes;
}

bool operators_idle(ScenarioRun& run) {
  return run.fleet().operator_a().in_flight() == 0 && run.fleet().operator_b().in_flight() == 0;
}

/// Revision of the change when it was accepted, else 0.
std::uint64_t accepted_revision(ScenarioRun& run, std::size_t place) {
  const ChangeRecord& change = run.fleet().changes().changes.at(place);
  const bool accepted = !change.answers.empty() && change.answers.front().accepted;
  return accepted ? change.answers.front().revision : 0;
}

/// The route's version after the changes made so far, when no others are under way.
std::uint64_t latest_revision(ScenarioRun& run) {
  std::uint64_t latest = 0;
  for (std::size_t place = 0; place < run.fleet().changes().changes.size(); ++place) {
    latest = std::max(latest, accepted_revision(run, place));
  }
  return latest;
}

/// Both operators change the same version at the same time; some messages are lost meanwhile.
void race_operators(ScenarioRun& run) {
  run.run_for(seconds(1));
  run.world().network().faults().set_loss(0.02);
  for (int race = 0; race < kRaces; ++race) {
    const std::uint64_t version = latest_revision(run);
    const std::string value = std::to_string(race);
    const auto a = run.fleet().operator_a().apply(label_route(run, "a" + value, version), kChangeLimit, 1);
    run.run_for(run.random_between(milliseconds(0), milliseconds(6)));
    const auto b = run.fleet().operator_b().apply(label_route(run, "b" + value, version), kChangeLimit, 1);
    run.world().run_until([&] { return operators_idle(run); }, 4 * kChangeLimit);
    const int winners = (accepted_revision(run, a) > 0) + (accepted_revision(run, b) > 0);
    run.expect(winners == 1, fmt::format("race {} had {} winners", race, winners));
  }
  run.world().network().faults().set_loss(0);
  run.run_for(seconds(3));
}

/// The same change id with other content is refused, by whoever comes second.
void reuse_change_id(ScenarioRun& run) {
  run.run_for(seconds(1));
  const auto first =
      run.fleet().operator_a().apply_as("shared-id", label_route(run, "first", std::nullopt), kChangeLimit);
  run.run_for(run.random_between(milliseconds(0), milliseconds(6)));
  const auto second =
      run.fleet().operator_b().apply_as("shared-id", label_route(run, "second", std::nullopt), kChangeLimit);
  run.world().run_until([&] { return operators_idle(run); }, 4 * kChangeLimit);
  const int winners = (accepted_revision(run, first) > 0) + (accepted_revision(run, second) > 0);
  run.expect(winners == 1, fmt::format("one change id with two contents was accepted {} times", winners));
  run.run_for(seconds(3));
}

/// The leader dies around the commit of a change; the operator, who has no answer, sends it again.
void resend_across_leaders(ScenarioRun& run) {
  run.run_for(seconds(2));
  for (int round = 0; round < 3; ++round) {
    const std::string leader = run.fleet().control_leader();
    run.expect(!leader.empty(), "there is no control leader");
    const auto value = std::to_string(round);
    const auto place = run.fleet().operator_a().apply(label_route(run, value, std::nullopt), kChangeLimit, 2);
    run.run_for(run.random_between(milliseconds(0), milliseconds(25)));
    if (!leader.empty()) run.kill(leader);
    run.world().run_until([&] { return operators_idle(run); }, 4 * kChangeLimit);
    run.expect(accepted_revision(run, place) > 0, "the change was not accepted in the end");
    if (!leader.empty()) run.restart(leader);
    run.run_for(seconds(3));
  }
}

/// Requests of operator A still arrive; answers to it don't.
void cut_answers_to_operator(ScenarioRun& run) {
  Fleet& fleet = run.fleet();
  for (const auto& node : fleet.deployment().control_nodes) {
    run.world().network().faults().cut_machines(fleet.address_of(node.node.value),
                                                fleet.address_of("operator-a"));
  }
}

/// The change is accepted and its answer is lost; the operator, who waits no longer, sends it again.
void resend_after_lost_answer(ScenarioRun& run) {
  run.run_for(seconds(2));
  for (int round = 0; round < 4; ++round) {
    const std::string label = std::to_string(round);
    // Connections are open already, so that the request gets through.
    const auto warm =
        run.fleet().operator_a().apply(label_route(run, "warm" + label, std::nullopt), kChangeLimit);
    run.world().run_until([&] { return operators_idle(run); }, 4 * kChangeLimit);
    const std::uint64_t before = accepted_revision(run, warm);
    cut_answers_to_operator(run);
    const auto place = run.fleet().operator_a().apply(label_route(run, label, before),
                                                      run.random_between(milliseconds(200), seconds(3)));
    run.world().run_until([&] { return operators_idle(run); }, 4 * kChangeLimit);
    run.expect(run.fleet().changes().changes.at(place).answers.empty(), "the answer was not lost");
    run.world().heal();
    // Based on the version that the lost answer's change has replaced: decided again, it would be a conflict.
    run.fleet().operator_a().resend(place, kChangeLimit);
    run.world().run_until([&] { return operators_idle(run); }, 4 * kChangeLimit);
    run.expect(accepted_revision(run, place) == before + 1,
               "the resend was not answered with the first outcome");
    run.run_for(seconds(1));
  }
}

void compact_early(Deployment& deployment) {
  for (auto& settings : deployment.control_nodes) settings.snapshot_after_entries = 100;
}

void prepare_many_changes(FleetSettings& settings) {
  settings.adjust = compact_early;
  settings.operations_per_second = 20;
}

void make_many_changes(ScenarioRun& run) {
  for (int change = 0; change < kManyChanges; ++change) {
    run.fleet().operator_a().apply(label_route(run, std::to_string(change), std::nullopt), kChangeLimit);
    run.world().run_until([&] { return operators_idle(run); }, kChangeLimit + seconds(1), milliseconds(1));
  }
}

/// A proxy and a control node are down, and another proxy is frozen, while 500 changes pass them by.
void restart_after_many_changes(ScenarioRun& run) {
  run.run_for(seconds(1));
  const std::string proxy = run.random_proxy();
  std::string frozen_proxy = run.random_proxy();
  while (frozen_proxy == proxy) frozen_proxy = run.random_proxy();
  const std::string control_node = run.random_control_node();
  run.kill(proxy);
  run.freeze(frozen_proxy);
  run.kill(control_node);
  make_many_changes(run);
  run.restart(control_node);
  run.run_for(run.random_between(milliseconds(0), seconds(2)));
  run.restart(proxy);
  run.thaw(frozen_proxy);
  run.run_for(seconds(4));
  const std::uint64_t revision = latest_revision(run);
  run.expect(revision > kManyChanges, "not every change was accepted");
  const auto& observations = run.fleet().observer().proxies();
  for (const std::string& name : {proxy, frozen_proxy}) {
    const auto last = std::find_if(observations.rbegin(), observations.rend(),
                                   [&](const ProxyObservation& seen) { return seen.proxy == name; });
    const bool is_current = last != observations.rend() && last->serves && last->revision == revision;
    run.expect(is_current, name + " does not serve by the latest revision");
  }
}

}  // namespace

std::vector<Scenario> configuration_scenarios() {
  return {
      {"operators-race", "two operators change the same versions at the same time", seconds(40), nullptr,
       race_operators},
      {"change-id-reused", "one change id is sent with two contents", seconds(20), nullptr, reuse_change_id},
      {"resend-across-leaders", "an operator resends while the leader changes", seconds(50), nullptr,
       resend_across_leaders},
      {"resend-after-lost-answer", "an operator resends a change whose answer was lost", seconds(40), nullptr,
       resend_after_lost_answer},
      {"restart-after-500-changes", "a proxy and a control node restart after 500 changes", seconds(60),
       prepare_many_changes, restart_after_many_changes},
  };
}

}  // namespace cairnhollow::simulation
