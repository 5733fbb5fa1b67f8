#include "simulation/scenarios/random_faults.h"

#include <fmt/format.h>

#include <algorithm>

namespace cairnhollow::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kShortestFault = milliseconds(100);
constexpr Duration kLongestFault = seconds(6);
constexpr std::size_t kMostFaultsAtOnce = 3;
constexpr Duration kSlowestSync = milliseconds(150);
constexpr Duration kSwitchoverLimit = seconds(10);

Awaitable<void> switch_over_to_any(cli::OperatorClient& client, runtime::Runtime& runtime, GroupName group) {
  Reason reason;
  declared::control::SwitchoverRequest request;
  request.group = std::move(group);
  const TimePoint deadline = runtime.now() + kSwitchoverLimit;
  co_await client.switchover(std::move(request), deadline, reason);
}

template <class Settings>
std::vector<std::string> names_of(const std::vector<Settings>& settings) {
  std::vector<std::string> names;
  names.reserve(settings.size());
  for (const auto& each : settings) names.push_back(each.node.value);
  return names;
}

}  // namespace

void RandomFaults::begin() {
  if (active_.size() >= kMostFaultsAtOnce) return;
  using Kind = void (RandomFaults::*)();
  constexpr Kind kKinds[] = {
      &RandomFaults::end_process_or_primary,
      &RandomFaults::end_process_or_primary,
      &RandomFaults::end_process_or_primary,
      &RandomFaults::end_all_of_one_role,
      &RandomFaults::freeze_process,
      &RandomFaults::freeze_process,
      &RandomFaults::stop_proxy,
      &RandomFaults::cut_pair,
      &RandomFaults::cut_pair,
      &RandomFaults::cut_zone,
      &RandomFaults::cut_proxy_from_control,
      &RandomFaults::lose_messages,
      &RandomFaults::spoil_backend,
      &RandomFaults::spoil_backend,
      &RandomFaults::slow_disk,
      &RandomFaults::wipe_voter,
      &RandomFaults::drain_backend,
      &RandomFaults::switch_over,
      &RandomFaults::mislead_platform,
  };
  (this->*kKinds[random().below(std::size(kKinds))])();
}

void RandomFaults::end_due() {
  for (auto fault = active_.begin(); fault != active_.end();) {
    if (fault->ends > run_.world().now()) {
      ++fault;
      continue;
    }
    const Action undo = std::move(fault->undo);
    fault = active_.erase(fault);
    undo();
  }
}

void RandomFaults::end_all() {
  for (ActiveFault& fault : active_) fault.ends = TimePoint{};
  end_due();
}

void RandomFaults::keep(Action undo, std::function<void()> cut) {
  ActiveFault fault;
  fault.ends = run_.world().now() + run_.random_between(kShortestFault, kLongestFault);
  fault.undo = std::move(undo);
  fault.cut = std::move(cut);
  active_.push_back(std::move(fault));
}

std::string RandomFaults::random_database() {
  const auto& databases = run_.fleet().deployment().databases;
  return databases.at(random().below(databases.size())).backend.value;
}

std::string RandomFaults::random_process() {
  switch (random().below(3)) {
    case 0:
      return run_.random_proxy();
    case 1:
      return run_.random_control_node();
    default:
      return random_database();
  }
}

void RandomFaults::start_again(const std::string& process) {
  if (!run_.world().alive(process)) run_.restart(process);
}

void RandomFaults::end_process_or_primary() {
  const bool primary = random().below(2) == 0;
  end_process(primary ? run_.fleet().primary_of(run_.random_group()).value : random_process());
}

void RandomFaults::end_process(const std::string& process) {
  if (!run_.world().running(process)) return;
  if (random().below(2) == 0)
    run_.kill(process);
  else
    run_.vanish(process);
  keep([this, process] { start_again(process); });
}

void RandomFaults::end_all_of(const std::vector<std::string>& processes) {
  for (const std::string& process : processes) {
    if (run_.world().running(process)) run_.vanish(process);
  }
  keep([this, processes] {
    for (const std::string& process : processes) start_again(process);
  });
}

void RandomFaults::end_all_of_one_role() {
  const Deployment& deployment = run_.fleet().deployment();
  const bool proxies = random().below(2) == 0;
  end_all_of(proxies ? names_of(deployment.proxies) : names_of(deployment.control_nodes));
}

void RandomFaults::freeze_process() {
  const std::string process = random_process();
  if (!run_.world().running(process)) return;
  run_.freeze(process);
  keep([this, process] { run_.thaw(process); });
}

