#include "registered/control/failover/planned_change.h"

#include <algorithm>

namespace cairnhollow::registered::control {

using registry::BackendEntry;
using registry::GroupTerm;

bool is_planned_successor(const BackendEntry& entry, const GroupTerm& term,
                          const registry::FleetStateMachine& fleet) {
  if (entry.name == term.primary || entry.leaving) return false;
  if (!fleet.is_evacuated(entry.zone)) return true;
  // A successor inside an evacuated zone gains nothing unless the primary is inside one too and leaves, or is
  // gone.
  const BackendEntry* primary = fleet.find_backend(term.primary);
  return primary == nullptr || (primary->leaving && fleet.is_evacuated(primary->zone));
}

std::string planned_change_cause(const GroupTerm& term, const registry::FleetStateMachine& fleet) {
  const BackendEntry* primary = fleet.find_backend(term.primary);
  const bool leaves = primary == nullptr || primary->leaving;
  const bool evacuated = primary != nullptr && fleet.is_evacuated(primary->zone);
  if (!leaves && !evacuated) return {};
  const auto members = fleet.backends_of(term.group);
  const bool has_candidate = std::any_of(members.begin(), members.end(), [&](const BackendEntry& entry) {
    return is_planned_successor(entry, term, fleet);
  });
  if (!has_candidate) return {};
  return leaves ? "the primary is leaving or is no longer registered"
                : "the primary's zone " + primary->zone.value + " is evacuated";
}

bool is_caught_up(const std::optional<Position>& primary, const std::optional<Position>& successor) {
  return successor && (!primary || successor->index + kMaxSuccessorLag >= primary->index);
}

Awaitable<bool> PlannedChange::is_ready(GroupTerm term) {
  const bool ready = co_await has_successor(term);
  const BackendEntry* primary = fleet_.find_backend(term.primary);
  // A leaving primary stops soon, and leaving primaries are already staggered, so it needs no slot.
  const bool needs_slot = primary != nullptr && !primary->leaving;
  if (!ready || !needs_slot) co_return ready;
  co_return co_await moves_.acquire_slot(term.group);
}

Awaitable<bool> PlannedChange::has_successor(GroupTerm term) {
  const auto findings = co_await prober_.query_all(fleet_.backends_of(term.group));
  std::optional<Position> primary;
  std::optional<Position> successor;
  for (const MemberFinding& member : findings) {
    if (!member.status) continue;
    if (member.entry.name == term.primary) primary = member.status->received;
    if (is_planned_successor(member.entry, term, fleet_))
      successor = std::max(successor.value_or(Position{}), member.status->received);
  }
  co_return is_caught_up(primary, successor);
}

}  // namespace cairnhollow::registered::control
