#include "registered/proxy/links/statement_gate.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cairnhollow::registered::proxy {

namespace {

using Verdict = scheduling::StatementScheduler::Verdict;

/// Priority class where waiting statements are not scheduled. Statements of open transactions, which hold
/// connections, go before all others.
std::uint8_t priority_class(const scheduling::SlotRequest& request) {
  constexpr std::uint64_t kLeastUrgent = 100;
  if (request.in_transaction) return admission::kUrgentClass;
  return static_cast<std::uint8_t>(std::min(request.route_priority + 1, kLeastUrgent));
}

}  // namespace

const char* gate_verdict_name(GateVerdict verdict) {
  constexpr std::array<const char*, kGateVerdicts> kNames{"admitted", "hopeless", "deadline", "queue_full",
                                                          "retired"};
  return kNames.at(static_cast<std::size_t>(verdict));
}

void StatementGate::set_shared_room(bool shared) {
  if (shared_room_ == shared) return;
  shared_room_ = shared;
  admit_waiting();
}

void StatementGate::set_capacity(std::uint32_t statements) {
  capacity_ = std::max(statements, 1U);
  admit_waiting();
}

void StatementGate::begin_setup() {
  ++in_setup_;
  admit_waiting();
}

Awaitable<bool> StatementGate::enter(std::uint8_t priority, TimePoint deadline) {
  if (has_room()) {
    ++running_;
    co_return true;
  }
  const auto key = queue_.make_key(priority, deadline);
  const auto ahead = static_cast<Duration::rep>(queue_.ahead_of(key));
  const Duration expected = limit_.expected_latency() * ahead / limit();
  if (runtime_.now() + expected >= deadline) co_return false;
  const auto waiter = std::make_shared<Waiter>(runtime_);
  queue_.insert(key, waiter);
  bool in_time = true;
  while (!waiter->admitted && in_time) in_time = co_await waiter->woken.wait_until(deadline);
  if (!waiter->admitted) queue_.erase(key);
  co_return waiter->admitted;
}

Awaitable<GateOutcome> StatementGate::enter_unscheduled(scheduling::SlotRequest request) {
  const TimePoint begun_at = runtime_.now();
  const bool entered = co_await enter(priority_class(request), request.wait_end);
  GateOutcome outcome;
  outcome.waited = runtime_.now() - begun_at;
  const bool was_told_at_once = outcome.waited == Duration(0);
  outcome.verdict = was_told_at_once ? GateVerdict::kHopeless : GateVerdict::kDeadline;
  if (entered) outcome.verdict = GateVerdict::kAdmitted;
  co_return outcome;
}

Awaitable<GateOutcome> StatementGate::enter(scheduling::SlotRequest request) {
  if (!shared_room_) co_return co_await enter_unscheduled(std::move(request));
  const TimePoint begun_at = runtime_.now();
  const TimePoint wait_end = request.wait_end;
  GateOutcome outcome;
  if (is_retired() && !request.in_transaction) {
    outcome.verdict = GateVerdict::kRetired;
    co_return outcome;
  }
  const auto enqueued = scheduler_.enqueue(std::move(request), begun_at, room());
  outcome.forecast = enqueued.forecast;
  outcome.verdict =
      enqueued.verdict == Verdict::kQueueFull ? GateVerdict::kQueueFull : GateVerdict::kHopeless;
  if (enqueued.verdict != Verdict::kWaits) co_return outcome;
  const auto waiter = std::make_shared<ScheduledWaiter>(runtime_);
  waiter->forecast = enqueued.forecast;
  scheduled_[enqueued.ticket] = waiter;
  if (enqueued.displaced) decide(*enqueued.displaced, GateVerdict::kQueueFull);
  admit_waiting();
  if (!waiter->verdict) co_await await_verdict(waiter, wait_end);
  scheduler_.remove(enqueued.ticket);
  scheduled_.erase(enqueued.ticket);
  outcome.forecast = waiter->forecast;
  outcome.verdict = waiter->verdict.value_or(GateVerdict::kDeadline);
  outcome.waited = runtime_.now() - begun_at;
  outcome.charged = waiter->charged;
  co_return outcome;
}

Awaitable<void> StatementGate::await_verdict(std::shared_ptr<ScheduledWaiter> waiter, TimePoint wait_end) {
  while (!waiter->verdict && runtime_.now() < wait_end) co_await waiter->woken.wait_until(wait_end);
}

void StatementGate::watch_opening() {
  if (watches_opening_ || links_ == nullptr || scheduler_.waiting() == 0) return;
  const TimePoint opening = links_->next_opening();
  if (opening == TimePoint::max() || opening <= runtime_.now()) return;
  watches_opening_ = true;
  runtime_.spawn("admit_at_opening", admit_at_opening(runtime_, self_, opening));
}

Awaitable<void> StatementGate::admit_at_opening(runtime::Runtime& runtime, std::weak_ptr<StatementGate*> gate,
                                                TimePoint opening) {
  co_await runtime.sleep_for(opening - runtime.now());
  const auto present = gate.lock();
  if (!present) co_return;
  (*present)->watches_opening_ = false;
  (*present)->admit_waiting();
}

void StatementGate::leave(Duration latency) {
  limit_.answered(latency, running_, runtime_.now());
  leave_unanswered();
}

void StatementGate::leave_answered(const scheduling::SlotRequest& request, Duration held) {
  scheduler_.service_times().record(request, held, runtime_.now());
  leave_unanswered();
}

void StatementGate::leave_given_up(const scheduling::SlotRequest& request, Duration held) {
  scheduler_.service_times().record_unanswered(request, held, runtime_.now());
  leave_unanswered();
}

void StatementGate::leave_unused(const scheduling::SlotRequest& request, const GateOutcome& outcome) {
  scheduler_.refund(request, outcome.charged);
  leave_unanswered();
}

void StatementGate::leave_busy() {
  limit_.busy(runtime_.now());
  leave_unanswered();
}

void StatementGate::leave_unanswered() {
  --running_;
  admit_waiting();
}

void StatementGate::admit_waiting() {
  admit_unscheduled();
  admit_scheduled();
}

void StatementGate::admit_unscheduled() {
  while (!queue_.empty() && has_free_slot()) {
    const auto first = queue_.entries().begin();
    const auto key = first->first;
    const auto waiter = first->second;
    queue_.erase(key);
    waiter->admitted = true;
    ++running_;
    waiter->woken.notify_all();
  }
}

void StatementGate::admit_scheduled() {
  if (scheduler_.waiting() == 0) return;
  if (is_retired()) {
    for (const Ticket ticket : scheduler_.take_movable()) decide(ticket, GateVerdict::kRetired);
  }
  const TimePoint now = runtime_.now();
  for (const auto& refused : scheduler_.take_hopeless(now, room())) {
    scheduled_.at(refused.ticket)->forecast = refused.forecast;
    decide(refused.ticket, GateVerdict::kHopeless);
  }
  while (const auto admitted = scheduler_.next(now, room())) {
    ++running_;
    scheduled_.at(admitted->ticket)->charged = admitted->cost;
    decide(admitted->ticket, GateVerdict::kAdmitted);
  }
  watch_opening();
}

void StatementGate::decide(Ticket ticket, GateVerdict verdict) {
  const auto found = scheduled_.find(ticket);
  if (found == scheduled_.end()) return;
  const auto waiter = found->second;
  scheduled_.erase(found);
  waiter->verdict = verdict;
  waiter->woken.notify_all();
}

}  // namespace cairnhollow::registered::proxy
