// A whole deployment in one World: starts every process, declares the objects as an operator would, runs
// callers, and lets a scenario break things by their role.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "simulation/caller_role.h"
#include "simulation/change_history.h"
#include "simulation/deployment.h"
#include "simulation/evidence.h"
#include "simulation/observer_role.h"
#include "simulation/operator_role.h"
#include "simulation/world.h"

namespace cairnhollow::simulation {

struct FleetSettings {
  standins::callers::Profile profile = standins::callers::Profile::kStudyCard;
  std::uint64_t seed = 1;
  bool print_log = false;
  double operations_per_second = 60;
  std::uint32_t sessions = 24;
  standins::callers::CallerSettings caller;  ///< its proxies are set by the fleet
  /// Changes the deployment before it starts.
  std::function<void(Deployment&)> adjust;
  /// Clock offset and drift of a process, by the world's random numbers.
  std::function<void(ProcessSettings&, runtime::Random&)> adjust_process;
};

class Fleet {
 public:
  explicit Fleet(FleetSettings settings);

  /// Starts every process and declares the objects; returns once every proxy serves. False when it does not
  /// come to that in time.
  bool start(Reason& reason);
  /// Starts callers, who offer operations for `duration`.
  void start_callers(Duration duration);
  /// Starts more callers, as a process of that name; their operations join the history. `load.caller.proxies`
  /// is set here, and so is the run's name.
  void start_crowd(const std::string& name, standins::callers::LoadSettings load);
  /// Runs until the callers have finished and the final records are read. False when that takes too long.
  bool settle(Reason& reason);

  World& world() { return world_; }
  [[nodiscard]] const Deployment& deployment() const { return deployment_; }
  CallerRole& callers() { return *callers_; }
  /// Of all callers, by the time at which each attempt began.
  [[nodiscard]] standins::callers::History history() const;
  [[nodiscard]] const ObserverRole& observer() const { return *observer_; }
  /// Two operators, who may race; before two domains each has its own.
  OperatorRole& operator_a() { return *operators_.at(0); }
  OperatorRole& operator_b() { return *operators_.at(1); }
  ChangeHistory& changes() { return changes_; }
  /// What proxies sent to databases, in the order of time.
  [[nodiscard]] const std::vector<SentWork>& work() const { return work_; }

  /// Starts one more process on a machine of its own.
  void start_process(const std::string& name, const std::string& address, const ZoneName& zone,
                     const World::RoleFactory& factory);

  /// The address of the machine of that process.
  [[nodiscard]] const std::string& address_of(const std::string& process) const;
  /// Cuts both ways between two processes.
  void cut_between(const std::string& one, const std::string& other);
  /// Cuts one process from all others but those of `kept`; the observer always stays.
  void cut_off(const std::string& process, const std::vector<std::string>& kept);
  /// Cuts a zone from every other deployment zone, one way or both; callers and observer stay.
  void cut_zone(const ZoneName& zone, bool outgoing, bool incoming);
  /// Sets faults and delays of a database through its own control call; `body` as in POST /admin/faults.
  void set_database_faults(const BackendName& backend, const std::string& body);
  /// Tells the platform's list: "live", "leaving" or "gone".
  void set_platform_state(const std::string& machine, const std::string& state);
  void freeze_platform_list(bool frozen);
  /// Declares `drain` of a proxy or backend as an operator would.
  std::size_t declare_drain(declared::config::ObjectKind kind, const std::string& name, bool drain);
  /// The object as deployed, for a change based on any version.
  [[nodiscard]] declared::config::Object object(declared::config::ObjectKind kind,
                                                const std::string& name) const;

  /// The primary by the observer's latest knowledge.
  [[nodiscard]] BackendName primary_of(const GroupName& group) const { return observer_->primary_of(group); }
  /// Runs until another backend than `old_primary` is primary of the group.
  bool wait_for_new_primary(const GroupName& group, const BackendName& old_primary, Duration limit);
  /// The control node that leads; empty when none says so.
  std::string control_leader();
  [[nodiscard]] std::vector<std::string> process_names() const;

 private:
  ProcessSettings process_settings(const std::string& name, const std::string& address, const ZoneName& zone);
  void record_work(const std::string& sender, const std::string& receiver, const std::string& target);
  void start_deployment();
  void start_clients();
  bool settle(CallerRole& callers, Reason& reason);
  bool declare_objects(Reason& reason);
  bool declare(OperatorRole& by, const std::vector<declared::config::Object>& objects, Reason& reason);
  [[nodiscard]] bool every_proxy_serves() const;
  void post(const Endpoint& endpoint, const std::string& target, const std::string& body);

  FleetSettings settings_;
  Deployment deployment_;
  ChangeHistory changes_;
  std::vector<SentWork> work_;
  World world_;
  std::map<std::string, std::string> addresses_;  ///< by process
  CallerRole* callers_ = nullptr;
  std::vector<CallerRole*> crowds_;
  ObserverRole* observer_ = nullptr;
  std::vector<OperatorRole*> operators_;
};

}  // namespace cairnhollow::simulation
