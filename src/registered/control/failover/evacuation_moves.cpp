#include "registered/control/failover/evacuation_moves.h"

#include <algorithm>

#include "registered/control/failover/group_urgency.h"

namespace cairnhollow::registered::control {

Awaitable<bool> EvacuationMoves::acquire_slot(GroupName group) {
  ready_.insert(group);
  co_await runtime_.sleep_for(kMoveBatchDelay);
  const TimePoint now = runtime_.now();
  // A group that cannot be reopened must not hold its slot indefinitely.
  std::erase_if(move_started_at_, [now](const auto& entry) { return now - entry.second > kMoveTimeout; });
  std::size_t free_slots = kMaxConcurrentMoves - std::min(move_started_at_.size(), kMaxConcurrentMoves);
  bool acquired = false;
  for (const GroupName& ready : groups_by_urgency(group_urgencies(fleet_.groups(), fleet_.routes()))) {
    if (free_slots == 0 || acquired) break;
    if (ready_.count(ready) == 0) continue;
    --free_slots;
    acquired = ready == group;
  }
  ready_.erase(group);
  if (acquired) move_started_at_[group] = now;
  co_return acquired;
}

}  // namespace cairnhollow::registered::control
