// Ends the leases that a group's members grant to proxies which control cannot reach
// (registry/member_lease.h), before another backend is promoted. Members are paused, which every later query
// shows, and the leases granted before that are left to expire.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "registered/control/failover/group_prober.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered::control {

/// Referenced objects are not owned and must outlive this object, which must live until the process exits.
class ReplicationPauses {
 public:
  ReplicationPauses(runtime::Runtime& runtime, registry::FleetStateMachine& fleet, GroupProber& prober)
      : runtime_(runtime), fleet_(fleet), prober_(prober) {}

  /// Records when, and at which fleet revision, this node learned of each incarnation of a backend. Called on
  /// every control node, so that a new leader has the times of backends it applied as a follower: these were
  /// committed by then, so every later lease announced them.
  void record_members();
  /// Concurrently pauses the members that may succeed the closed group's primary and are not paused for it
  /// yet.
  Awaitable<void> pause(registry::GroupTerm closed);
  /// Returns the earliest time at which a paused member may be promoted, or `TimePoint::max()` if none is
  /// paused. Ignores incarnations that have ended. `min_unresponsive_revision`: lowest fleet revision known
  /// to the proxies that may hold a member lease.
  [[nodiscard]] TimePoint earliest_promotion(const registry::GroupTerm& closed,
                                             std::uint64_t min_unresponsive_revision) const;
  /// Whether no proxy that has not answered the fence can use the closed term's primary once `candidate` is
  /// promoted. Requires that each such proxy knows the candidate, so that its queries see the pause and then
  /// the new term; and that the candidate has been paused for long enough and, according to `findings`, still
  /// is (it has not restarted). Another member's pause does not suffice: it ends after the promotion, and a
  /// proxy could combine the candidate's answer from before the promotion with the other member's answer from
  /// after its pause.
  [[nodiscard]] bool fences_old_primary(const registry::GroupTerm& closed,
                                        std::uint64_t min_unresponsive_revision,
                                        const std::vector<MemberFinding>& findings,
                                        const BackendName& candidate) const;
  /// Resumes all members of the group that this node paused. Returns false if any may still be paused. Those
  /// that do not answer stay paused until resume_members(), or until a later pause of the group ends.
  Awaitable<bool> resume(GroupName group);
  /// Members that are paused, by whichever leader.
  struct PausedMembers {
    std::vector<registry::BackendEntry> entries;
    bool all_answered = false;  ///< false: further members may be paused
  };
  Awaitable<PausedMembers> find_paused(GroupName group);
  /// Returns true if each of the members has shown that it is not paused.
  Awaitable<bool> resume_members(std::vector<registry::BackendEntry> members);
  /// Whether this node has paused members of the group and not resumed them.
  [[nodiscard]] bool has_paused(const GroupName& group) const { return paused_.count(group) > 0; }
  /// Drops the record of pauses when this node is no longer the leader; its successor takes care of them.
  void clear() { paused_.clear(); }

 private:
  struct GroupPauses {
    std::uint64_t epoch = 0;
    /// Time of each member's answer to the pause. The next incarnation of a member is not paused.
    std::map<registry::BackendIncarnation, TimePoint> since;
    bool has_unanswered = false;  ///< a member that did not answer may be paused all the same
  };
  struct PendingAnswers;

  Awaitable<void> pause_one(std::shared_ptr<PendingAnswers> answers, registry::BackendEntry member,
                            registry::GroupTerm closed);
  Awaitable<void> resume_one(std::shared_ptr<PendingAnswers> answers, registry::BackendEntry member);
  /// Returns when the leases that `member` granted before its pause have expired, including at proxies that
  /// may not know the member.
  [[nodiscard]] TimePoint earliest_promotion(const registry::BackendIncarnation& member, TimePoint paused_at,
                                             std::uint64_t min_unresponsive_revision) const;

  runtime::Runtime& runtime_;
  registry::FleetStateMachine& fleet_;
  GroupProber& prober_;
  struct FirstSeen {
    TimePoint since{};
    std::uint64_t revision = 0;
  };
  std::map<registry::BackendIncarnation, FirstSeen> first_seen_;
  std::uint64_t recorded_revision_ = 0;
  std::map<GroupName, GroupPauses> paused_;
};

}  // namespace cairnhollow::registered::control
