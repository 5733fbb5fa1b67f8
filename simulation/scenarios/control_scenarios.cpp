// Failures of control nodes: cut off in silence, killed, wiped, replaced, all without power at once.
#include <fmt/format.h>

#include <algorithm>

#include "declared/control/control_node.h"
#include "simulation/scenario.h"

namespace cairnhollow::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kChangeLimit = seconds(20);
constexpr Duration kReplaceLimit = seconds(30);
constexpr Duration kSilence = minutes(10);
constexpr const char* kStandby = "control-standby";
/// Of a new member that is to catch up slowly.
constexpr Duration kSlowSync = milliseconds(400);
constexpr Duration kBetweenChanges = seconds(20);

/// One of the first three, which are the voters.
std::string random_voter(ScenarioRun& run) {
  constexpr std::uint64_t kVoters = 3;
  return run.fleet().deployment().control_nodes.at(run.world().random().below(kVoters)).node.value;
}

std::string another_voter(ScenarioRun& run, const std::string& voter) {
  std::string other = random_voter(run);
  while (other == voter) other = random_voter(run);
  return other;
}

/// Sets a label on a proxy object; accepted changes are what the configuration checkers follow.
std::size_t make_change(ScenarioRun& run, const std::string& value) {
  const std::string& proxy = run.fleet().deployment().proxies.front().node.value;
  declared::config::Object object = run.fleet().object(declared::config::ObjectKind::kProxy, proxy);
  object.labels.entries["note"] = value;
  std::vector<declared::config::ObjectChange> changes;
  changes.push_back({std::move(object), false, std::nullopt});
  return run.fleet().operator_a().apply(std::move(changes), kChangeLimit, 1);
}

bool is_accepted(ScenarioRun& run, std::size_t place) {
  const ChangeRecord& change = run.fleet().changes().changes.at(place);
  return !change.answers.empty() && change.answers.front().accepted;
}

/// Why the change's last send had no answer, as the end of a sentence.
std::string last_failure(ScenarioRun& run, std::size_t place) {
  const ChangeRecord& change = run.fleet().changes().changes.at(place);
  if (!change.answers.empty()) return ": " + change.answers.back().reason.to_string();
  return change.failures.empty() ? ": no send has ended" : ": " + change.failures.back().to_string();
}

void cut_from_control_nodes(ScenarioRun& run, const std::string& node) {
  for (const auto& settings : run.fleet().deployment().control_nodes) {
    if (settings.node.value != node) run.fleet().cut_between(node, settings.node.value);
  }
}

void light_load(FleetSettings& settings) { settings.operations_per_second = 4; }

/// The proxies of its zone ask it first, all the time.
void silence_voter(ScenarioRun& run) {
  run.run_for(seconds(2));
  const std::string voter = random_voter(run);
  cut_from_control_nodes(run, voter);
  int accepted = 0;
  int made = 0;
  const TimePoint end = run.world().now() + kSilence;
  while (run.world().now() < end) {
    const std::size_t place = make_change(run, std::to_string(made++));
    run.run_for(kBetweenChanges);
    if (is_accepted(run, place)) ++accepted;
  }
  run.expect(accepted == made, fmt::format("{} of {} changes were accepted", accepted, made));
  run.world().heal();
  run.run_for(seconds(2));
}

void kill_leaders(ScenarioRun& run) {
  run.run_for(seconds(2));
  for (int round = 0; round < 3; ++round) {
    const std::string leader = run.fleet().control_leader();
    run.expect(!leader.empty(), "there is no control leader");
    if (leader.empty()) return;
    make_change(run, std::to_string(round));
    run.kill(leader);
    run.run_for(run.random_between(seconds(1), seconds(3)));
    run.restart(leader);
    run.run_for(seconds(2));
  }
}

/// Every control machine loses its power at once while a change is under way.
void lose_power(ScenarioRun& run) {
  run.run_for(seconds(2));
  for (int round = 0; round < 2; ++round) {
    const std::size_t place = make_change(run, std::to_string(round));
    run.run_for(run.random_between(milliseconds(0), milliseconds(30)));
    for (const auto& settings : run.fleet().deployment().control_nodes) run.vanish(settings.node.value);
    run.run_for(run.random_between(milliseconds(100), seconds(6)));
    for (const auto& settings : run.fleet().deployment().control_nodes) {
      run.restart(settings.node.value);
      run.run_for(run.random_between(milliseconds(0), milliseconds(500)));
    }
    run.run_for(seconds(8));
    run.expect(is_accepted(run, place), "the change was not accepted after the power came back");
  }
}

/// Starts a fresh control machine that waits to be taken in.
consensus::Member start_standby(ScenarioRun& run, const std::string& name, const std::string& address,
                                const ZoneName& zone) {
  declared::control::ControlSettings settings = run.fleet().deployment().control_nodes.front();
  settings.node = NodeName(name);
  settings.zone = zone;
  settings.peer_endpoint.address = address;
  settings.operator_endpoint.address = address;
  settings.initial_members.clear();
  settings.join = true;
  run.fleet().start_process(name, address, zone, [settings](runtime::Runtime& runtime) {
    return declared::control::make_control_node(runtime, settings);
  });
  consensus::Member member;
  member.node = settings.node;
  member.endpoint = settings.peer_endpoint;
  member.zone = zone;
  return member;
}

