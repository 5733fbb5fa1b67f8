// Faults chosen by a run's random numbers, several at once and the same one twice.
#pragma once

#include <functional>
#include <list>
#include <string>

#include "simulation/scenario.h"

namespace cairnhollow::simulation {

/// Begins faults on a running fleet and ends each after a random time. At most kMostFaultsAtOnce are under
/// way.
class RandomFaults {
 public:
  explicit RandomFaults(ScenarioRun& run) : run_(run) {}

  /// Begins one of the kinds below; nothing when enough are under way or the chosen one has no target now.
  void begin();
  /// Ends those whose time is over.
  void end_due();
  /// Ends all.
  void end_all();

 private:
  /// A fault that is under way.
  struct ActiveFault {
    TimePoint ends{};
    Action undo;
    std::function<void()> cut;  ///< of network cuts: applies them again
  };

  void end_process_or_primary();
  void end_process(const std::string& process);
  void end_all_of(const std::vector<std::string>& processes);
  void end_all_of_one_role();
  void freeze_process();
  void stop_proxy();
  void cut_pair();
  void cut_zone();
  void cut_proxy_from_control();
  void lose_messages();
  void spoil_backend();
  void slow_disk();
  void wipe_voter();
  void drain_backend();
  void switch_over();
  void mislead_platform();

  void keep(Action undo, std::function<void()> cut = nullptr);
  void start_again(const std::string& process);
  void apply_cuts_again();
  [[nodiscard]] std::string random_process();
  [[nodiscard]] std::string random_database();
  runtime::Random& random() { return run_.world().random(); }

  ScenarioRun& run_;
  std::list<ActiveFault> active_;
  bool wiped_ = false;  ///< one voter's disk may be lost in a run: a quorum of disks stays
};

}  // namespace cairnhollow::simulation
