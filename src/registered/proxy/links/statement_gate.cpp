#include "registered/proxy/links/statement_gate.h"

#include <algorithm>

namespace cairnhollow::registered::proxy {

void StatementGate::set_capacity(std::uint32_t statements) {
  capacity_ = std::max(statements, 1U);
  limit_.set_bounds(capacity_, capacity_);
  admit_waiting();
}

void StatementGate::begin_setup() {
  ++in_setup_;
  admit_waiting();
}

scheduling::SlotDemand StatementGate::demand() const {
  scheduling::SlotDemand demand;
  demand.running = occupied();
  for (const auto& [key, waiter] : queue_.entries())
    ++demand.waiting[std::min<std::size_t>(key.priority_class, scheduling::kDemandClasses - 1)];
  return demand;
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

void StatementGate::leave(Duration latency) {
  limit_.answered(latency, running_, runtime_.now());
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

}  // namespace cairnhollow::registered::proxy
