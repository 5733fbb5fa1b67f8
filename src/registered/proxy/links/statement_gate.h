// Lets as many statements of this proxy run at one backend at once as the backend has room for, the most
// urgent first. What waits here holds no slot and no connection.
#pragma once

#include <memory>

#include "admission/admission_queue.h"
#include "admission/concurrency_limit.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

/// Lives until the process ends, as `runtime` does.
class StatementGate {
 public:
  explicit StatementGate(runtime::Runtime& runtime) : runtime_(runtime) {}

  /// `share`: this proxy's part of the backend's slots; `maximum`: what it has connections for.
  void set_bounds(std::uint32_t share, std::uint32_t maximum) { limit_.set_bounds(share, maximum); }
  /// True once the statement may run; leave() is owed then. False when `deadline` passed first, or at once
  /// when it is bound to.
  Awaitable<bool> enter(std::uint8_t priority, TimePoint deadline);
  /// The statement was answered after `latency`.
  void leave(Duration latency);
  /// It was not run, since the backend's slots were taken.
  void leave_busy();
  /// It got no answer, which says nothing about the backend's room.
  void leave_unanswered();
  [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
  [[nodiscard]] std::uint32_t running() const { return running_; }

 private:
  struct Waiter {
    explicit Waiter(runtime::Runtime& runtime) : woken(runtime) {}
    bool admitted = false;
    runtime::Signal woken;
  };

  void admit_waiting();

  runtime::Runtime& runtime_;
  admission::ConcurrencyLimit limit_;
  admission::AdmissionQueue<Waiter> queue_;
  std::uint32_t running_ = 0;
};

}  // namespace cairnhollow::registered::proxy
