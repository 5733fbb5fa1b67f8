// A scenario: one kind of failure brought about on a fleet under load, at times that the seed decides.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "simulation/evidence.h"
#include "simulation/fleet.h"

namespace cairnhollow::simulation {

/// What a scenario's script acts on. Keeps what must be undone afterwards and what the checkers need to know.
class ScenarioRun {
 public:
  explicit ScenarioRun(Fleet& fleet) : fleet_(fleet) {}

  Fleet& fleet() { return fleet_; }
  World& world() { return fleet_.world(); }
  void run_for(Duration duration) { world().run_for(duration); }
  /// Uniform in [low, high).
  Duration random_between(Duration low, Duration high) { return world().random().between(low, high); }
  GroupName random_group();
  std::string random_proxy();
  std::string random_control_node();
  /// A member of the group that is not its primary.
  BackendName random_replica(const GroupName& group);

  void kill(const std::string& process) { world().kill(process); }
  /// As kill(); peers hear nothing of it.
  void vanish(const std::string& process) { world().vanish(process); }
  void freeze(const std::string& process);
  void thaw(const std::string& process);
  void restart(const std::string& process);
  /// Runs the process's planned stop; it ends by itself.
  void drain_process(const std::string& process);
  /// A dead process that undo_faults() leaves dead.
  void keep_down(const std::string& process) { kept_down_.insert(process); }

  /// Declares that a backend leaves, waits for the acceptance and notes it for the checkers.
  void declare_leaving(const BackendName& backend);
  /// The scenario did not bring about what it is for, or what it shows did not hold.
  void expect(bool holds, const std::string& what);

  /// Callers offered more than the deployment can run in that time.
  void mark_overload(const OverloadWindow& window) { overload_ = window; }
  [[nodiscard]] const std::optional<OverloadWindow>& overload() const { return overload_; }

  /// Heals the network, thaws the frozen, restarts the dead.
  void undo_faults();
  [[nodiscard]] TimePoint healed_at() const { return healed_at_; }
  /// The last fault is over: undo_faults() has nothing left that delays recovery.
  void mark_healed() { healed_at_ = world().now(); }
  [[nodiscard]] const std::vector<LeavingBackend>& leaving() const { return leaving_; }
  [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }

 private:
  Fleet& fleet_;
  std::set<std::string> frozen_;
  std::set<std::string> kept_down_;
  std::vector<LeavingBackend> leaving_;
  std::vector<Violation> violations_;
  TimePoint healed_at_{};
  std::optional<OverloadWindow> overload_;
};

struct Scenario {
  std::string name;
  std::string summary;
  Duration load_duration = std::chrono::seconds(25);  ///< how long callers offer operations
  void (*prepare)(FleetSettings&) = nullptr;          ///< may be null
  void (*script)(ScenarioRun&) = nullptr;             ///< ends well before the load does
  bool planned_stops_only = false;
};

/// All scenarios, in the order in which docs/PROOF.md lists them.
const std::vector<Scenario>& all_scenarios();
/// Null when there is none of that name.
const Scenario* find_scenario(const std::string& name);

/// Random faults composed by the seed; found by its name, and not part of all_scenarios().
const Scenario& explore_scenario();

/// regions-cut with one domain over both regions: it must be found at fault. Found by its name only.
const Scenario& regions_cut_in_one_domain();

// The scenarios of each file in scenarios/.
std::vector<Scenario> primary_scenarios();
std::vector<Scenario> proxy_scenarios();
std::vector<Scenario> control_scenarios();
std::vector<Scenario> configuration_scenarios();
std::vector<Scenario> leaving_scenarios();
std::vector<Scenario> lease_scenarios();
std::vector<Scenario> environment_scenarios();
std::vector<Scenario> overload_scenarios();
std::vector<Scenario> subset_scenarios();
std::vector<Scenario> domain_scenarios();

}  // namespace cairnhollow::simulation
