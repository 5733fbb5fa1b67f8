// Groups that only two proxies serve, because their backends have few connections: most requests are
// forwarded to one of these, while proxies are killed, frozen, cut off and stopped.
#include <fmt/format.h>

#include "simulation/scenario.h"

namespace cairnhollow::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Leaves two proxies a group with three connections each.
constexpr std::uint32_t kConnections = 7;
constexpr std::uint32_t kRounds = 4;
constexpr Duration kDrainTime = seconds(4);

/// A second proxy in each zone, and few connections.
void make_subsets_small(Deployment& deployment) {
  const auto first_ones = deployment.proxies;
  for (const auto& first : first_ones) {
    auto second = first;
    second.node = NodeName(first.node.value + "b");
    second.caller_endpoint.address += "1";  // 10.0.Z.20 and 10.0.Z.201
    const declared::config::ProxySpec spec{second.zone, second.caller_endpoint, false};
    deployment.objects.push_back({second.node.value, LabelSet{}, spec});
    deployment.proxies.push_back(second);
  }
  for (auto& database : deployment.databases) database.connections = kConnections;
  for (auto& object : deployment.objects) {
    auto* group = std::get_if<declared::config::DatabaseGroupSpec>(&object.spec);
    if (group != nullptr) group->connections_per_backend = kConnections;
  }
}

void prepare(FleetSettings& settings) { settings.adjust = make_subsets_small; }

bool is_proxy(ScenarioRun& run, const std::string& process) {
  for (const auto& settings : run.fleet().deployment().proxies) {
    if (settings.node.value == process) return true;
  }
  return false;
}

/// Counts the requests that cross a hop for as long as it lives, and expects some at its end.
class HopWatch {
 public:
  explicit HopWatch(ScenarioRun& run) : run_(run) {
    run_.world().network().observe_requests(
        [this](const std::string& sender, const std::string& receiver, const runtime::HttpRequest& request) {
          if (!is_proxy(run_, sender) || !is_proxy(run_, receiver)) return;
          ++hops_;
          if (on_hop_) on_hop_(sender, receiver, request);
        });
  }
  ~HopWatch() {
    run_.world().network().observe_requests(nullptr);
    run_.expect(hops_ > 0, "no request crossed a hop");
  }
  HopWatch(const HopWatch&) = delete;
  HopWatch& operator=(const HopWatch&) = delete;

  /// Calls `then` with both proxies of the next hop whose target ends so; false when none comes in time.
  bool on_next(const std::string& target_end,
               const std::function<void(const std::string&, const std::string&)>& then) {
    bool seen = false;
    on_hop_ = [&](const std::string& sender, const std::string& receiver,
                  const runtime::HttpRequest& request) {
      if (seen || !request.target.ends_with(target_end)) return;
      seen = true;
      then(sender, receiver);
    };
    const bool came = run_.world().run_until([&] { return seen; }, seconds(5));
    on_hop_ = nullptr;
    run_.expect(came, "no hop of a request to " + target_end);
    return came;
  }

 private:
  ScenarioRun& run_;
  std::uint64_t hops_ = 0;
  std::function<void(const std::string&, const std::string&, const runtime::HttpRequest&)> on_hop_;
};

/// Kills the far proxy, or the forwarder, around the time that a hop takes.
void kill_at_hop(ScenarioRun& run, HopWatch& watch, const std::string& target_end) {
  std::string victim;
  const bool far = run.world().random().below(4) != 0;
  const Duration delay = run.random_between(Duration(0), milliseconds(15));
  World& world = run.world();
  const bool hit = watch.on_next(target_end, [&](const std::string& sender, const std::string& receiver) {
    victim = far ? receiver : sender;
    world.scheduler().schedule_after(delay, [&world, victim] { world.kill(victim); });
  });
  if (!hit) return;
  run.run_for(run.random_between(milliseconds(50), seconds(2)));
  run.restart(victim);
  run.run_for(run.random_between(milliseconds(100), seconds(1)));
}

