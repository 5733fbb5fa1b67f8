#include "declared/proxy/statement/resolve_access.h"

#include <algorithm>

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

class ResolveAccess::Lease : public ConnectionLease {
 public:
  Lease(Pool& pool, std::shared_ptr<backend::BackendConnection> connection)
      : pool_(pool), connection_(std::move(connection)) {}
  ~Lease() override {
    --pool_.in_use;
    if (connection_->is_open()) pool_.idle.push_back(connection_);
    pool_.released.notify_one();
  }
  Lease(const Lease&) = delete;
  Lease& operator=(const Lease&) = delete;
  backend::BackendConnection& connection() override { return *connection_; }

 private:
  Pool& pool_;
  std::shared_ptr<backend::BackendConnection> connection_;
};

Awaitable<std::unique_ptr<ConnectionLease>> ResolveAccess::acquire(
    BackendTarget target, Priority /*priority*/, TimePoint deadline,
    backend::WaitCancellation* /*cancellation*/, Reason& reason) {
  const auto& backend = *target.backend;
  auto& pool = pools_.try_emplace(backend.name, runtime_).first->second;
  while (pool.in_use >= kResolveConnections) {
    const bool released = co_await pool.released.wait_until(deadline);
    if (released) continue;
    reason = Reason{ReasonCode::kOverloaded, "acquire_connection", backend.name.value,
                    "too many outcome queries are in flight to the backend"};
    co_return nullptr;
  }
  ++pool.in_use;
  while (!pool.idle.empty()) {
    auto connection = std::move(pool.idle.back());
    pool.idle.pop_back();
    if (connection->is_open()) co_return std::make_unique<Lease>(pool, std::move(connection));
  }
  const TimePoint connect_deadline = std::min(deadline, runtime_.now() + kConnectTimeout);
  auto connection = co_await connector_.open(backend.name, backend.endpoint, connect_deadline, reason);
  if (connection) co_return std::make_unique<Lease>(pool, std::move(connection));
  --pool.in_use;
  pool.released.notify_one();
  co_return nullptr;
}

}  // namespace cairnhollow::declared::proxy
