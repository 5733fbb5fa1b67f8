#include "declared/backend/backend_admission.h"

#include <algorithm>

#include "declared/backend/admitted_connection.h"
#include "declared/backend/pool_knobs.h"

namespace cairnhollow::declared::backend {

BackendAdmission::BackendAdmission(runtime::Runtime& runtime, BackendConnector& connector,
                                   BackendName backend)
    : runtime_(runtime), backend_(backend), pool_(runtime, connector, std::move(backend)) {
  pool_.on_available([this] { dispatch(); });
  pool_.on_unreachable([this](const Reason& reason) { refuse_all_without_connection(reason); });
}

void BackendAdmission::set_backend(const Endpoint& endpoint, const BackendCapacity& capacity) {
  pool_.set_backend(endpoint, capacity);
  limit_.set_bounds(slot_share(capacity), connection_share(capacity));
  allowance_.set_bound(std::min(capacity.slots, connection_share(capacity)));
}

void BackendAdmission::backend_returned() {
  pool_.drop_idle();
  maintain();
}

void BackendAdmission::maintain() {
  const auto limit =
      urgent_is_under_deadline_pressure() ? allowance_.raised_limit(limit_.limit()) : limit_.limit();
  const auto permits = limit > running_ ? limit - running_ : 0;
  pool_.maintain(std::min<std::size_t>(waiting_for_connection(), permits));
}

std::size_t BackendAdmission::waiting_for_connection() const {
  return static_cast<std::size_t>(
      std::count_if(queue_.entries().begin(), queue_.entries().end(),
                    [](const auto& entry) { return entry.second->needs_connection; }));
}

Awaitable<std::unique_ptr<AdmittedConnection>> BackendAdmission::admit(AdmissionRequest request,
                                                                       Reason& reason) {
  std::shared_ptr<BackendConnection> connection;
  const bool entered = co_await enter(request, &connection, reason);
  if (!entered) co_return nullptr;
  co_return std::make_unique<AdmittedConnection>(*this, std::move(connection), request.priority_class);
}

Awaitable<bool> BackendAdmission::enter(AdmissionRequest request,
                                        std::shared_ptr<BackendConnection>* connection, Reason& reason) {
  if (try_enter(connection)) {
    if (connection != nullptr) maintain();  // keeps a spare connection open
    co_return true;
  }
  if (!may_wait(request, reason)) co_return false;
  const auto key = queue_.make_key(request.priority_class, request.deadline);
  if (!ensure_queue_capacity(key))
    co_return refuse(ReasonCode::kOverloaded, "the admission queue is full", reason);
  auto waiter = std::make_shared<Waiter>(runtime_);
  waiter->needs_connection = connection != nullptr;
  queue_.insert(key, waiter);
  if (request.cancellation != nullptr) {
    request.cancellation->set([this, key, waiter] { cancel(key, waiter); });
  }
  // Statements of open transactions already have a connection, so they can be admitted ahead of statements
  // that wait for one.
  dispatch();
  maintain();
  while (!waiter->decided) {
    const bool woken = co_await waiter->woken.wait_until(latest_start(request.deadline));
    if (woken || waiter->decided) continue;
    queue_.erase(key);
    waiter->decided = true;
    ++statistics_.timed_out;
    co_return refuse(ReasonCode::kOverloaded,
                     "still queued when too little time was left to run before the deadline", reason);
  }
  if (waiter->refusal) {
    reason = std::move(*waiter->refusal);
    co_return false;
  }
  if (connection != nullptr) *connection = std::move(waiter->connection);
  co_return true;
}

bool BackendAdmission::try_enter(std::shared_ptr<BackendConnection>* connection) {
  if (!queue_.empty() || is_paused() || running_ >= limit_.limit()) return false;
  if (connection != nullptr) {
    *connection = pool_.take();
    if (!*connection) return false;
  }
  ++running_;
  ++statistics_.admitted;
  ++statistics_.admitted_at_once;
  return true;
}

bool BackendAdmission::may_wait(const AdmissionRequest& request, Reason& reason) {
  const auto now = runtime_.now();
  if (request.deadline <= now) {
    return refuse(ReasonCode::kDeadlineExceeded, "the deadline passed before admission", reason);
  }
  // The latency estimate is current only while statements run: below the limit nothing is refused because of
  // it.
  if (running_ < limit_.limit()) return true;
  const admission::AdmissionKey key{request.priority_class, request.deadline, 0};
  const auto needed = expected_wait(queue_.ahead_of(key), limit_for(key)) + limit_.expected_latency();
  if (now + needed <= request.deadline) return true;
  ++statistics_.refused_early;
  return refuse(ReasonCode::kOverloaded, "the expected wait in the admission queue exceeds the deadline",
                reason);
}

Duration BackendAdmission::expected_wait(std::size_t ahead, std::uint32_t at_once) const {
  return limit_.expected_latency() * static_cast<Duration::rep>(ahead + 1) / at_once;
}

std::uint32_t BackendAdmission::limit_for(const admission::AdmissionKey& key) const {
  return key.is_urgent() ? allowance_.raised_limit(limit_.limit()) : limit_.limit();
}

bool BackendAdmission::is_under_deadline_pressure(const admission::AdmissionKey& key,
                                                  std::size_t ahead) const {
  return latest_start(key.deadline) - runtime_.now() <
         kDeadlinePressureWaits * expected_wait(ahead, limit_.limit());
}

bool BackendAdmission::urgent_is_under_deadline_pressure() const {
  if (queue_.urgent() == 0) return false;
  const auto& entries = queue_.entries();
  const auto last = std::prev(entries.upper_bound({admission::kUrgentClass, TimePoint::max(), UINT64_MAX}));
  return is_under_deadline_pressure(entries.begin()->first, 0) ||
         is_under_deadline_pressure(last->first, queue_.urgent() - 1);
}

TimePoint BackendAdmission::latest_start(TimePoint deadline) const {
  return deadline - limit_.expected_latency();
}

Duration BackendAdmission::suggested_retry_after() const {
  return std::max(kMinRetryAfter, expected_wait(queue_.size(), limit_.limit()));
}

bool BackendAdmission::ensure_queue_capacity(const admission::AdmissionKey& key) {
  if (queue_.size() < kQueueLimit) return true;
  const auto last = std::prev(queue_.entries().end());
  ++statistics_.refused_early;
  if (last->first < key) return false;
  const auto evicted = last->second;
  Reason reason;
  refuse(ReasonCode::kOverloaded, "evicted from the full admission queue by a more urgent statement", reason);
  evicted->refusal = std::move(reason);
  decide(admission::AdmissionKey(last->first), evicted);
  return true;
}

bool BackendAdmission::refuse(ReasonCode code, const char* detail, Reason& reason) const {
  reason = Reason{code, "admit_to_backend", backend_.value, detail};
  return false;
}

void BackendAdmission::cancel(const admission::AdmissionKey& key, const std::shared_ptr<Waiter>& waiter) {
  if (waiter->decided) return;
  waiter->refusal = Reason{ReasonCode::kCancelled, "admit_to_backend", backend_.value,
                           "the wait for admission was cancelled"};
  decide(key, waiter);
}

void BackendAdmission::decide(const admission::AdmissionKey& key, const std::shared_ptr<Waiter>& waiter) {
  waiter->decided = true;
  queue_.erase(key);
  waiter->woken.notify_all();
}

void BackendAdmission::dispatch() {
  if (is_paused()) return;
  const bool under_pressure = urgent_is_under_deadline_pressure();
  auto entry = queue_.entries().begin();
  while (entry != queue_.entries().end()) {
    const auto key = entry->first;
    if (running_ >= (under_pressure ? limit_for(key) : limit_.limit())) break;
    const auto waiter = entry->second;
    ++entry;
    if (latest_start(key.deadline) <= runtime_.now()) continue;  // its own timer is about to end the wait
    if (waiter->needs_connection) {
      waiter->connection = pool_.take();
      if (!waiter->connection) continue;
    }
    ++running_;
    ++statistics_.admitted;
    decide(key, waiter);
  }
}

void BackendAdmission::refuse_all_without_connection(const Reason& reason) {
  const auto waiting = queue_.entries();  // copied because decide() changes the queue
  for (const auto& [key, waiter] : waiting) {
    if (!waiter->needs_connection) continue;
    ++statistics_.unreachable;
    waiter->refusal = reason;
    // Reported as unreachable, whatever prevented the connection from opening.
    if (reason.code != ReasonCode::kOverloaded) waiter->refusal->code = ReasonCode::kUnreachable;
    decide(key, waiter);
  }
}

void BackendAdmission::release_permit() {
  --running_;
  dispatch();
}

void BackendAdmission::return_connection(std::shared_ptr<BackendConnection> connection) {
  pool_.return_connection(std::move(connection));
  dispatch();
}

void BackendAdmission::answered(Duration latency, std::uint32_t in_flight, bool borrowed) {
  paused_until_ = TimePoint{};
  if (borrowed) allowance_.answered();
  limit_.answered(latency, in_flight, runtime_.now());
}

void BackendAdmission::busy(Duration retry_after, bool borrowed) {
  ++statistics_.busy_answers;
  if (borrowed) {
    allowance_.busy();
  } else {
    limit_.busy(runtime_.now());
  }
  paused_until_ = runtime_.now() + std::clamp(retry_after, kMinRetryAfter, kMaxBusyPause);
  if (resuming_) return;
  resuming_ = true;
  runtime_.spawn("admission_resume", resume_after_pause());
}

Awaitable<void> BackendAdmission::resume_after_pause() {
  while (is_paused()) co_await runtime_.sleep_for(paused_until_ - runtime_.now());
  resuming_ = false;
  dispatch();
}

AdmissionStatistics BackendAdmission::statistics() const {
  auto statistics = statistics_;
  statistics.running = running_;
  statistics.limit = limit_.limit();
  statistics.connections = pool_.statistics().in_use + pool_.statistics().idle;
  statistics.waiting = queue_.size();
  return statistics;
}

}  // namespace cairnhollow::declared::backend
