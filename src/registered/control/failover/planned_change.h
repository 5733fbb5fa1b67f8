// Planned switchover: replaces a running primary that leaves, or whose zone is evacuated. It takes the place
// of the phases "suspect" and "confirm" and shares all others from the close on.
//
// Postcondition: immediately before the close, a backend that may be promoted lacked at most kMaxSuccessorLag
// commits, so that the group stays closed for little longer than its proxies take to acknowledge the fence.
#pragma once

#include <optional>
#include <string>

#include "registered/control/failover/evacuation_moves.h"
#include "registered/control/failover/group_prober.h"
#include "registered/registry/state_machine.h"

namespace cairnhollow::registered::control {

/// A running primary is replaced once a successor lacks at most this many commits.
inline constexpr std::uint64_t kMaxSuccessorLag = 8;

/// Returns the reason, for the log, why the term's primary is to be replaced while it runs. Empty if it is
/// not to be replaced or has no possible successor.
std::string planned_change_cause(const registry::GroupTerm& term, const registry::FleetStateMachine& fleet);
/// Whether the backend may succeed the term's primary in a planned change. It must not be leaving, and must
/// be outside evacuated zones unless the primary leaves from such a zone or is gone.
bool is_planned_successor(const registry::BackendEntry& entry, const registry::GroupTerm& term,
                          const registry::FleetStateMachine& fleet);
/// `primary` and `successor` are the positions up to which each has received; empty if it did not answer.
/// Returns true if the successor answered and lacks at most kMaxSuccessorLag commits, or if it answered and
/// the primary did not.
bool is_caught_up(const std::optional<Position>& primary, const std::optional<Position>& successor);

/// Referenced objects are not owned and must outlive this object, which must live until the process exits.
class PlannedChange {
 public:
  PlannedChange(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet, GroupProber& prober)
      : fleet_(fleet), prober_(prober), moves_(runtime, fleet) {}

  /// Whether the group may be closed for its planned change now: a successor has caught up, and a move out of
  /// an evacuated zone has got one of the slots for concurrent moves.
  Awaitable<bool> is_ready(registry::GroupTerm term);
  /// Releases the slot of the group's move, if any. Called when the group is open.
  void finish(const GroupName& group) { moves_.release_slot(group); }

 private:
  Awaitable<bool> has_successor(registry::GroupTerm term);

  const registry::FleetStateMachine& fleet_;
  GroupProber& prober_;
  EvacuationMoves moves_;
};

}  // namespace cairnhollow::registered::control
