// Everything a role may touch outside its own memory: clock, timers, network, disk, randomness, log.
// A role runs unchanged on the real implementation (runtime/asio, http) and on the simulator's.
// One process of the fleet is one Runtime; all its coroutines run on one thread.
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

namespace cairnhollow::runtime {

/// One wait at a time. Destroying a Timer with a wait in flight is not allowed: cancel and let it return.
class Timer {
 public:
  virtual ~Timer() = default;
  /// Returns true when `deadline` has passed, false when cancel() came first.
  virtual Awaitable<bool> wait_until(TimePoint deadline) = 0;
  virtual void cancel() = 0;
};

class Runtime {
 public:
  virtual ~Runtime() = default;

  /// This process's monotonic clock. In the simulator it may drift against other processes' clocks.
  [[nodiscard]] virtual TimePoint now() const = 0;
  /// Microseconds since the Unix epoch, for log lines and event times shown to people only.
  [[nodiscard]] virtual std::int64_t wall_clock_microseconds() const = 0;
  virtual std::unique_ptr<Timer> make_timer() = 0;
  /// Starts a coroutine that nobody waits for. An exception that leaves it is logged as a fault.
  /// The caller keeps what the coroutine refers to alive until the process ends.
  virtual void spawn(std::string_view name, Awaitable<void> task) = 0;

  virtual Network& network() = 0;
  virtual HttpTransport& http() = 0;
  virtual LineTransport& lines() = 0;
  virtual Storage& storage() = 0;
  virtual Random& random() = 0;
  virtual Logger& logger() = 0;

  /// Waits until `delay` has passed.
  Awaitable<void> sleep_for(Duration delay);
};

}  // namespace cairnhollow::runtime
