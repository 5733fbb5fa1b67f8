// Failover phase "confirm", and the demotion of the old primary.
//
// Precondition: the promotion of the chosen backend was requested (promotion_requests.h).
// Postcondition: a term returned by wait_until_leading() is led by the incarnation that was chosen, with at
// least the log that it was chosen for. Only then is the group opened with it.
#pragma once

#include <optional>

#include "registered/control/failover/group_prober.h"
#include "registered/control/failover/group_terms.h"
#include "registered/control/failover/promotion_requests.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

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
  Promotion(runtime::Runtime& runtime, const registry::FleetStateMachine& fleet, GroupTerms& terms,
            GroupProber& prober, PromotionRequests& requests)
      : runtime_(runtime), fleet_(fleet), terms_(terms), prober_(prober), requests_(requests) {}

  /// Returns the term that `chosen` leads. Returns std::nullopt after kPromotionTimeout, when this node is no
  /// longer the leader, and when the chosen incarnation has ended or has less of the log than it was chosen
  /// for because it restarted.
  Awaitable<std::optional<std::uint64_t>> wait_until_leading(registry::GroupTerm closed,
                                                             MemberFinding chosen);
  /// Sends the group's old primary requests to step down from any term below `term`, until it is no longer
  /// primary, the group has another term, or kDemoteTimeout has passed.
  Awaitable<void> step_down(GroupName group, BackendName old_primary, std::uint64_t term);

 private:
  runtime::Runtime& runtime_;
  const registry::FleetStateMachine& fleet_;
  GroupTerms& terms_;
  GroupProber& prober_;
  PromotionRequests& requests_;
};

}  // namespace cairnhollow::registered::control
