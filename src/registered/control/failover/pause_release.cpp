#include "registered/control/failover/pause_release.h"

namespace cairnhollow::registered::control {

Awaitable<void> PauseRelease::release(GroupName group) {
  if (!pauses_.any(group)) co_return;
  const bool confirmed = co_await terms_.pass_quorum_round();
  if (confirmed && terms_.leads()) co_await pauses_.resume(group);
}

bool PauseRelease::release_left() {
  if (released_left_) return false;
  released_left_ = true;
  runtime_.spawn("resume_left_members", release_left_members());
  return true;
}

Awaitable<void> PauseRelease::release_left_members() {
  const bool confirmed = co_await terms_.pass_quorum_round();
  if (!confirmed) {
    released_left_ = false;
    co_return;
  }
  for (const auto& group : fleet_.groups()) {
    const auto term = terms_.find(group.name);
    if (!terms_.leads()) co_return;
    if (term && term->open) co_await pauses_.resume_left(group.name);
  }
}

void PauseRelease::forget() {
  pauses_.forget();
  released_left_ = false;
}

}  // namespace cairnhollow::registered::control
