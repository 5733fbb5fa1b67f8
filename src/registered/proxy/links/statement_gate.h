// Limits the statements of this proxy that run concurrently at one backend to its capacity, and admits
// waiting ones by priority. Waiting statements hold no slot and no connection.
#pragma once

#include <memory>

#include "admission/admission_queue.h"
#include "admission/concurrency_limit.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

/// Must live until the process ends, as must `runtime`, which is not owned.
class StatementGate {
 public:
  explicit StatementGate(runtime::Runtime& runtime) : runtime_(runtime) {}

  /// `share`: this proxy's share of the backend's slots; `maximum`: number of its connections.
  void set_bounds(std::uint32_t share, std::uint32_t maximum) { limit_.set_bounds(share, maximum); }
  /// Returns true once the statement may run; the caller must then call one of the leave functions. Returns
  /// false if `deadline` passes first, or at once if the expected wait exceeds it.
  Awaitable<bool> enter(std::uint8_t priority, TimePoint deadline);
  /// Ends a statement that was answered after `latency`.
  void leave(Duration latency);
  /// Ends a statement that was not run, since the backend's slots were taken.
  void leave_busy();
  /// Ends a statement that got no answer, which gives no information about the backend's capacity.
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
