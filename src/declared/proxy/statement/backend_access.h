// Admission to a backend together with a connection to it: one lease is one statement (or one transaction)
// that the backend is busy with.
#pragma once

#include <memory>

#include "declared/backend/backend_connection.h"
#include "declared/backend/wait_cancellation.h"
#include "declared/proxy/knobs.h"
#include "declared/proxy/statement/statement.h"
#include "declared/routing/decision.h"

namespace cairnhollow::declared::proxy {

/// Holds one connection. On destruction the connection goes back to be used again, unless it is closed.
class ConnectionLease {
 public:
  virtual ~ConnectionLease() = default;
  [[nodiscard]] virtual backend::BackendConnection& connection() = 0;
};

/// A member of a group, as in the view it was chosen from.
struct BackendTarget {
  routing::GroupPointer group;
  const routing::BackendView* backend = nullptr;  ///< one of the group's members
  std::uint32_t proxies_serving = 1;              ///< that share the group's limits per backend
};

class BackendAccess {
 public:
  virtual ~BackendAccess() = default;
  /// Null on failure: kOverloaded (the queue is full, or the deadline cannot be made), kUnreachable,
  /// kDeadlineExceeded, or kCancelled when `cancellation` (null: none; it outlives the call) ended the wait.
  virtual Awaitable<std::unique_ptr<ConnectionLease>> acquire(BackendTarget target, Priority priority,
                                                              TimePoint deadline,
                                                              backend::WaitCancellation* cancellation,
                                                              Reason& reason) = 0;
  /// When a statement that the backend's admission has just refused for overload had better come back.
  [[nodiscard]] virtual Duration suggested_retry_after(const BackendName& /*backend*/) const {
    return kRetryAfterOverload;
  }
};

}  // namespace cairnhollow::declared::proxy
