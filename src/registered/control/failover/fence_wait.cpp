#include "registered/control/failover/fence_wait.h"

#include <algorithm>

namespace cairnhollow::registered::control {

using registry::GroupTerm;

Awaitable<bool> FenceWait::wait(GroupTerm closed) {
  const bool quiet = co_await wait_leases(closed);
  if (quiet) co_await wait_member_leases(closed);
  co_return terms_.leads();
}

Awaitable<bool> FenceWait::wait_leases(GroupTerm closed) {
  const TimePoint silent_at = runtime_.now() + kSilentProxyAfter;
  bool pausing = false;
  FenceProgress progress = leases_.fence_progress(closed.group, closed.epoch);
  while (terms_.leads() && !progress.complete) {
    if (!pausing && runtime_.now() >= silent_at) {
      pausing = true;
      runtime_.spawn("pause_members", pauses_.pause(closed));
    }
    co_await leases_.fence_answered().wait_until(runtime_.now() + kFenceCheckInterval);
    progress = leases_.fence_progress(closed.group, closed.epoch);
  }
  co_return terms_.leads();
}

Awaitable<void> FenceWait::wait_member_leases(GroupTerm closed) {
  FenceProgress progress = leases_.fence_progress(closed.group, closed.epoch);
  if (progress.all_answered) co_return;
  co_await pauses_.pause(closed);
  // Without any paused member nobody is promoted, but the old primary may be used again.
  const TimePoint quiet = pauses_.quiet_at(closed, progress.silent_revision);
  if (quiet == TimePoint::max()) co_return;
  while (terms_.leads() && !progress.all_answered && runtime_.now() < quiet) {
    co_await leases_.fence_answered().wait_until(std::min(quiet, runtime_.now() + kFenceCheckInterval));
    progress = leases_.fence_progress(closed.group, closed.epoch);
  }
}

}  // namespace cairnhollow::registered::control
