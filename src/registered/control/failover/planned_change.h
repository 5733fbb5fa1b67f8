// Planned changes of primary: a primary that leaves, or whose zone is evacuated, is replaced while it runs.
// They take the place of the phases "suspect" and "confirm"; from the close on they share all others.
//
// Invariant handed on: a backend that may follow lacked at most kHandOverLag commits right before the close,
// so that the group is closed for little longer than its proxies need to acknowledge the fence.
#pragma once

#include <optional>
#include <string>

#include "registered/control/failover/evacuation_moves.h"
#include "registered/control/failover/group_prober.h"
#include "registered/registry/state_machine.h"

namespace cairnhollow::registered::control {

/// A primary that leaves is given up once another backend lacks at most this many commits. Chosen, not
/// measured.
inline constexpr std::uint64_t kHandOverLag = 8;

/// Why the term's primary is to be replaced while it runs, for the log; empty: it is not, or nobody may
/// follow it.
std::string planned_change_cause(const registry::GroupTerm& term, const registry::FleetStateMachine& fleet);
/// Whether the backend may follow the term's primary in a planned change: it stays, and is outside evacuated
/// zones unless the primary leaves from such a zone or is gone.
bool is_planned_successor(const registry::BackendEntry& entry, const registry::GroupTerm& term,
                          const registry::FleetStateMachine& fleet);
/// `primary` and `successor`: how far each has received; empty: it does not answer. True with a successor
/// that lacks at most kHandOverLag commits, or whose primary does not answer.
bool is_caught_up(const std::optional<Position>& primary, const std::optional<Position>& successor);

/// The objects that it is given outlive it; it lives until the process ends.
class PlannedChange {
 public:
  PlannedChange(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet, GroupProber& prober)
      : fleet_(fleet), prober_(prober), moves_(runtime, fleet) {}

  /// Whether the group may be closed for its planned change now: a successor has caught up, and a move out of
  /// an evacuated zone has a place among those that go on at once.
  Awaitable<bool> is_ready(registry::GroupTerm term);
  /// The group is open: its move, if there was one, has ended.
  void end(const GroupName& group) { moves_.end(group); }

 private:
  Awaitable<bool> has_successor(registry::GroupTerm term);

  const registry::FleetStateMachine& fleet_;
  GroupProber& prober_;
  EvacuationMoves moves_;
};

}  // namespace cairnhollow::registered::control
