#include "declared/proxy/statement/pooled_access.h"

#include <set>

#include "declared/backend/admitted_connection.h"
#include "declared/backend/pool_knobs.h"

namespace cairnhollow::declared::proxy {

namespace {

class PooledLease final : public ConnectionLease {
 public:
  explicit PooledLease(std::unique_ptr<backend::AdmittedConnection> connection)
      : connection_(std::move(connection)) {}
  backend::BackendConnection& connection() override { return *connection_; }

 private:
  std::unique_ptr<backend::AdmittedConnection> connection_;
};

backend::BackendCapacity capacity_of(const config::DatabaseGroupSpec& spec, std::uint32_t proxies_serving) {
  return {spec.connections_per_backend, spec.slots_per_backend, proxies_serving};
}

}  // namespace

backend::BackendAdmission& PooledBackendAccess::admission(const BackendName& backend) {
  auto& admission = admissions_[backend];
  if (!admission) admission = std::make_unique<backend::BackendAdmission>(runtime_, connector_, backend);
  return *admission;
}

Awaitable<std::unique_ptr<ConnectionLease>> PooledBackendAccess::acquire(
    BackendTarget target, Priority priority, TimePoint deadline, backend::WaitCancellation* cancellation,
    Reason& reason) {
  auto& admission = this->admission(target.backend->name);
  admission.set_backend(target.backend->endpoint, capacity_of(target.group->spec, target.proxies_serving));
  const backend::AdmissionRequest request{static_cast<std::uint8_t>(priority), deadline, cancellation};
  auto connection = co_await admission.admit(request, reason);
  if (!connection) co_return nullptr;
  co_return std::make_unique<PooledLease>(std::move(connection));
}

void PooledBackendAccess::backend_returned(const BackendName& backend) {
  const auto found = admissions_.find(backend);
  if (found != admissions_.end()) found->second->backend_returned();
}

Duration PooledBackendAccess::suggested_retry_after(const BackendName& backend) const {
  const auto found = admissions_.find(backend);
  return found == admissions_.end() ? kRetryAfterOverload : found->second->suggested_retry_after();
}

void PooledBackendAccess::prepare(const routing::RoutingView& view) {
  std::set<BackendName> ready;
  std::set<BackendName> leaving;
  for (const auto& group : view.groups) {
    if (!group->served_here) continue;
    for (const auto& member : group->members) {
      if (member.leaving) leaving.insert(member.name);
      if (member.leaving || !view.this_proxy_serves) continue;
      ready.insert(member.name);
      admission(member.name).set_backend(member.endpoint, capacity_of(group->spec, group->proxies_serving));
    }
  }
  for (const auto& [name, admission] : admissions_) {
    if (leaving.contains(name)) {
      admission->retire();
    } else if (!ready.contains(name)) {
      admission->release();  // other proxies serve the group now and use these connections
    }
    admission->maintain();
  }
}

Awaitable<void> PooledBackendAccess::run(const ServingState& serving) {
  while (!stopping_) {
    const auto view = serving.view();
    prepare(*view);
    co_await runtime_.sleep_for(backend::kPoolCheckInterval);
  }
}

}  // namespace cairnhollow::declared::proxy
