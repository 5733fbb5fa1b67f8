// Mutual exclusion between coroutines of one thread, for sections that wait in their middle.
#pragma once

#include "runtime/signal.h"

namespace cairnhollow::standins::database {

/// Not recursive. Every acquire() is followed by one release().
class AsyncLock {
 public:
  explicit AsyncLock(runtime::Runtime& runtime) : released_(runtime) {}

  Awaitable<void> acquire() {
    while (held_) co_await released_.wait();
    held_ = true;
  }
  void release() {
    held_ = false;
    released_.notify_one();
  }

 private:
  bool held_ = false;
  runtime::Signal released_;
};

}  // namespace cairnhollow::standins::database
