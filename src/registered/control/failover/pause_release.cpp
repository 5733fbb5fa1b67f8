#include "registered/control/failover/pause_release.h"

#include <algorithm>
#include <utility>

namespace cairnhollow::registered::control {

Awaitable<void> PauseRelease::release(GroupName group) {
  if (!pauses_.has_paused(group)) co_return;
  const bool confirmed = co_await terms_.complete_read_barrier();
  bool released = false;
  if (confirmed && terms_.leads()) released = co_await pauses_.resume(group);
  if (!released) start_retries(group);
}

bool PauseRelease::release_leftover() {
  if (leftover_released_) return false;
  leftover_released_ = true;
  runtime_.spawn("resume_left_members", release_leftover_members());
  return true;
}

Awaitable<void> PauseRelease::release_leftover_members() {
  for (const auto& group : fleet_.groups()) {
    if (!terms_.leads()) co_return;
    const bool released = co_await release_leftover_of(group.name);
    if (!released) start_retries(group.name);
  }
}

Awaitable<bool> PauseRelease::release_leftover_of(GroupName group) {
  const auto is_open = [&] {
    const auto term = terms_.find(group);
    return term && term->open && !pauses_.has_paused(group);
  };
  if (!is_open()) co_return false;
  ReplicationPauses::PausedMembers paused = co_await pauses_.find_paused(group);
  if (paused.entries.empty()) {
    if (!paused.all_answered) co_return false;
    co_return is_open();
  }
  const bool confirmed = co_await terms_.complete_read_barrier();
  if (confirmed && terms_.leads() && is_open()) co_await pauses_.resume_members(std::move(paused.entries));
  co_return false;
}

void PauseRelease::start_retries(const GroupName& group) {
  if (retrying_.insert(group).second) runtime_.spawn("resume_left_members", retry_leftover(group));
}

Awaitable<void> PauseRelease::retry_leftover(GroupName group) {
  Duration delay = kLeftoverRetryDelay;
  bool released = false;
  while (!released && terms_.leads()) {
    co_await runtime_.sleep_for(delay);
    const auto term = terms_.find(group);
    const bool is_open = term && term->open;
    if (is_open) co_await release(group);
    if (is_open) released = co_await release_leftover_of(group);
    delay = is_open ? std::min(2 * delay, kMaxLeftoverRetryDelay) : kLeftoverRetryDelay;
  }
  retrying_.erase(group);
}

void PauseRelease::clear() {
  pauses_.clear();
  leftover_released_ = false;
}

}  // namespace cairnhollow::registered::control
