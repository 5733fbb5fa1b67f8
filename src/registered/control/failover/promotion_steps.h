// Phases "promote" and "confirm" of a change of primary, and the old primary's way out of its role.
//
// Invariant taken over: the chosen backend holds every acknowledged commit, and no proxy can use the old
// primary once the chosen one is promoted (log_comparison.h).
// Invariant handed on: a term that wait_until_leading() tells is led by the very incarnation that was chosen,
// with no less of the log than it was chosen for. Only then is the group opened with it.
#pragma once

#include <optional>

#include "consensus/consensus.h"
#include "registered/control/failover/group_prober.h"
#include "registered/control/failover/group_terms.h"
#include "registered/registry/control_service.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// An order is given only when the quorum round before it began at most this long ago: a control node that
/// was frozen in between may have a successor that decided otherwise. Chosen, not measured.
inline constexpr Duration kPromotionFreshness = std::chrono::milliseconds(200);
/// Longest wait for the platform's answer to an order. Chosen, not measured.
inline constexpr Duration kPromotionCallTimeout = std::chrono::milliseconds(1000);
/// Pause between questions whether a promoted backend leads. Chosen, not measured.
inline constexpr Duration kPromotionPoll = std::chrono::milliseconds(30);
/// A promotion that is not seen by then is ordered again. Chosen, not measured.
inline constexpr Duration kPromotionLimit = std::chrono::seconds(3);
/// An old primary is told to step down again and again for this long, with this pause. Chosen, not measured.
inline constexpr Duration kDemoteLimit = std::chrono::seconds(30);
inline constexpr Duration kDemotePause = std::chrono::milliseconds(500);

/// The objects that it is given outlive it; it lives until the process ends.
class Promotion {
 public:
  /// `node`: this one, as the holder of the platform's duty.
  Promotion(runtime::Runtime& runtime, consensus::Consensus& consensus,
            const registry::FleetStateMachine& fleet, GroupTerms& terms, GroupProber& prober,
            registry::PromotionCaller& caller, NodeName node)
      : runtime_(runtime),
        consensus_(consensus),
        fleet_(fleet),
        terms_(terms),
        prober_(prober),
        caller_(caller),
        node_(std::move(node)) {}

  /// True when the order was given, or may have been. False: it was refused, this node does not lead for
  /// certain, another incarnation of the backend has registered, or the close is past.
  Awaitable<bool> order(registry::GroupTerm closed, registry::BackendIncarnation chosen);
  /// The term that `chosen` leads. Empty after kPromotionLimit, without the lead, and when the chosen
  /// incarnation is over or has less of the log than it was chosen for: it started again meanwhile.
  Awaitable<std::optional<std::uint64_t>> wait_until_leading(registry::GroupTerm closed,
                                                             MemberFinding chosen);
  /// Tells the old primary of the group to step down from any term below `term`, until it says that it has or
  /// the group has another term.
  Awaitable<void> step_down(GroupName group, BackendName old_primary, std::uint64_t term);

 private:
  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  const registry::FleetStateMachine& fleet_;
  GroupTerms& terms_;
  GroupProber& prober_;
  registry::PromotionCaller& caller_;
  NodeName node_;
};

}  // namespace cairnhollow::registered::control
