// Closes and opens groups through the replicated log, for all failover phases. Closing is the fence: a proxy
// that has learned of it no longer uses the old primary. Opening names the next primary, which may be the
// same one. Both commands carry the epoch that they follow, so that a decision for an earlier close has no
// effect on a later one.
#pragma once

#include <optional>
#include <string>

#include "consensus/consensus.h"
#include "registered/control/leader_calls.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// Delay before the next attempt for a group whose next primary cannot be determined yet.
inline constexpr Duration kFailoverRetryDelay = std::chrono::milliseconds(100);

/// Referenced objects are not owned and must outlive this object, which must live until the process exits.
class GroupTerms {
 public:
  GroupTerms(runtime::Runtime& runtime, consensus::Consensus& consensus,
             const registry::FleetStateMachine& fleet, LeaderCalls& calls)
      : runtime_(runtime), consensus_(consensus), fleet_(fleet), calls_(calls) {}

  /// Makes leads() return false from now on.
  void stop() { stopping_ = true; }
  /// Whether this node is the leader as far as it knows; another one may have been elected since.
  [[nodiscard]] bool leads() const { return !stopping_ && consensus_.leads(); }
  /// Completes a read barrier. Returns true if a quorum round that started after the call finished within
  /// kCommitTimeout; if leads() also returns true then, this node was the leader at some point since the
  /// call.
  Awaitable<bool> complete_read_barrier();
  /// Returns std::nullopt if no primary has been found for the group yet.
  [[nodiscard]] std::optional<registry::GroupTerm> find(const GroupName& group) const;
  /// Whether the group is still in the given close. Another leader may have opened it, or closed it again,
  /// since.
  [[nodiscard]] bool is_still_closed(const registry::GroupTerm& closed) const;

  /// Returns true once the close is committed, false if it was rejected or its outcome is unknown.
  Awaitable<bool> close(registry::GroupTerm term, std::string why);
  /// Opens the group with `primary`, which is primary of `term`. Returns as close().
  Awaitable<bool> open(registry::GroupTerm closed, registry::BackendIncarnation primary, std::uint64_t term,
                       registry::TermStart start, std::string why);
  /// Records that a remaining member holds what the departed members held. Returns as close().
  Awaitable<bool> settle(registry::GroupTerm term, std::vector<registry::DepartedMember> departed);
  /// Logs a failover event with the fields of the term.
  void log(const char* event, const registry::GroupTerm& term, const std::string& why);

 private:
  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  const registry::FleetStateMachine& fleet_;
  LeaderCalls& calls_;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
