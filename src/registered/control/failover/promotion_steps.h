// Failover phases "promote" and "confirm", and the demotion of the old primary.
//
// Precondition: the chosen backend holds every acknowledged commit, and no proxy can use the old primary once
// the chosen backend is promoted (log_comparison.h).
// Postcondition: a term returned by wait_until_leading() is led by the incarnation that was chosen, with at
// least the log that it was chosen for. Only then is the group opened with it.
#pragma once

#include <optional>

#include "consensus/consensus.h"
#include "registered/control/failover/group_prober.h"
#include "registered/control/failover/group_terms.h"
#include "registered/registry/control_service.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// Maximum age of the read barrier when a promotion is requested. A control node that was suspended in
/// between may have a successor that decided otherwise.
inline constexpr Duration kMaxReadBarrierAge = std::chrono::milliseconds(200);
/// Timeout of the platform's answer to a promotion request.
inline constexpr Duration kPromotionCallTimeout = std::chrono::milliseconds(1000);
/// Polling interval for the promoted backend's status.
inline constexpr Duration kPromotionPollInterval = std::chrono::milliseconds(30);
/// A promotion that has not taken effect after this time is requested again.
inline constexpr Duration kPromotionTimeout = std::chrono::seconds(3);
/// Total time for which, and interval at which, the old primary is sent demote requests.
inline constexpr Duration kDemoteTimeout = std::chrono::seconds(30);
inline constexpr Duration kDemoteInterval = std::chrono::milliseconds(500);

/// Referenced objects are not owned and must outlive this object, which must live until the process exits.
class Promotion {
 public:
  /// `node` is this control node, which is passed to the platform as the holder of the promotion duty.
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

  /// Returns true if the promotion was requested or may have been. Returns false if it was rejected, this
  /// node is not certainly the leader, another incarnation of the backend has registered, or the close is no
  /// longer current.
  Awaitable<bool> order(registry::GroupTerm closed, registry::BackendIncarnation chosen);
  /// Returns the term that `chosen` leads. Returns std::nullopt after kPromotionTimeout, when this node is no
  /// longer the leader, and when the chosen incarnation has ended or has less of the log than it was chosen
  /// for because it restarted.
  Awaitable<std::optional<std::uint64_t>> wait_until_leading(registry::GroupTerm closed,
                                                             MemberFinding chosen);
  /// Sends the group's old primary requests to step down from any term below `term`, until it is no longer
  /// primary, the group has another term, or kDemoteTimeout has passed.
  Awaitable<void> step_down(GroupName group, BackendName old_primary, std::uint64_t term);

 private:
  /// Logs one step of a request: the term in which it was decided, the present one, and the age of the read
  /// barrier that confirmed this node as the leader.
  void log(const char* event, const registry::PromotionOrder& order, std::uint64_t epoch,
           TimePoint barrier_started_at, const std::string& why);

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  const registry::FleetStateMachine& fleet_;
  GroupTerms& terms_;
  GroupProber& prober_;
  registry::PromotionCaller& caller_;
  NodeName node_;
};

}  // namespace cairnhollow::registered::control
