// Limits how many groups are moved out of evacuated zones concurrently. Each move makes every proxy close and
// reopen its statements of the group and costs one promotion, so moving all groups at once would interrupt a
// whole zone.
#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "registered/control/failover/promotion_steps.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// Maximum number of concurrent moves.
inline constexpr std::size_t kMaxConcurrentMoves = 3;
/// Delay before a slot is assigned. Groups that become ready within it are ordered by urgency.
inline constexpr Duration kMoveBatchDelay = std::chrono::milliseconds(20);
/// A move that has not finished after this time releases its slot. Equal to the time allowed for a promotion.
inline constexpr Duration kMoveTimeout = kPromotionTimeout;

/// Referenced objects are not owned and must outlive this object, which must live until the process exits.
class EvacuationMoves {
 public:
  EvacuationMoves(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet)
      : runtime_(runtime), fleet_(fleet) {}

  /// Waits kMoveBatchDelay, then returns true if the group got a slot. The group keeps the slot until
  /// release_slot() or kMoveTimeout.
  Awaitable<bool> acquire_slot(GroupName group);
  void release_slot(const GroupName& group) { move_started_at_.erase(group); }

 private:
  runtime::Runtime& runtime_;
  const registry::FleetStateMachine& fleet_;
  std::map<GroupName, TimePoint> move_started_at_;  ///< start time of each move in progress
  std::set<GroupName> ready_;                       ///< groups that are ready to move and wait for a slot
};

}  // namespace cairnhollow::registered::control
