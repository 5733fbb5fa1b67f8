// Interface for admission to a backend together with a connection to it. One lease covers one statement or
// one transaction in progress at the backend.
#pragma once

#include <memory>

#include "declared/backend/backend_connection.h"
#include "declared/backend/wait_cancellation.h"
#include "declared/proxy/knobs.h"
#include "declared/proxy/statement/statement.h"
#include "declared/routing/decision.h"

namespace cairnhollow::declared::proxy {

/// Holds one connection for its lifetime. On destruction the connection is returned for reuse unless it is
/// closed.
class ConnectionLease {
 public:
  virtual ~ConnectionLease() = default;
  [[nodiscard]] virtual backend::BackendConnection& connection() = 0;
};

/// A member of a group, as described by the view it was selected from.
struct BackendTarget {
  routing::GroupPointer group;
  const routing::BackendView* backend = nullptr;  ///< one of the group's members
  std::uint32_t proxies_serving = 1;              ///< proxies that share the group's limits per backend
};

class BackendAccess {
 public:
  virtual ~BackendAccess() = default;
  /// Returns null on failure: kOverloaded (the queue is full, or the deadline cannot be met), kUnreachable,
  /// kDeadlineExceeded, or kCancelled if `cancellation` ended the wait. `cancellation` may be null and must
  /// outlive the call.
  virtual Awaitable<std::unique_ptr<ConnectionLease>> acquire(BackendTarget target, Priority priority,
                                                              TimePoint deadline,
                                                              backend::WaitCancellation* cancellation,
                                                              Reason& reason) = 0;
  /// How long to wait before retrying a statement that the backend's admission has just refused for overload.
  [[nodiscard]] virtual Duration suggested_retry_after(const BackendName& /*backend*/) const {
    return kRetryAfterOverload;
  }
};

}  // namespace cairnhollow::declared::proxy
