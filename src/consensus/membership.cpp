#include "consensus/membership.h"

#include <algorithm>

#include "consensus/knobs.h"

namespace cairnhollow::consensus {
namespace {

Reason failure(ReasonCode code, const std::string& step, const NodeName& peer, std::string detail) {
  return Reason{code, step, peer.value, std::move(detail)};
}

std::vector<Member> without(const std::vector<Member>& members, const MemberKey& key) {
  std::vector<Member> rest;
  std::copy_if(members.begin(), members.end(), std::back_inserter(rest),
               [&](const Member& member) { return key_of(member) != key; });
  return rest;
}

std::size_t count_voters(const std::vector<Member>& members) {
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const Member& member) {
    return member.role == MemberRole::kVoter;
  }));
}

}  // namespace

Awaitable<bool> Membership::add(std::shared_ptr<Leadership> leadership, Member member, TimePoint deadline,
                                Reason& reason) {
  auto change = std::make_shared<Change>(Change{std::move(leadership), deadline, "add_member"});
  const bool begun = co_await begin(change, reason);
  if (!begun) co_return false;
  const bool done = co_await run_add(change, std::move(member), reason);
  running_ = false;
  co_return done;
}

Awaitable<bool> Membership::remove(std::shared_ptr<Leadership> leadership, NodeName node, TimePoint deadline,
                                   Reason& reason) {
  auto change = std::make_shared<Change>(Change{std::move(leadership), deadline, "remove_member"});
  const bool begun = co_await begin(change, reason);
  if (!begun) co_return false;
  const bool done = co_await run_remove(change, std::move(node), reason);
  running_ = false;
  co_return done;
}

Awaitable<bool> Membership::replace(std::shared_ptr<Leadership> leadership, NodeName lost, Member replacement,
                                    TimePoint deadline, Reason& reason) {
  auto change = std::make_shared<Change>(Change{std::move(leadership), deadline, "replace_member"});
  const bool begun = co_await begin(change, reason);
  if (!begun) co_return false;
  const bool done = co_await run_replace(change, std::move(lost), std::move(replacement), reason);
  running_ = false;
  co_return done;
}

Awaitable<bool> Membership::begin(std::shared_ptr<Change> change, Reason& reason) {
  if (change->leadership == nullptr) {
    reason = failure(ReasonCode::kNotLeader, change->step, state_.leader(), "this node is not the leader");
    co_return false;
  }
  if (running_) {
    reason =
        failure(ReasonCode::kConflict, change->step, NodeName{}, "another membership change is in progress");
    co_return false;
  }
  running_ = true;
  // A change is safe only once an entry of the leader's term is committed, together with any uncommitted
  // change of an earlier leader (Ongaro, "bug in single-server membership changes", raft-dev, 2015).
  Leadership& leadership = *change->leadership;
  bool in_time = true;
  const auto settled = [&] {
    return leadership.has_committed_own_entry() && !state_.configuration().is_joint() &&
           state_.history().latest_index() <= state_.commit_index();
  };
  while (leadership.active() && !settled() && in_time) {
    in_time = co_await leadership.progress().wait_until(change->deadline);
  }
  if (leadership.active() && settled()) co_return true;
  running_ = false;
  reason = failure(leadership.active() ? ReasonCode::kNoQuorum : ReasonCode::kNotLeader, change->step,
                   state_.leader(), "an earlier entry or membership change was not committed");
  co_return false;
}

Awaitable<bool> Membership::run_add(std::shared_ptr<Change> change, Member member, Reason& reason) {
  const bool known = co_await resolve_identity(change, member, reason);
  if (!known) co_return false;
  if (!check_no_conflict(*change, member, NodeName{}, reason)) co_return false;
  const Member* present = state_.configuration().find(key_of(member));
  if (present != nullptr && present->role == MemberRole::kVoter) member.role = MemberRole::kVoter;
  if (present != nullptr && *present == member) co_return true;
  if (present == nullptr || present->role == member.role) {
    // A new member joins as a learner; a change of endpoint or zone keeps the role.
    const MemberRole role = present == nullptr ? MemberRole::kLearner : member.role;
    const bool entered = co_await commit_member(change, member, role, reason);
    if (!entered || role == member.role) co_return entered;
  }
  const bool caught_up = co_await wait_caught_up(change, key_of(member), reason);
  if (!caught_up) co_return false;
  co_return co_await commit_member(change, std::move(member), MemberRole::kVoter, reason);
}

Awaitable<bool> Membership::run_remove(std::shared_ptr<Change> change, NodeName node, Reason& reason) {
  const Member* present = state_.configuration().find(node);
  if (present == nullptr) {
    reason = failure(ReasonCode::kNotFound, change->step, node, "no member has this name");
    co_return false;
  }
  Configuration next = state_.configuration();
  next.members = without(next.members, key_of(*present));
  if (count_voters(next.members) == 0) {
    reason = failure(ReasonCode::kInvalidArgument, change->step, node, "cannot remove the last voter");
    co_return false;
  }
  co_return co_await commit(change, std::move(next), reason);
}

