#include "registered/control/failover/evacuation_moves.h"

#include <algorithm>

#include "registered/control/failover/group_urgency.h"

namespace cairnhollow::registered::control {

Awaitable<bool> EvacuationMoves::take(GroupName group) {
  ready_.insert(group);
  co_await runtime_.sleep_for(kMoveGathering);
  const TimePoint now = runtime_.now();
  // A group that cannot be reopened must not hold its slot indefinitely.
  std::erase_if(moving_, [now](const auto& entry) { return now - entry.second > kMoveLimit; });
  std::size_t free = kMostMoves - std::min(moving_.size(), kMostMoves);
  bool taken = false;
  for (const GroupName& ready : groups_by_urgency(group_urgencies(fleet_.groups(), fleet_.routes()))) {
    if (free == 0 || taken) break;
    if (ready_.count(ready) == 0) continue;
    --free;
    taken = ready == group;
  }
  ready_.erase(group);
  if (taken) moving_[group] = now;
  co_return taken;
}

}  // namespace cairnhollow::registered::control
