// Describes a statement that waits for a slot at a backend, as far as the order of admission depends on it.
#pragma once

#include <cstdint>

#include "base/types.h"

namespace cairnhollow::registered::scheduling {

/// What the scheduler needs to know of one waiting statement.
struct SlotRequest {
  /// A statement of an open transaction. It goes first: the transaction holds a link and possibly row locks.
  bool in_transaction = false;
  std::uint64_t route_priority = 0;   ///< 0 is the highest
  std::uint64_t tenant_priority = 0;  ///< 0 is the highest; 0 without tenants
  TenantName tenant;                  ///< empty without tenants
  TimePoint arrived{};                ///< when it came to this proxy
  /// End of the route's target latency. A statement admitted so late that it cannot finish by then goes after
  /// all that still can.
  TimePoint target_end{};
  TimePoint wait_end{};  ///< it waits no longer: the rest of its time is needed to run, here or elsewhere
  TimePoint deadline{};  ///< an answer after this is of no use
  /// An idle link for the tenant was at hand when the statement arrived. One without needs a new connection:
  /// it holds its slot at the gate during the handshake, in which the backend's slot is idle, and its link
  /// takes one of the backend's connections.
  bool has_link = true;
};

}  // namespace cairnhollow::registered::scheduling
