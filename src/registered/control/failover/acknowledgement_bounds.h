// Positions that bound what lost proxies acknowledged. A proxy whose process was replaced, or whose leases
// have all expired, acknowledges nothing more, but cannot be asked any more either. Every commit that it
// acknowledged is at or before any position that the primary shows afterwards. Without such a position,
// nothing proves that a successor holds what the proxy acknowledged (promotion_choice.h).
//
// Kept in memory: a new leader asks again. The evidence does not age, as the log of a term's primary only
// grows.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "registered/control/failover/group_prober.h"
#include "registered/control/failover/group_terms.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// Maximum number of primaries that are queried for a bound at the same time.
inline constexpr std::size_t kMaxBoundQueries = 32;

/// Runs on the leader. Referenced objects are not owned and must outlive this object, which must live until
/// the process exits.
class AcknowledgementBounds {
 public:
  AcknowledgementBounds(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet,
                        GroupTerms& terms, GroupProber& prober)
      : runtime_(runtime), fleet_(fleet), terms_(terms), prober_(prober) {}

  /// Starts a query of the primary of each open group in which a proxy was lost since the last bound, up to
  /// the limit. Does nothing if there is none.
  void refresh();
  /// Whether every proxy that may have acknowledged commits of the term is still admitted, or is covered by
  /// the bound of the term.
  [[nodiscard]] bool cover_lost_proxies(const registry::GroupTerm& term) const;
  /// The position that commits of lost proxies do not exceed. Empty if no proxy was lost since the term
  /// began, or if none is known.
  [[nodiscard]] std::optional<Position> bound_of(const registry::GroupTerm& term) const;

 private:
  /// What the primary of one term showed.
  struct Bound {
    std::uint64_t term = 0;
    registry::BackendIncarnation primary;
    Position position;
    std::uint64_t revision = 0;  ///< proxies lost up to this fleet revision are covered
  };

  Awaitable<void> query_primary(GroupName group);
  /// Returns the bound of this term, or null.
  [[nodiscard]] const Bound* find(const registry::GroupTerm& term) const;

  runtime::Runtime& runtime_;
  const registry::FleetStateMachine& fleet_;
  GroupTerms& terms_;
  GroupProber& prober_;
  std::map<GroupName, Bound> bounds_;
  std::set<GroupName> running_;
  /// Revisions of the last lost proxy and the last change of a term at which every open group was covered.
  std::optional<std::pair<std::uint64_t, std::uint64_t>> covered_at_;
};

}  // namespace cairnhollow::registered::control
