// Limits the statements of this proxy that run concurrently at one backend to its capacity, and admits
// waiting ones by priority. Waiting statements hold no slot and no connection.
#pragma once

#include <algorithm>
#include <memory>

#include "admission/admission_queue.h"
#include "admission/concurrency_limit.h"
#include "registered/scheduling/slot_shares.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

/// Must live until the process ends, as must `runtime`, which is not owned.
class StatementGate {
 public:
  explicit StatementGate(runtime::Runtime& runtime) : runtime_(runtime) {}

  /// `share`: this proxy's share of the backend's slots; `maximum`: number of its connections.
  void set_bounds(std::uint32_t share, std::uint32_t maximum) {
    capacity_ = 0;
    limit_.set_bounds(share, maximum);
  }
  /// Admits this many statements at once, at least 1, instead of adapting their number between bounds.
  void set_capacity(std::uint32_t statements);
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
  /// Number of statements that are admitted at once.
  [[nodiscard]] std::uint32_t limit() const { return capacity_ > 0 ? capacity_ : limit_.limit(); }
  /// To be called while an admitted statement exchanges only what takes no slot at the backend: values,
  /// prepared statements, begin. With a set capacity, as many others as the capacity may be admitted meanwhile.
  void begin_setup();
  void end_setup() { --in_setup_; }
  /// Whether a statement that arrives now is admitted without a wait.
  [[nodiscard]] bool has_room() const { return queue_.empty() && has_free_slot(); }
  [[nodiscard]] scheduling::SlotDemand demand() const;

 private:
  struct Waiter {
    explicit Waiter(runtime::Runtime& runtime) : woken(runtime) {}
    bool admitted = false;
    runtime::Signal woken;
  };

  void admit_waiting();
  /// Number of admitted statements that take a slot, or will as soon as their links are set up.
  [[nodiscard]] std::uint32_t occupied() const {
    return capacity_ > 0 ? running_ - std::min(in_setup_, capacity_) : running_;
  }
  [[nodiscard]] bool has_free_slot() const { return occupied() < limit(); }

  runtime::Runtime& runtime_;
  admission::ConcurrencyLimit limit_;
  admission::AdmissionQueue<Waiter> queue_;
  std::uint32_t running_ = 0;
  std::uint32_t in_setup_ = 0;  ///< of those running
  std::uint32_t capacity_ = 0;  ///< 0: the number adapts
};

}  // namespace cairnhollow::registered::proxy
