// Ends a wait early on behalf of another coroutine.
#pragma once

#include <functional>
#include <utility>

namespace cairnhollow::declared::backend {

/// Belongs to one request and must outlive its wait. Must be used on the thread of the wait.
class WaitCancellation {
 public:
  /// Ends the current wait; does nothing if there is none.
  void cancel() {
    if (end_wait_) std::exchange(end_wait_, nullptr)();
  }
  /// Sets the callback that ends the wait. It must do nothing if it is called after the wait.
  void set(std::function<void()> end_wait) { end_wait_ = std::move(end_wait); }

 private:
  std::function<void()> end_wait_;
};

}  // namespace cairnhollow::declared::backend
