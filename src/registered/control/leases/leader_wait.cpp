#include "registered/control/leases/leader_wait.h"

#include <utility>

namespace cairnhollow::registered::control {

bool LeaderWait::knows_leader() const { return consensus_.leads() || calls_.leader_endpoint().has_value(); }

Awaitable<void> LeaderWait::wait() {
  if (!std::exchange(polling_, true)) runtime_.spawn("lease_leader", poll_leader());
  const TimePoint limit = runtime_.now() + kLeaderWaitTimeout;
  while (!stopping_ && !knows_leader() && runtime_.now() < limit) co_await leader_known_.wait_until(limit);
}

Awaitable<void> LeaderWait::poll_leader() {
  while (!stopping_ && !knows_leader() && leader_known_.waiting() > 0)
    co_await runtime_.sleep_for(kLeaderCheckInterval);
  polling_ = false;
  leader_known_.notify_all();
}

}  // namespace cairnhollow::registered::control
