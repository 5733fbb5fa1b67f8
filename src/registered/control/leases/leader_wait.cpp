#include "registered/control/leases/leader_wait.h"

#include <utility>

namespace cairnhollow::registered::control {

bool LeaderWait::knows_leader() const { return consensus_.leads() || calls_.leader_endpoint().has_value(); }

Awaitable<void> LeaderWait::wait() {
  if (!std::exchange(checking_, true)) runtime_.spawn("lease_leader", check());
  const TimePoint limit = runtime_.now() + kLeaderPatience;
  while (!stopping_ && !knows_leader() && runtime_.now() < limit) co_await known_.wait_until(limit);
}

Awaitable<void> LeaderWait::check() {
  while (!stopping_ && !knows_leader() && known_.waiting() > 0)
    co_await runtime_.sleep_for(kLeaderCheckInterval);
  checking_ = false;
  known_.notify_all();
}

}  // namespace cairnhollow::registered::control
