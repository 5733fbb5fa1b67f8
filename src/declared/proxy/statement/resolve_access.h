// Connections for querying outcomes. They do not count against a backend's statement connections, so that a
// primary whose statement connections are all in use can still report outcomes.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "declared/proxy/statement/backend_access.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::proxy {

/// Reuses connections, with at most kResolveConnections per backend. Waits are limited by kConnectTimeout and
/// kResolveAttemptLimit and are not cancelled. Both arguments must outlive this object, which must outlive
/// its leases.
class ResolveAccess : public BackendAccess {
 public:
  ResolveAccess(runtime::Runtime& runtime, backend::BackendConnector& connector)
      : runtime_(runtime), connector_(connector) {}

  Awaitable<std::unique_ptr<ConnectionLease>> acquire(BackendTarget target, Priority priority,
                                                      TimePoint deadline,
                                                      backend::WaitCancellation* cancellation,
                                                      Reason& reason) override;

 private:
  struct Pool {
    explicit Pool(runtime::Runtime& runtime) : released(runtime) {}
    std::vector<std::shared_ptr<backend::BackendConnection>> idle;
    std::size_t in_use = 0;
    runtime::Signal released;
  };
  class Lease;

  runtime::Runtime& runtime_;
  backend::BackendConnector& connector_;
  std::map<BackendName, Pool> pools_;
};

}  // namespace cairnhollow::declared::proxy