Awaitable<void> replace(cli::OperatorClient& client, runtime::Runtime& runtime, std::string lost,
                        consensus::Member member, std::shared_ptr<bool> replaced) {
  Reason reason;
  const TimePoint deadline = runtime.now() + kReplaceLimit;
  *replaced = co_await client.replace_member(std::move(lost), std::move(member), deadline, reason);
}

std::shared_ptr<bool> replace_member(ScenarioRun& run, const std::string& lost,
                                     const consensus::Member& member) {
  auto replaced = std::make_shared<bool>(false);
  run.fleet().operator_b().run(
      [lost, member, replaced](cli::OperatorClient& client, runtime::Runtime& runtime) {
        return replace(client, runtime, lost, member, replaced);
      });
  return replaced;
}

/// A voter's machine is lost with its disk and replaced; a second one is lost before that has settled.
void lose_disk_then_another(ScenarioRun& run) {
  run.run_for(seconds(2));
  const std::string lost = random_voter(run);
  const std::string second = another_voter(run, lost);
  run.vanish(lost);
  run.world().disk(lost).wipe();
  run.keep_down(lost);
  make_change(run, "while-one-is-lost");
  run.run_for(run.random_between(seconds(1), seconds(3)));
  const auto zone = run.fleet().deployment().zones.front();
  run.world().disk(kStandby).sync_delay = kSlowSync;
  const auto member = start_standby(run, kStandby, "10.0.0.30", zone);
  run.run_for(milliseconds(200));
  const auto replaced = replace_member(run, lost, member);
  run.run_for(run.random_between(milliseconds(0), kSlowSync));
  run.expect(!*replaced, "the new member had caught up before the second machine was lost");
  run.vanish(second);
  make_change(run, "while-two-are-lost");
  run.run_for(run.random_between(seconds(2), seconds(8)));
  run.restart(second);
  run.run_for(seconds(12));
  const std::size_t place = make_change(run, "after");
  run.run_for(seconds(3));
  run.expect(is_accepted(run, place), "no change is accepted after the second machine came back");
}

/// As an operator expects a repair to go: the standby takes the lost voter's place, and then any other one
/// may be lost without harm.
void replace_lost_voter(ScenarioRun& run) {
  run.run_for(seconds(2));
  const std::string lost = random_voter(run);
  run.vanish(lost);
  run.world().disk(lost).wipe();
  run.keep_down(lost);
  run.run_for(run.random_between(seconds(1), seconds(3)));
  const auto zone = run.fleet().deployment().zones.front();
  const auto member = start_standby(run, kStandby, "10.0.0.30", zone);
  const auto replaced = replace_member(run, lost, member);
  run.world().run_until([&] { return *replaced; }, kReplaceLimit);
  run.expect(*replaced, "the lost voter was not replaced");
  run.vanish(another_voter(run, lost));
  const std::size_t place = make_change(run, "after-the-repair");
  run.run_for(seconds(8));
  run.expect(is_accepted(run, place),
             "no change is accepted with the replacement and one other voter" + last_failure(run, place));
}

/// A voter loses its disk and its process starts again under the old name and address.
void wipe_voter(ScenarioRun& run) {
  run.run_for(seconds(2));
  const std::string voter = random_voter(run);
  make_change(run, "before");
  run.run_for(run.random_between(milliseconds(0), seconds(1)));
  run.vanish(voter);
  run.world().disk(voter).wipe();
  run.run_for(run.random_between(milliseconds(100), seconds(2)));
  run.restart(voter);
  run.run_for(run.random_between(milliseconds(0), seconds(2)));
  // With the wiped one's votes counted, the other two would not be needed to agree.
  const std::string other = another_voter(run, voter);
  cut_from_control_nodes(run, other);
  make_change(run, "while-another-is-cut-off");
  run.run_for(run.random_between(seconds(2), seconds(6)));
  run.world().heal();
  run.run_for(seconds(6));
  const std::size_t place = make_change(run, "after");
  run.run_for(seconds(3));
  run.expect(is_accepted(run, place), "no change is accepted after the heal");
}

}  // namespace

std::vector<Scenario> control_scenarios() {
  return {
      {"voter-cut-off-in-silence", "a voter is cut off for ten minutes; proxies still reach it", seconds(615),
       light_load, silence_voter},
      {"control-leaders-killed", "each leader is killed in turn", seconds(40), nullptr, kill_leaders},
      {"voters-lose-power", "all control nodes lose their power at once, twice", seconds(65), nullptr,
       lose_power},
      {"voter-replaced", "a voter's machine is lost for good and replaced; then another is lost", seconds(60),
       nullptr, replace_lost_voter},
      {"voter-replaced-second-lost", "a second machine is lost before a replacement has settled", seconds(65),
       nullptr, lose_disk_then_another},
      {"voter-wiped", "a voter comes back with an empty disk under its old address", seconds(50), nullptr,
       wipe_voter},
  };
}

}  // namespace cairnhollow::simulation
