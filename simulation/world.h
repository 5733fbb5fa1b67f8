// One simulated deployment: processes on machines with disks, a network, one virtual clock. Runs on one
// thread; worlds on different threads share nothing. A world's seed decides its whole course.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runtime/role.h"
#include "simulation/virtual_runtime.h"

namespace cairnhollow::simulation {

struct WorldSettings {
  std::uint64_t seed = 1;
  LatencySettings latency;
  Duration sync_delay = std::chrono::milliseconds(2);
  bool print_log = false;  ///< log lines to standard error
};

class World {
 public:
  using RoleFactory = std::function<std::unique_ptr<runtime::Role>(runtime::Runtime&)>;

  explicit World(WorldSettings settings);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Starts a process; its role's start() runs as a coroutine. A process of the same name must be dead: it
  /// is replaced, on the disk of that name.
  VirtualRuntime& start(ProcessSettings settings, const RoleFactory& factory);
  /// Starts a process without a role: a caller or an operator.
  VirtualRuntime& start_bare(ProcessSettings settings);
  /// Ends a process and loses, tears or keeps what it had not synced. Its coroutines never run again.
  void kill(const std::string& name);
  /// As kill(), and its peers hear nothing of it.
  void vanish(const std::string& name);
  void freeze(const std::string& name);
  void thaw(const std::string& name);
  /// Starts the process again, as start() did, on its disk; it must be dead.
  void restart(const std::string& name);
  /// Runs the role's drain() to its end, then ends the process; `drained` is called at the end.
  void drain(const std::string& name, Action drained);

  /// Takes every cut of the network away.
  void heal();
  void run_for(Duration duration) { scheduler_.run_until(scheduler_.now() + duration); }
  /// Runs until `done` holds, looking every `step`; false when `limit` has passed first.
  bool run_until(const std::function<bool()>& done, Duration limit,
                 Duration step = std::chrono::milliseconds(10));

  [[nodiscard]] bool running(const std::string& name) const;
  /// Running or frozen.
  [[nodiscard]] bool alive(const std::string& name) const;
  VirtualRuntime& runtime(const std::string& name) { return *current(name).runtime; }
  runtime::Role& role(const std::string& name) { return *current(name).role; }
  VirtualDisk& disk(const std::string& name) { return disks_[name]; }
  [[nodiscard]] TimePoint now() const { return scheduler_.now(); }
  Scheduler& scheduler() { return scheduler_; }
  Trace& trace() { return trace_; }
  VirtualNetwork& network() { return network_; }
  /// Random numbers for the choice of faults; a stream of its own.
  runtime::Random& random() { return random_; }
  /// Exceptions that left coroutines, and roles that failed to start. Empty in a sound run.
  [[nodiscard]] const std::vector<std::string>& faults() const { return faults_; }

 private:
  struct Instance {
    std::unique_ptr<VirtualProcess> process;
    std::unique_ptr<VirtualRuntime> runtime;
    std::unique_ptr<runtime::Role> role;
    RoleFactory factory;
  };
  Instance& current(const std::string& name);
  void end_process(const std::string& name, bool vanished);
  Awaitable<void> start_role(Instance* instance);
  Awaitable<void> drain_role(Instance* instance, Action drained);

  WorldSettings settings_;
  Scheduler scheduler_;
  Trace trace_;
  VirtualNetwork network_;
  VirtualRandom random_;
  std::vector<std::string> faults_;
  std::map<std::string, VirtualDisk> disks_;
  std::vector<std::unique_ptr<Instance>> instances_;  ///< living and dead, until the world ends
  std::map<std::string, Instance*> current_;
};

}  // namespace cairnhollow::simulation
