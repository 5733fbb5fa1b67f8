// A role's access to its environment: clock, timers, network, disk, randomness and log. A role runs unchanged
// on the real implementation (runtime/asio, http) and on the simulator's. Each process of the fleet has one
// Runtime, and all its coroutines run on one thread.
#pragma once

#include <memory>
#include <string_view>

#include "base/types.h"
#include "runtime/awaitable.h"
#include "runtime/http.h"
#include "runtime/lines.h"
#include "runtime/logger.h"
#include "runtime/network.h"
#include "runtime/random.h"
#include "runtime/storage.h"
#include "runtime/traffic.h"

namespace cairnhollow::runtime {

/// Supports one wait at a time. A Timer must not be destroyed while a wait is in flight: cancel it and let
/// the wait return first.
class Timer {
 public:
  virtual ~Timer() = default;
  /// Returns true once `deadline` has passed, or false if cancel() came first.
  virtual Awaitable<bool> wait_until(TimePoint deadline) = 0;
  virtual void cancel() = 0;
};

class Runtime {
 public:
  virtual ~Runtime() = default;

  /// The process's monotonic clock. In the simulator it may drift relative to other processes' clocks.
  [[nodiscard]] virtual TimePoint now() const = 0;
  /// Microseconds since the Unix epoch. Only for log lines and event times shown to users.
  [[nodiscard]] virtual std::int64_t wall_clock_microseconds() const = 0;
  virtual std::unique_ptr<Timer> make_timer() = 0;
  /// Starts a detached coroutine. An exception that escapes it is logged as a fault. The caller must keep
  /// objects that the coroutine refers to alive until the process ends.
  virtual void spawn(std::string_view name, Awaitable<void> task) = 0;

  virtual Network& network() = 0;
  virtual HttpTransport& http() = 0;
  virtual LineTransport& lines() = 0;
  virtual Storage& storage() = 0;
  virtual Random& random() = 0;
  virtual Logger& logger() = 0;
  /// What this process has sent. All zero where it is not counted.
  [[nodiscard]] virtual Traffic traffic() const { return {}; }

  /// Waits until `delay` has passed.
  Awaitable<void> sleep_for(Duration delay);
};

}  // namespace cairnhollow::runtime
