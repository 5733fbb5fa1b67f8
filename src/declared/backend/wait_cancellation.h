// Ends one wait early, from outside of it.
#pragma once

#include <functional>
#include <utility>

namespace cairnhollow::declared::backend {

/// Belongs to one request and outlives its wait. Used on one thread, as the wait itself.
class WaitCancellation {
 public:
  /// Ends the wait under way; without one, nothing happens.
  void cancel() {
    if (end_wait_) std::exchange(end_wait_, nullptr)();
  }
  /// The one that waits says how its wait is ended; called after the wait it must do nothing.
  void set(std::function<void()> end_wait) { end_wait_ = std::move(end_wait); }

 private:
  std::function<void()> end_wait_;
};

}  // namespace cairnhollow::declared::backend
