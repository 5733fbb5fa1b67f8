#include "declared/backend/connection_pool.h"

#include <algorithm>

#include "declared/backend/pool_knobs.h"

namespace cairnhollow::declared::backend {

namespace {

constexpr std::uint32_t kMaxReopenDoublings = 5;  ///< limit on doublings of kReopenPause

}  // namespace

ConnectionPool::ConnectionPool(runtime::Runtime& runtime, BackendConnector& connector, BackendName backend)
    : runtime_(runtime), connector_(connector), backend_(std::move(backend)) {}

void ConnectionPool::set_backend(const Endpoint& endpoint, const BackendCapacity& capacity) {
  share_ = connection_share(capacity);
  warm_ = warm_connections(capacity);
  if (endpoint == endpoint_) return;
  endpoint_ = endpoint;
  ++endpoint_generation_;
  drop_idle();
  consecutive_failures_ = 0;
  open_not_before_ = TimePoint{};
  open_ahead_not_before_ = TimePoint{};
}

std::uint32_t ConnectionPool::held() const {
  return statistics_.in_use + statistics_.idle + statistics_.opening;
}

std::shared_ptr<BackendConnection> ConnectionPool::take() {
  drop_broken();
  if (idle_.empty()) return nullptr;
  auto connection = std::move(idle_.back().connection);
  idle_.pop_back();
  update_idle_count();
  ++statistics_.in_use;
  return connection;
}

void ConnectionPool::return_connection(std::shared_ptr<BackendConnection> connection) {
  --statistics_.in_use;
  if (!connection->is_open()) {
    ++statistics_.broken;
    if (++consecutive_broken_ < kConsecutiveBrokenLimit) return;
    // The backend is gone or was restarted: the idle connections would fail as well.
    drop_idle();
    return;
  }
  consecutive_broken_ = 0;
  if (held() >= share_) {
    connection->close();
    return;
  }
  idle_.push_back({std::move(connection), runtime_.now()});
  update_idle_count();
}

void ConnectionPool::drop_broken() {
  std::erase_if(idle_, [](const IdleConnection& idle) { return !idle.connection->is_open(); });
  update_idle_count();
}

void ConnectionPool::drop_idle() {
  for (const auto& idle : idle_) idle.connection->close();
  drop_broken();
}

void ConnectionPool::release() {
  retire();
  drop_idle();
}

void ConnectionPool::close_idle() {
  drop_broken();
  const auto now = runtime_.now();
  while (!idle_.empty()) {
    const bool too_many = held() > share_;
    const bool unused = now - idle_.front().since >= kIdleLimit && held() > warm_;
    if (!too_many && !unused) break;
    idle_.front().connection->close();
    idle_.erase(idle_.begin());
    update_idle_count();
    ++statistics_.closed_idle;
  }
}

std::uint32_t ConnectionPool::target_connections(std::size_t waiting) const {
  const auto in_use = statistics_.in_use;
  const auto spare = in_use == 0 ? 0 : 1 + in_use / kInUsePerSpare;
  const auto now = runtime_.now();
  std::uint32_t target_connections = in_use + static_cast<std::uint32_t>(waiting);
  if (now >= open_ahead_not_before_) {
    target_connections = std::max(target_connections + spare, warm_);
  } else if (waiting > 0) {
    // Recent attempts failed: opens one connection at a time to detect that the backend has recovered.
    target_connections = std::min(target_connections, in_use + statistics_.idle + 1);
  }
  return std::min(target_connections, share_);
}

void ConnectionPool::maintain(std::size_t waiting) {
  close_idle();
  if (runtime_.now() < open_not_before_) return;
  const auto target_count = target_connections(waiting);
  while (held() < target_count) {
    ++statistics_.opening;
    runtime_.spawn("open_backend_connection", open_one());
  }
}

Awaitable<void> ConnectionPool::open_one() {
  Reason reason;
  const auto generation = endpoint_generation_;
  const auto deadline = runtime_.now() + kOpenTimeout;
  auto connection = co_await connector_.open(backend_, endpoint_, deadline, reason);
  --statistics_.opening;
  if (generation != endpoint_generation_) {
    if (connection) connection->close();
    co_return;
  }
  if (!connection) {
    opening_failed(reason);
    co_return;
  }
  ++statistics_.opened;
  consecutive_failures_ = 0;
  consecutive_broken_ = 0;
  open_ahead_not_before_ = TimePoint{};
  idle_.push_back({std::move(connection), runtime_.now()});
  update_idle_count();
  if (on_available_) on_available_();
}

void ConnectionPool::opening_failed(const Reason& reason) {
  const auto now = runtime_.now();
  if (reason.code == ReasonCode::kOverloaded) {
    ++statistics_.refused_by_backend;
    open_not_before_ = now + kConnectionRefusedPause;
  } else {
    ++statistics_.open_failures;
    const auto doublings = std::min(consecutive_failures_++, kMaxReopenDoublings);
    open_ahead_not_before_ = now + std::min(kReopenPause * (1U << doublings), kReopenPauseLimit);
  }
  const bool none_left = statistics_.in_use + statistics_.idle == 0 && statistics_.opening == 0;
  if (none_left && on_unreachable_) on_unreachable_(reason);
}

}  // namespace cairnhollow::declared::backend
