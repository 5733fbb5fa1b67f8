// Which groups are moved out of evacuated zones at once. Each move makes every proxy close and open its
// statements of the group and takes one promotion, so that all at once would stop a whole zone's groups.
#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "registered/control/failover/promotion_steps.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// Groups that are moved at once. Chosen, not measured.
inline constexpr std::size_t kMostMoves = 3;
/// Groups that become ready within this time go by urgency. Chosen, not measured.
inline constexpr Duration kMoveGathering = std::chrono::milliseconds(20);
/// A move that has not ended by then holds up the others no longer: as long as a promotion is waited for.
inline constexpr Duration kMoveLimit = kPromotionLimit;

/// The objects that it is given outlive it; it lives until the process ends.
class EvacuationMoves {
 public:
  EvacuationMoves(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet)
      : runtime_(runtime), fleet_(fleet) {}

  /// Whether the group has a place among those that are moved, after kMoveGathering. It keeps the place until
  /// end().
  Awaitable<bool> take(GroupName group);
  void end(const GroupName& group) { moving_.erase(group); }

 private:
  runtime::Runtime& runtime_;
  const registry::FleetStateMachine& fleet_;
  std::map<GroupName, TimePoint> moving_;  ///< since when each has its place
  std::set<GroupName> ready_;              ///< groups that could be moved and wait for a place
};

}  // namespace cairnhollow::registered::control
