// Condition variable for the coroutines of one thread.
#pragma once

#include <list>
#include <memory>

#include "runtime/runtime.h"

namespace cairnhollow::runtime {

/// Waiters check their condition in a loop: `while (!ready) co_await signal.wait_until(deadline);`
class Signal {
 public:
  explicit Signal(Runtime& runtime) : runtime_(runtime) {}

  /// Returns true if notified, or false if `deadline` passed first.
  Awaitable<bool> wait_until(TimePoint deadline);
  /// Waits without a deadline.
  Awaitable<void> wait();
  /// Wakes all current waiters.
  void notify_all();
  /// Wakes the longest-waiting coroutine.
  void notify_one();
  [[nodiscard]] std::size_t waiting() const { return waiters_.size(); }

 private:
  struct Waiter {
    std::unique_ptr<Timer> timer;
    bool notified = false;
  };

  Runtime& runtime_;
  std::list<std::shared_ptr<Waiter>> waiters_;
};

}  // namespace cairnhollow::runtime
