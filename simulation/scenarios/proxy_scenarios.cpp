// Failures of proxies: killed at random, between a transaction's statements, and around its commit.
#include <algorithm>

#include "declared/backend/contract_codec.h"
#include "simulation/scenario.h"

namespace cairnhollow::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTriggerLimit = seconds(5);
/// A message's longest way to a database, and a commit's usual time from sending to answer.
constexpr Duration kWayToDatabase = milliseconds(2);
constexpr Duration kCommitTime = milliseconds(12);

/// When a proxy is killed: `delay` after a process whose name begins with `sender` has sent a request of that
/// target, to a proxy or from one.
struct Trigger {
  std::string sender;
  std::string target_end;
  Duration delay{0};
};

bool is_proxy(ScenarioRun& run, const std::string& process) {
  const auto& proxies = run.fleet().deployment().proxies;
  return std::any_of(proxies.begin(), proxies.end(),
                     [&](const auto& settings) { return settings.node.value == process; });
}

/// Kills the proxy that the trigger hits, and restarts it some time later.
void kill_proxy_on_request(ScenarioRun& run, const Trigger& trigger) {
  std::string victim;
  World& world = run.world();
  world.network().observe_requests(
      [&](const std::string& sender, const std::string& receiver, const runtime::HttpRequest& request) {
        if (!victim.empty() || !sender.starts_with(trigger.sender)) return;
        if (!request.target.ends_with(trigger.target_end)) return;
        const std::string& proxy = is_proxy(run, sender) ? sender : receiver;
        if (!is_proxy(run, proxy)) return;
        victim = proxy;
        world.scheduler().schedule_after(trigger.delay, [&world, proxy] { world.kill(proxy); });
      });
  const bool sent = world.run_until([&] { return !victim.empty(); }, kTriggerLimit);
  world.network().observe_requests(nullptr);
  run.expect(sent, "no request to " + trigger.target_end + " was sent");
  if (!sent) return;
  run.run_for(run.random_between(milliseconds(50), seconds(2)));
  run.restart(victim);
  run.run_for(seconds(1));
}

void kill_proxies_between_statements(ScenarioRun& run) {
  run.run_for(seconds(2));
  for (int round = 0; round < 3; ++round) {
    const Duration delay = run.random_between(Duration(0), kCommitTime);
    kill_proxy_on_request(run, {"proxy-", declared::backend::target::kExecuteIn, delay});
  }
}

void kill_proxies_at_commit(ScenarioRun& run) {
  run.run_for(seconds(2));
  for (int round = 0; round < 3; ++round) {
    switch (run.world().random().below(3)) {
      case 0:  // before: the caller's commit has not reached the proxy yet
        kill_proxy_on_request(run, {"callers", "/commit", Duration(0)});
        break;
      case 1:  // the proxy's commit is on its way to the database
        kill_proxy_on_request(run, {"proxy-", declared::backend::target::kCommit, Duration(0)});
        break;
      default:  // after: the database took it; its answer is on its way or has just come
        kill_proxy_on_request(run, {"proxy-", declared::backend::target::kCommit,
                                    run.random_between(kWayToDatabase, kCommitTime)});
    }
  }
}

void kill_proxies(ScenarioRun& run) {
  run.run_for(seconds(2));
  for (int round = 0; round < 4; ++round) {
    const std::string proxy = run.random_proxy();
    run.vanish(proxy);
    run.run_for(run.random_between(milliseconds(100), seconds(2)));
    run.restart(proxy);
    run.run_for(run.random_between(milliseconds(100), seconds(2)));
  }
}

void freeze_proxies(ScenarioRun& run) {
  run.run_for(seconds(2));
  for (int round = 0; round < 3; ++round) {
    const std::string proxy = run.random_proxy();
    run.freeze(proxy);
    run.run_for(run.random_between(milliseconds(100), seconds(4)));
    run.thaw(proxy);
    run.run_for(run.random_between(milliseconds(100), seconds(2)));
  }
}

}  // namespace

std::vector<Scenario> proxy_scenarios() {
  return {
      {"proxy-killed-in-transaction", "proxies are killed between a transaction's statements", seconds(30),
       nullptr, kill_proxies_between_statements},
      {"proxy-killed-at-commit", "proxies are killed before and after a database took their commit",
       seconds(30), nullptr, kill_proxies_at_commit},
      {"proxies-vanish", "proxies' machines vanish and come back", seconds(35), nullptr, kill_proxies},
      {"proxies-frozen", "proxies are frozen, some for longer than their lease", seconds(40), nullptr,
       freeze_proxies},
  };
}

}  // namespace cairnhollow::simulation