/// As planned; a stop that has not ended by then is cut short.
void RandomFaults::stop_proxy() {
  const std::string proxy = run_.random_proxy();
  if (!run_.world().running(proxy)) return;
  run_.drain_process(proxy);
  keep([this, proxy] {
    if (run_.world().running(proxy)) run_.kill(proxy);
    start_again(proxy);
  });
}

void RandomFaults::cut_pair() {
  const std::string one = random_process();
  const std::string other = random_process();
  if (one == other) return;
  const bool one_way = random().below(3) == 0;
  const auto cut = [this, one, other, one_way] {
    if (!one_way) return run_.fleet().cut_between(one, other);
    run_.world().network().faults().cut_machines(run_.fleet().address_of(one),
                                                 run_.fleet().address_of(other));
  };
  cut();
  keep([this] { apply_cuts_again(); }, cut);
}

void RandomFaults::cut_zone() {
  const auto& zones = run_.fleet().deployment().zones;
  const ZoneName zone = zones.at(random().below(zones.size()));
  const std::uint64_t way = random().below(3);
  const auto cut = [this, zone, way] { run_.fleet().cut_zone(zone, way != 0, way != 1); };
  cut();
  keep([this] { apply_cuts_again(); }, cut);
}

/// Callers and databases still reach the proxy.
void RandomFaults::cut_proxy_from_control() {
  const std::string proxy = run_.random_proxy();
  const auto cut = [this, proxy] {
    for (const auto& settings : run_.fleet().deployment().control_nodes) {
      run_.fleet().cut_between(proxy, settings.node.value);
    }
  };
  cut();
  keep([this] { apply_cuts_again(); }, cut);
}

/// One cut is over: heals all and applies the others again.
void RandomFaults::apply_cuts_again() {
  run_.world().heal();
  for (const ActiveFault& fault : active_) {
    if (fault.cut) fault.cut();
  }
}

void RandomFaults::lose_messages() {
  run_.world().network().faults().set_loss(0.01 * static_cast<double>(1 + random().below(10)));
  keep([this] { run_.world().network().faults().set_loss(0); });
}

void RandomFaults::spoil_backend() {
  const BackendName backend(random_database());
  const char* const faults[] = {R"({"replication_lag_ms":3000})", R"({"disk_delay_ms":200})",
                                R"({"delayed_answers":0.05,"answer_delay_ms":1500})",
                                R"({"crossed_answers":0.05,"duplicated_answers":0.05,"short_bodies":0.05})"};
  run_.fleet().set_database_faults(backend, faults[random().below(std::size(faults))]);
  keep([this, backend] {
    run_.fleet().set_database_faults(backend,
                                     R"({"replication_lag_ms":0,"disk_delay_ms":0,"delayed_answers":0,)"
                                     R"("crossed_answers":0,"duplicated_answers":0,"short_bodies":0})");
  });
}

void RandomFaults::slow_disk() {
  VirtualDisk& disk = run_.world().disk(run_.random_control_node());
  const Duration usual = VirtualDisk{}.sync_delay;
  disk.sync_delay = run_.random_between(usual, kSlowestSync);
  keep([&disk, usual] { disk.sync_delay = usual; });
}

void RandomFaults::wipe_voter() {
  const std::string voter = run_.random_control_node();
  if (wiped_ || !run_.world().running(voter)) return;
  wiped_ = true;
  run_.vanish(voter);
  run_.world().disk(voter).wipe();
  keep([this, voter] { start_again(voter); });
}

void RandomFaults::drain_backend() {
  const std::string backend = random_database();
  run_.fleet().declare_drain(declared::config::ObjectKind::kBackend, backend, true);
  keep([this, backend] {
    run_.fleet().declare_drain(declared::config::ObjectKind::kBackend, backend, false);
  });
}

void RandomFaults::switch_over() {
  const GroupName group = run_.random_group();
  run_.fleet().operator_b().run([group](cli::OperatorClient& client, runtime::Runtime& runtime) {
    return switch_over_to_any(client, runtime, group);
  });
}

/// The list stands still, or shows a living machine as gone.
void RandomFaults::mislead_platform() {
  if (random().below(2) == 0) {
    run_.fleet().freeze_platform_list(true);
    keep([this] { run_.fleet().freeze_platform_list(false); });
    return;
  }
  const std::string machine = random_database();
  run_.fleet().set_platform_state(machine, "gone");
  keep([this, machine] { run_.fleet().set_platform_state(machine, "live"); });
}

}  // namespace cairnhollow::simulation
