// Interface of a process of the fleet: a proxy, a control node, a simulated backend. Programs start one Role
// on the real runtime; the simulator starts many, each on its own runtime.
#pragma once

#include "base/reason.h"
#include "runtime/awaitable.h"

namespace cairnhollow::runtime {

class Role {
 public:
  virtual ~Role() = default;
  /// Reads the role's files, opens its listeners and starts its loops.
  virtual Awaitable<bool> start(Reason& reason) = 0;
  /// Graceful shutdown (SIGTERM): accepts no new work and returns once nothing is in flight. Ends every loop.
  virtual Awaitable<void> drain() = 0;
};

}  // namespace cairnhollow::runtime
