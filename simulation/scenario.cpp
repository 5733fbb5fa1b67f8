#include "simulation/scenario.h"

#include <algorithm>

namespace cairnhollow::simulation {

namespace {

constexpr Duration kDeclareLimit = std::chrono::seconds(20);

template <class Item>
const Item& pick(const std::vector<Item>& items, runtime::Random& random) {
  return items.at(random.below(items.size()));
}

}  // namespace

GroupName ScenarioRun::random_group() { return pick(fleet_.deployment().groups(), world().random()); }

std::string ScenarioRun::random_proxy() {
  return pick(fleet_.deployment().proxies, world().random()).node.value;
}

std::string ScenarioRun::random_control_node() {
  return pick(fleet_.deployment().control_nodes, world().random()).node.value;
}

BackendName ScenarioRun::random_replica(const GroupName& group) {
  std::vector<BackendName> members = fleet_.deployment().members_of(group);
  std::erase(members, fleet_.primary_of(group));
  return pick(members, world().random());
}

void ScenarioRun::freeze(const std::string& process) {
  world().freeze(process);
  frozen_.insert(process);
}

void ScenarioRun::thaw(const std::string& process) {
  if (frozen_.erase(process) > 0) world().thaw(process);
}

void ScenarioRun::restart(const std::string& process) { world().restart(process); }

void ScenarioRun::drain_process(const std::string& process) { world().drain(process, nullptr); }

void ScenarioRun::declare_leaving(const BackendName& backend) {
  const std::size_t place = fleet_.declare_drain(declared::config::ObjectKind::kBackend, backend.value, true);
  const ChangeHistory& changes = fleet_.changes();
  world().run_until([&] { return !changes.changes[place].answers.empty(); }, kDeclareLimit);
  const ChangeRecord& change = changes.changes[place];
  const bool accepted = !change.answers.empty() && change.answers.front().accepted;
  expect(accepted, "the change that drains " + backend.value + " was not accepted");
  if (accepted) leaving_.push_back({backend, change.answered});
}

void ScenarioRun::expect(bool holds, const std::string& what) {
  if (!holds) violations_.push_back({"scenario", "", "", what});
}

void ScenarioRun::undo_faults() {
  world().heal();
  world().network().faults().set_loss(0);
  for (const std::string& process : std::set<std::string>(frozen_)) thaw(process);
  for (const std::string& process : fleet_.process_names()) {
    if (kept_down_.contains(process) || world().alive(process)) continue;
    restart(process);
  }
  mark_healed();
}

const std::vector<Scenario>& all_scenarios() {
  static const std::vector<Scenario> scenarios = [] {
    std::vector<Scenario> all;
    for (const auto& part :
         {primary_scenarios(), proxy_scenarios(), control_scenarios(), configuration_scenarios(),
          leaving_scenarios(), lease_scenarios(), environment_scenarios(), overload_scenarios(),
          subset_scenarios(), domain_scenarios()}) {
      all.insert(all.end(), part.begin(), part.end());
    }
    return all;
  }();
  return scenarios;
}

const Scenario* find_scenario(const std::string& name) {
  if (name == explore_scenario().name) return &explore_scenario();
  if (name == regions_cut_in_one_domain().name) return &regions_cut_in_one_domain();
  const auto& scenarios = all_scenarios();
  const auto found = std::find_if(scenarios.begin(), scenarios.end(),
                                  [&](const Scenario& scenario) { return scenario.name == name; });
  return found == scenarios.end() ? nullptr : &*found;
}

}  // namespace cairnhollow::simulation
