#include "registered/control/failover/pause_release.h"

namespace cairnhollow::registered::control {

Awaitable<void> PauseRelease::release(GroupName group) {
  if (!pauses_.has_paused(group)) co_return;
  const bool confirmed = co_await terms_.complete_read_barrier();
  if (confirmed && terms_.leads()) co_await pauses_.resume(group);
}

bool PauseRelease::release_leftover() {
  if (leftover_released_) return false;
  leftover_released_ = true;
  runtime_.spawn("resume_left_members", release_leftover_members());
  return true;
}

Awaitable<void> PauseRelease::release_leftover_members() {
  const bool confirmed = co_await terms_.complete_read_barrier();
  if (!confirmed) {
    leftover_released_ = false;
    co_return;
  }
  for (const auto& group : fleet_.groups()) {
    const auto term = terms_.find(group.name);
    if (!terms_.leads()) co_return;
    if (term && term->open) co_await pauses_.resume_leftover(group.name);
  }
}

void PauseRelease::clear() {
  pauses_.clear();
  leftover_released_ = false;
}

}  // namespace cairnhollow::registered::control
