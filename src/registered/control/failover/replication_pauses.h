// Ends the leases that a group's members give to proxies out of control's reach (registry/member_lease.h),
// before another backend is promoted: members are paused, which every later question shows, and the leases
// that were given before are waited out.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "registered/control/failover/group_prober.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// The objects that it is given outlive it; it lives until the process ends.
class ReplicationPauses {
 public:
  ReplicationPauses(runtime::Runtime& runtime, registry::FleetStateMachine& fleet, GroupProber& prober)
      : runtime_(runtime), fleet_(fleet), prober_(prober) {}

  /// Records since when, and at which revision of the fleet, each incarnation of a backend is known here.
  /// Called on every control node, so that a new leader knows it of the backends that it applied as a
  /// follower: committed by then, they were told with every later lease.
  void record_members();
  /// Pauses the members that may follow the closed group's primary and are not paused for it yet, all at
  /// once.
  Awaitable<void> pause(registry::GroupTerm closed);
  /// When a paused member may be promoted at the earliest; `TimePoint::max()` while none is paused.
  /// Incarnations that are over count for nothing. `silent_revision`: what each proxy that may hold one knows
  /// of the fleet, at least.
  [[nodiscard]] TimePoint quiet_at(const registry::GroupTerm& closed, std::uint64_t silent_revision) const;
  /// Whether no silent proxy can use the closed term's primary once `candidate` is promoted: each of them
  /// knows the candidate, whose pause and then whose new term shows to every question, and the candidate has
  /// been paused for long enough and still is, by what it says in `findings` (it has not restarted
  /// meanwhile). Another member's pause would not do: it ends after the promotion, and a proxy could join the
  /// candidate's answer from before the promotion with the other's from after its pause.
  [[nodiscard]] bool hold(const registry::GroupTerm& closed, std::uint64_t silent_revision,
                          const std::vector<MemberFinding>& findings, const BackendName& candidate) const;
  /// Lets all members receive again that were paused here. Those that do not answer are told again by
  /// resume_left().
  Awaitable<void> resume(GroupName group);
  /// Lets members of an open group receive again that somebody left paused.
  Awaitable<void> resume_left(GroupName group);
  /// Whether members of the group were paused here and not told to receive again.
  [[nodiscard]] bool any(const GroupName& group) const { return paused_.count(group) > 0; }
  /// This node does not lead any more: what it paused is another's concern.
  void forget() { paused_.clear(); }

 private:
  struct GroupPauses {
    std::uint64_t epoch = 0;
    /// When the member had answered the pause. Its next incarnation is not paused.
    std::map<registry::BackendIncarnation, TimePoint> since;
  };
  struct Answers;

  Awaitable<void> pause_one(std::shared_ptr<Answers> answers, registry::BackendEntry member,
                            registry::GroupTerm closed);
  Awaitable<void> resume_one(std::shared_ptr<Answers> answers, registry::BackendEntry member);
  /// When leases that `member` gave before its pause are over, at proxies that may not know it as well.
  [[nodiscard]] TimePoint quiet_at(const registry::BackendIncarnation& member, TimePoint paused_at,
                                   std::uint64_t silent_revision) const;

  runtime::Runtime& runtime_;
  registry::FleetStateMachine& fleet_;
  GroupProber& prober_;
  struct Known {
    TimePoint since{};
    std::uint64_t revision = 0;
  };
  std::map<registry::BackendIncarnation, Known> known_;
  std::uint64_t recorded_revision_ = 0;
  std::map<GroupName, GroupPauses> paused_;
};

}  // namespace cairnhollow::registered::control
