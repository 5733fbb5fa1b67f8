// One run of a Raft group under random faults determined by a seed: clients propose and request read barriers
// while servers are killed, frozen and wiped, disks are slow, links are cut, messages are lost and members
// change.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "tests/consensus/cluster.h"

namespace cairnhollow::consensus {

struct RandomFaultSettings {
  std::uint64_t seed = 1;
  Duration duration = std::chrono::seconds(8);  ///< of the fault phase, in simulated time
  bool print_log = false;
};

class RandomFaultRun {
 public:
  explicit RandomFaultRun(RandomFaultSettings settings);

  /// Runs the faults, recovery and final checks. Returns the violations; empty if there are none.
  std::vector<std::string> run();

  Cluster& cluster() { return cluster_; }
  [[nodiscard]] std::size_t faults() const { return faults_; }
  [[nodiscard]] std::size_t changes() const { return changes_done_; }

 private:
  struct Proposal {
    std::string command;
    std::shared_ptr<CallResult> result;
  };
  struct Barrier {
    std::string name;
    std::uint64_t minimum = 0;
    std::shared_ptr<CallResult> result;
  };

  void step();
  void observe();
  void begin_calls();
  void begin_fault();
  void begin_change();

  void kill_one();
  void kill_all();
  void restart_one();
  void freeze_one();
  void thaw_all();
  void cut_zones();
  void cut_machines();
  void heal();
  void slow_one();
  void wipe_one();

  bool chance(double share) { return world().random().unit() < share; }
  std::string pick(const std::vector<std::string>& names);
  std::vector<std::string> names_where(const std::function<bool(const std::string&)>& holds);
  [[nodiscard]] std::string believed_leader();
  void check_liveness();
  void repair();
  simulation::World& world() { return cluster_.world(); }

  RandomFaultSettings settings_;
  Cluster cluster_;
  std::vector<Proposal> proposals_;
  std::vector<Barrier> barriers_;
  std::shared_ptr<CallResult> change_;
  std::vector<std::string> frozen_;
  std::string wiped_;  ///< the voter whose disk was lost and has not been replaced yet
  std::size_t next_command_ = 0;
  std::size_t faults_ = 0;
  std::size_t changes_done_ = 0;
  std::vector<std::string> failures_;
};

}  // namespace cairnhollow::consensus
