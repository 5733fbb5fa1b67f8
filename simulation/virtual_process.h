// The life of one simulated process: running, frozen or dead. Everything that happens to a process from
// outside goes through deliver(), so that a frozen process sees nothing until it thaws, and a dead one
// nothing ever again.
#pragma once

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/types.h"
#include "runtime/awaitable.h"
#include "simulation/scheduler.h"
#include "simulation/trace.h"

namespace cairnhollow::simulation {

enum class LifeState : std::uint8_t { kRunning, kFrozen, kDead };

/// Where a process runs and how its clock runs.
struct ProcessSettings {
  std::string name;     ///< unique among running processes
  std::string address;  ///< of its machine; one running process an address
  ZoneName zone;
  Duration clock_offset{0};                  ///< local time at world time zero
  std::int64_t clock_drift_per_million = 0;  ///< how much faster the local clock runs
};

class Suspension;

class VirtualProcess {
 public:
  VirtualProcess(Scheduler& scheduler, Trace& trace, ProcessSettings settings, std::uint64_t ordinal);
  ~VirtualProcess();
  VirtualProcess(const VirtualProcess&) = delete;
  VirtualProcess& operator=(const VirtualProcess&) = delete;

  /// Runs `action` now, at the thaw, or never, by the state of the process.
  void deliver(Action action);
  void freeze();
  void thaw();
  /// `vanished`: the machine is gone too, so peers hear nothing, not even that connections ended.
  void kill(bool vanished);
  /// Destroys every suspended coroutine; part of the end of the world.
  void drop_suspended();

  [[nodiscard]] LifeState state() const { return state_; }
  [[nodiscard]] bool vanished() const { return vanished_; }
  [[nodiscard]] const ProcessSettings& settings() const { return settings_; }
  [[nodiscard]] std::uint64_t ordinal() const { return ordinal_; }
  Scheduler& scheduler() { return scheduler_; }
  Trace& trace() { return trace_; }

  [[nodiscard]] TimePoint local_now() const { return to_local(scheduler_.now()); }
  /// World time at which the local clock first shows at least `local`; TimePoint::max() stays.
  [[nodiscard]] TimePoint to_world(TimePoint local) const;

 private:
  friend class Suspension;
  [[nodiscard]] TimePoint to_local(TimePoint world) const;

  Scheduler& scheduler_;
  Trace& trace_;
  ProcessSettings settings_;
  std::uint64_t ordinal_;
  LifeState state_ = LifeState::kRunning;
  bool vanished_ = false;
  std::vector<Action> frozen_actions_;
  struct Suspensions;
  std::unique_ptr<Suspensions> suspensions_;
};

/// What a suspended coroutine continues with. Destroying it uninvoked destroys the coroutine.
class Continuation {
 public:
  virtual ~Continuation() = default;
  virtual void post() = 0;
};

/// A place where one coroutine of a process waits to be woken.
class Suspension
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  explicit Suspension(VirtualProcess& process);
  /// Suspends until resume(). One waiter at a time.
  Awaitable<void> wait();
  /// Wakes the waiter, if there is one; never, when its process is dead.
  void resume();
  [[nodiscard]] bool waiting() const { return continuation_ != nullptr; }

 private:
  friend class VirtualProcess;
  VirtualProcess& process_;
  std::shared_ptr<Continuation> continuation_;
};

}  // namespace cairnhollow::simulation
