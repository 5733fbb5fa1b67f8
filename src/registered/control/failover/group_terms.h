// The close and the opening of a group in the log, for all phases of a change of primary. Close is the fence:
// from the moment in which a proxy knows of it, that proxy uses the old primary no more. Opening names the
// next primary, or the same one again. Both carry the epoch that they follow on, so that what was decided for
// an earlier close has no effect on a later one.
#pragma once

#include <optional>
#include <string>

#include "consensus/consensus.h"
#include "registered/control/leader_calls.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// Pause between attempts at a group whose next primary can't be told yet. Chosen, not measured.
inline constexpr Duration kFailoverRetry = std::chrono::milliseconds(100);

/// The objects that it is given outlive it; it lives until the process ends.
class GroupTerms {
 public:
  GroupTerms(runtime::Runtime& runtime, consensus::Consensus& consensus,
             const registry::FleetStateMachine& fleet, LeaderCalls& calls)
      : runtime_(runtime), consensus_(consensus), fleet_(fleet), calls_(calls) {}

  /// From then on this node counts as one that does not lead.
  void stop() { stopping_ = true; }
  /// By what this node knows; another may lead since.
  [[nodiscard]] bool leads() const { return !stopping_ && consensus_.leads(); }
  /// True when a quorum round that began after the call has ended within kCommitTimeout: if leads() holds
  /// then as well, this node led at some moment since the call.
  Awaitable<bool> pass_quorum_round();
  /// Of the group; empty: nobody was found to lead it yet.
  [[nodiscard]] std::optional<registry::GroupTerm> find(const GroupName& group) const;
  /// Whether the group is in that close: another leader may have opened it, or closed it again, since.
  [[nodiscard]] bool is_still_closed(const registry::GroupTerm& closed) const;

  /// True once the close is in force. False: it was refused, or its outcome is not known.
  Awaitable<bool> close(registry::GroupTerm term, std::string why);
  /// The same for the opening; `term` is the one that `primary` leads.
  Awaitable<bool> open(registry::GroupTerm closed, registry::BackendIncarnation primary, std::uint64_t term,
                       std::string why);
  /// An event of the change of primary, with the term's fields.
  void log(const char* event, const registry::GroupTerm& term, const std::string& why);

 private:
  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  const registry::FleetStateMachine& fleet_;
  LeaderCalls& calls_;
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
