// Limits the statements of this proxy that run concurrently at one backend to its capacity, and admits
// waiting ones in order. Waiting statements hold no slot and no connection.
//
// Where the backend's room is shared, the capacity is set from outside, and the order is that of
// scheduling/statement_scheduler.h. Elsewhere the capacity adapts to the backend's answers, and waiting
// statements are admitted by priority and deadline.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>

#include "admission/admission_queue.h"
#include "admission/concurrency_limit.h"
#include "registered/scheduling/statement_scheduler.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

enum class GateVerdict : std::uint8_t {
  kAdmitted,
  kHopeless,   ///< it cannot be admitted before its wait ends, or not answered by its deadline
  kDeadline,   ///< its wait ended
  kQueueFull,  ///< too many statements wait that go first
  kRetired,    ///< the backend's links are retired: the caller chooses again
};
inline constexpr std::size_t kGateVerdicts = 5;
/// The verdict's name in logs and metrics.
const char* gate_verdict_name(GateVerdict verdict);

/// What became of a statement at the gate.
struct GateOutcome {
  GateVerdict verdict = GateVerdict::kDeadline;
  Duration waited{0};
  Duration charged{0};  ///< its tenant's share was charged this; 0 unless it was scheduled and admitted
  scheduling::WaitForecast forecast;  ///< when it came, or when it was refused as hopeless
  [[nodiscard]] bool admitted() const { return verdict == GateVerdict::kAdmitted; }
};

/// Must live until the process ends, as must `runtime` and `links`, which are not owned.
class StatementGate {
 public:
  /// `links`: the links to the backend; null: a link is always at hand.
  explicit StatementGate(runtime::Runtime& runtime, const scheduling::LinkRoom* links = nullptr)
      : runtime_(runtime), links_(links), self_(std::make_shared<StatementGate*>(this)) {}
  StatementGate(const StatementGate&) = delete;
  StatementGate& operator=(const StatementGate&) = delete;

  /// `share`: this proxy's share of the backend's slots; `maximum`: number of its connections.
  void set_bounds(std::uint32_t share, std::uint32_t maximum) { limit_.set_bounds(share, maximum); }
  /// Whether the backend's room is shared, that is, whether set_capacity() determines the capacity.
  void set_shared_room(bool shared);
  [[nodiscard]] bool is_shared_room() const { return shared_room_; }
  /// Sets the number of statements that may run at once where the room is shared; 0 counts as 1.
  void set_capacity(std::uint32_t statements);
  /// Returns true once the statement may run; the caller must then call one of the leave functions. Returns
  /// false if `deadline` passes first, or at once if the expected wait exceeds it.
  Awaitable<bool> enter(std::uint8_t priority, TimePoint deadline);
  /// The same. Where the room is shared, the statement is admitted only when a link is at hand or may be
  /// opened, and is refused as soon as it is known that it cannot be served by its deadline. Once the links
  /// are retired, all are refused but statements of open transactions, which have their links and no other
  /// backend to go to.
  Awaitable<GateOutcome> enter(scheduling::SlotRequest request);
  /// Ends a statement that was answered after `latency`.
  void leave(Duration latency);
  /// Ends a statement that was answered, or given up without an answer, after holding its slot for `held`.
  void leave_answered(const scheduling::SlotRequest& request, Duration held);
  void leave_given_up(const scheduling::SlotRequest& request, Duration held);
  /// Ends a statement that was not run, and enters again. Its tenant is charged nothing.
  void leave_unused(const scheduling::SlotRequest& request, const GateOutcome& outcome);
  /// Ends a statement that was not run, since the backend's slots were taken.
  void leave_busy();
  /// Ends a statement that got no answer, which gives no information about the backend's capacity.
  void leave_unanswered();
  /// To be called when `links` may have changed.
  void admit_waiting();
  [[nodiscard]] std::size_t waiting() const { return queue_.size() + scheduler_.waiting(); }
  [[nodiscard]] std::uint32_t running() const { return running_; }
  /// What the statements of this proxy ask of the backend.
  [[nodiscard]] scheduling::SlotDemand demand() const { return scheduler_.demand(occupied()); }
  /// Number of statements that are admitted at once.
  [[nodiscard]] std::uint32_t limit() const { return shared_room_ ? capacity_ : limit_.limit(); }
  /// To be called while an admitted statement exchanges only what takes no slot at the backend: values,
  /// prepared statements, begin. Where the room is shared, as many others as the capacity may be admitted
  /// meanwhile. They keep their slots, so up to twice the capacity run after end_setup(); nobody is admitted
  /// until fewer than the capacity do.
  void begin_setup();
  void end_setup() { --in_setup_; }
  /// Whether a slot is free for a statement that arrives now, and none waits.
  [[nodiscard]] bool has_room() const { return waiting() == 0 && has_free_slot(); }

 private:
  struct Waiter {
    explicit Waiter(runtime::Runtime& runtime) : woken(runtime) {}
    bool admitted = false;
    runtime::Signal woken;
  };
  struct ScheduledWaiter {
    explicit ScheduledWaiter(runtime::Runtime& runtime) : woken(runtime) {}
    std::optional<GateVerdict> verdict;  ///< empty while it waits
    Duration charged{0};
    scheduling::WaitForecast forecast;
    runtime::Signal woken;
  };
  using Ticket = scheduling::StatementScheduler::Ticket;

  /// Number of admitted statements that take a slot, or will as soon as their links are set up.
  [[nodiscard]] std::uint32_t occupied() const {
    return shared_room_ ? running_ - std::min(in_setup_, capacity_) : running_;
  }
  [[nodiscard]] bool has_free_slot() const { return occupied() < limit(); }
  [[nodiscard]] scheduling::SlotRoom room() const { return {limit(), occupied(), links_}; }
  Awaitable<GateOutcome> enter_unscheduled(scheduling::SlotRequest request);
  /// Waits until the statement is admitted or refused, or `wait_end` passes.
  Awaitable<void> await_verdict(std::shared_ptr<ScheduledWaiter> waiter, TimePoint wait_end);
  /// Ends the wait of the statement.
  void decide(Ticket ticket, GateVerdict verdict);
  [[nodiscard]] bool is_retired() const { return links_ != nullptr && links_->is_retired(); }
  void admit_unscheduled();
  void admit_scheduled();
  /// While statements wait, calls admit_waiting() once at the time at which links may be opened again.
  void watch_opening();
  static Awaitable<void> admit_at_opening(runtime::Runtime& runtime, std::weak_ptr<StatementGate*> gate,
                                          TimePoint opening);

  runtime::Runtime& runtime_;
  const scheduling::LinkRoom* links_;
  std::shared_ptr<StatementGate*> self_;  ///< expires with the gate, which admit_at_opening() may outlive
  admission::ConcurrencyLimit limit_;
  admission::AdmissionQueue<Waiter> queue_;
  scheduling::StatementScheduler scheduler_;
  std::map<Ticket, std::shared_ptr<ScheduledWaiter>> scheduled_;  ///< those that wait in scheduler_
  bool watches_opening_ = false;
  bool shared_room_ = false;
  std::uint32_t capacity_ = 1;
  std::uint32_t running_ = 0;
  std::uint32_t in_setup_ = 0;  ///< of those running
};

}  // namespace cairnhollow::registered::proxy
