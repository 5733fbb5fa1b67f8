#include "registered/control/failover/fence_wait.h"

#include <algorithm>

namespace cairnhollow::registered::control {

using registry::GroupTerm;

Awaitable<bool> FenceWait::wait(GroupTerm closed) {
  const bool still_leads = co_await wait_for_control_leases(closed);
  if (still_leads) co_await wait_for_member_leases(closed);
  co_return terms_.leads();
}

Awaitable<bool> FenceWait::wait_for_control_leases(GroupTerm closed) {
  const TimePoint pause_at = runtime_.now() + kUnresponsiveProxyTimeout;
  bool pausing = false;
  FenceProgress progress = leases_.fence_progress(closed.group, closed.epoch);
  while (terms_.leads() && !progress.complete) {
    if (!pausing && runtime_.now() >= pause_at) {
      pausing = true;
      runtime_.spawn("pause_members", pauses_.pause(closed));
    }
    co_await leases_.fence_answered().wait_until(runtime_.now() + kFenceCheckInterval);
    progress = leases_.fence_progress(closed.group, closed.epoch);
  }
  co_return terms_.leads();
}

Awaitable<void> FenceWait::wait_for_member_leases(GroupTerm closed) {
  FenceProgress progress = leases_.fence_progress(closed.group, closed.epoch);
  if (progress.all_answered) co_return;
  co_await pauses_.pause(closed);
  // If no member could be paused, none can be promoted, but the old primary may be reopened.
  const TimePoint earliest = pauses_.earliest_promotion(closed, progress.min_unresponsive_revision);
  if (earliest == TimePoint::max()) co_return;
  while (terms_.leads() && !progress.all_answered && runtime_.now() < earliest) {
    co_await leases_.fence_answered().wait_until(std::min(earliest, runtime_.now() + kFenceCheckInterval));
    progress = leases_.fence_progress(closed.group, closed.epoch);
  }
}

}  // namespace cairnhollow::registered::control
