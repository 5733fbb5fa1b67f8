// Membership changes, one at a time (chapter 4). Runs on the leader.
#pragma once

#include <memory>

#include "consensus/leadership.h"

namespace cairnhollow::consensus {

/// A change that fails partway leaves a valid configuration behind (with at most one additional learner), and
/// a retry continues from there. Errors: kNotLeader, kConflict (another change is in progress, or the name or
/// endpoint is in use), kNotFound, kInvalidArgument, kDeadlineExceeded (a learner has not caught up and stays
/// a learner), kOutcomeUnknown (appended, but leadership or time ran out before the commit).
class Membership {
 public:
  Membership(RaftState& state, PeerTable& peers) : state_(state), peers_(peers) {}

  /// Adds a learner. For a voter, then waits until it has caught up (section 4.2.1) and promotes it.
  Awaitable<bool> add(std::shared_ptr<Leadership> leadership, Member member, TimePoint deadline,
                      Reason& reason);
  Awaitable<bool> remove(std::shared_ptr<Leadership> leadership, NodeName node, TimePoint deadline,
                         Reason& reason);
  /// Replaces a voter by another machine, or by itself with a new disk: the replacement catches up as a
  /// learner, then one joint consensus step (section 4.3) gives it the lost member's vote. The number of
  /// voters, and so the quorum size, stays the same.
  Awaitable<bool> replace(std::shared_ptr<Leadership> leadership, NodeName lost, Member replacement,
                          TimePoint deadline, Reason& reason);

 private:
  /// A change in progress on this leader.
  struct Change {
    std::shared_ptr<Leadership> leadership;
    TimePoint deadline;
    std::string step;
  };

  Awaitable<bool> begin(std::shared_ptr<Change> change, Reason& reason);
  Awaitable<bool> run_add(std::shared_ptr<Change> change, Member member, Reason& reason);
  Awaitable<bool> run_remove(std::shared_ptr<Change> change, NodeName node, Reason& reason);
  Awaitable<bool> run_replace(std::shared_ptr<Change> change, NodeName lost, Member replacement,
                              Reason& reason);

  /// Sets the identity to that of the disk found at the member's endpoint, unless it is given.
  Awaitable<bool> resolve_identity(std::shared_ptr<Change> change, Member& member, Reason& reason);
  /// Commits the configuration in which `member`, with `role`, replaces its previous entry if there is one.
  Awaitable<bool> commit_member(std::shared_ptr<Change> change, Member member, MemberRole role,
                                Reason& reason);
  Awaitable<bool> wait_caught_up(std::shared_ptr<Change> change, MemberKey key, Reason& reason);
  Awaitable<bool> commit(std::shared_ptr<Change> change, Configuration configuration, Reason& reason);
  Awaitable<bool> wait_committed(std::shared_ptr<Change> change, std::uint64_t index, Reason& reason);
  bool check_no_conflict(const Change& change, const Member& member, const NodeName& replaced,
                         Reason& reason) const;

  RaftState& state_;
  PeerTable& peers_;
  bool running_ = false;
};

}  // namespace cairnhollow::consensus