void kill_while_forwarding(ScenarioRun& run) {
  HopWatch watch(run);
  run.run_for(seconds(2));
  for (std::uint32_t round = 0; round < kRounds; ++round) kill_at_hop(run, watch, "/v1/statements");
}

void kill_in_forwarded_transaction(ScenarioRun& run) {
  HopWatch watch(run);
  run.run_for(seconds(2));
  for (std::uint32_t round = 0; round < kRounds; ++round) {
    kill_at_hop(run, watch, run.world().random().below(2) == 0 ? "/commit" : "/statements");
  }
}

void freeze_while_forwarding(ScenarioRun& run) {
  HopWatch watch(run);
  run.run_for(seconds(2));
  for (std::uint32_t round = 0; round < kRounds; ++round) {
    std::string victim;
    watch.on_next("", [&](const std::string&, const std::string& receiver) {
      victim = receiver;
      run.freeze(victim);
    });
    run.run_for(run.random_between(milliseconds(100), seconds(4)));
    if (!victim.empty()) run.thaw(victim);
    run.run_for(run.random_between(milliseconds(100), seconds(2)));
  }
}

void cut_while_forwarding(ScenarioRun& run) {
  HopWatch watch(run);
  run.run_for(seconds(2));
  for (std::uint32_t round = 0; round < kRounds; ++round) {
    watch.on_next("", [&](const std::string& sender, const std::string& receiver) {
      run.fleet().cut_between(sender, receiver);
    });
    run.run_for(run.random_between(milliseconds(100), seconds(4)));
    run.world().heal();
    run.run_for(run.random_between(milliseconds(100), seconds(2)));
  }
}

void stop_while_forwarding(ScenarioRun& run) {
  HopWatch watch(run);
  run.run_for(seconds(2));
  for (std::uint32_t round = 0; round < kRounds; ++round) {
    std::string victim;
    const bool hit =
        watch.on_next("", [&](const std::string&, const std::string& receiver) { victim = receiver; });
    if (!hit) return;
    run.drain_process(victim);
    const bool ended = run.world().run_until([&] { return !run.world().alive(victim); }, seconds(20));
    run.expect(ended, "the stopped proxy " + victim + " did not end");
    run.run_for(run.random_between(Duration(0), kDrainTime));
    run.restart(victim);
    run.run_for(seconds(2));
  }
}

void change_membership_while_forwarding(ScenarioRun& run) {
  HopWatch watch(run);
  run.run_for(seconds(2));
  for (std::uint32_t round = 0; round < kRounds; ++round) {
    const std::string proxy = run.random_proxy();
    run.fleet().declare_drain(declared::config::ObjectKind::kProxy, proxy, true);
    run.run_for(run.random_between(milliseconds(100), seconds(3)));
    run.fleet().declare_drain(declared::config::ObjectKind::kProxy, proxy, false);
    run.run_for(run.random_between(milliseconds(100), seconds(3)));
  }
}

}  // namespace

std::vector<Scenario> subset_scenarios() {
  return {
      {"hop-killed", "proxies are killed while a statement crosses the hop between them", seconds(35),
       prepare, kill_while_forwarding},
      {"hop-killed-in-transaction", "proxies are killed while a transaction crosses the hop between them",
       seconds(35), prepare, kill_in_forwarded_transaction},
      {"hop-frozen", "proxies are frozen that others forward to", seconds(40), prepare,
       freeze_while_forwarding},
      {"hop-cut", "proxies are cut from those that forward to them", seconds(40), prepare,
       cut_while_forwarding},
      {"hop-stopped", "proxies are stopped in a planned way that others forward to", seconds(60), prepare,
       stop_while_forwarding, true},
      {"hop-membership", "proxies are declared to drain and back, which moves groups between proxies",
       seconds(40), prepare, change_membership_while_forwarding},
  };
}

}  // namespace cairnhollow::simulation