Awaitable<bool> Membership::run_replace(std::shared_ptr<Change> change, NodeName lost, Member replacement,
                                        Reason& reason) {
  const bool known = co_await resolve_identity(change, replacement, reason);
  if (!known) co_return false;
  replacement.role = MemberRole::kVoter;
  const MemberKey key = key_of(replacement);
  const auto& members = state_.configuration().members;
  const auto found = std::find_if(members.begin(), members.end(), [&](const Member& member) {
    return member.node == lost && member.role == MemberRole::kVoter && key_of(member) != key;
  });
  if (found == members.end()) {
    if (state_.configuration().is_voter(key)) co_return true;  // already done by an earlier call
    reason = failure(ReasonCode::kNotFound, change->step, lost, "no voter has this name");
    co_return false;
  }
  const MemberKey lost_key = key_of(*found);
  if (state_.configuration().is_voter(key)) {
    reason = failure(ReasonCode::kInvalidArgument, change->step, replacement.node,
                     "the replacement is already a voter");
    co_return false;
  }
  if (!check_no_conflict(*change, replacement, lost, reason)) co_return false;
  if (state_.configuration().find(key) == nullptr) {
    const bool added = co_await commit_member(change, replacement, MemberRole::kLearner, reason);
    if (!added) co_return false;
  }
  const bool caught_up = co_await wait_caught_up(change, key, reason);
  if (!caught_up) co_return false;
  Configuration joint = state_.configuration();
  joint.next_members = without(without(joint.members, lost_key), key);
  joint.next_members.push_back(replacement);
  const std::uint64_t joint_index = state_.log().last_index() + 1;
  const bool joined = co_await commit(change, std::move(joint), reason);
  if (!joined) co_return false;
  // Leadership appends the final configuration once the joint one is committed.
  const std::uint64_t final_index = state_.history().latest_index();
  if (final_index == joint_index) co_return true;
  co_return co_await wait_committed(change, final_index, reason);
}

Awaitable<bool> Membership::resolve_identity(std::shared_ptr<Change> change, Member& member, Reason& reason) {
  if (!member.identity.empty()) co_return true;
  PeerRequest request = peers_.make_request(member, HeartbeatRequest{});
  const auto channel = peers_.channel(member);
  const auto answer = co_await channel->call(std::move(request), change->deadline, reason);
  if (!answer) co_return false;
  member.identity = answer->identity;
  co_return change->leadership->active();
}

bool Membership::check_no_conflict(const Change& change, const Member& member, const NodeName& replaced,
                                   Reason& reason) const {
  for (const Member& other : state_.configuration().members) {
    if (key_of(other) == key_of(member) || other.node == replaced) continue;
    if (other.node == member.node) {
      reason = failure(ReasonCode::kConflict, change.step, member.node,
                       "a member with this name has a different identity; replace or remove it");
      return false;
    }
    if (other.endpoint == member.endpoint) {
      reason =
          failure(ReasonCode::kConflict, change.step, other.node, "this member already uses the endpoint");
      return false;
    }
  }
  return true;
}

Awaitable<bool> Membership::commit_member(std::shared_ptr<Change> change, Member member, MemberRole role,
                                          Reason& reason) {
  member.role = role;
  Configuration next = state_.configuration();
  next.members = without(next.members, key_of(member));
  next.members.push_back(std::move(member));
  co_return co_await commit(change, std::move(next), reason);
}

Awaitable<bool> Membership::wait_caught_up(std::shared_ptr<Change> change, MemberKey key, Reason& reason) {
  Leadership& leadership = *change->leadership;
  bool in_time = true;
  while (leadership.active()) {
    const auto replicator = leadership.replicator(key);
    const std::uint64_t match = replicator == nullptr ? 0 : replicator->match_index();
    if (match > 0 && match + kMaxLearnerLagEntries >= state_.log().last_index()) co_return true;
    if (!in_time) {
      reason = failure(ReasonCode::kDeadlineExceeded, change->step, key.node,
                       "the learner did not catch up before the deadline and remains a learner");
      co_return false;
    }
    in_time = co_await leadership.progress().wait_until(change->deadline);
  }
  reason = failure(ReasonCode::kNotLeader, change->step, state_.leader(),
                   "leadership was lost during the membership change");
  co_return false;
}

Awaitable<bool> Membership::commit(std::shared_ptr<Change> change, Configuration configuration,
                                   Reason& reason) {
  if (!change->leadership->active()) {
    reason = failure(ReasonCode::kNotLeader, change->step, state_.leader(),
                     "leadership was lost during the membership change");
    co_return false;
  }
  std::string payload = wire::encode(configuration);
  const auto index = change->leadership->append(EntryKind::kConfiguration, std::move(payload));
  co_return co_await wait_committed(change, index, reason);
}

Awaitable<bool> Membership::wait_committed(std::shared_ptr<Change> change, std::uint64_t index,
                                           Reason& reason) {
  Leadership& leadership = *change->leadership;
  bool in_time = true;
  while (leadership.active() && state_.commit_index() < index && in_time) {
    in_time = co_await leadership.progress().wait_until(change->deadline);
  }
  // A leader that removed itself is no longer leader, but the committed entry is still its own.
  const bool own = state_.log().term_at(index) == leadership.term();
  if (state_.commit_index() >= index && own) co_return true;
  reason = failure(ReasonCode::kOutcomeUnknown, change->step, NodeName{},
                   "leadership was lost or the deadline passed before the change was committed");
  co_return false;
}

}  // namespace cairnhollow::consensus
