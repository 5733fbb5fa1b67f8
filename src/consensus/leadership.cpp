#include "consensus/leadership.h"

#include <algorithm>
#include <functional>
#include <set>

#include "consensus/leadership_transfer.h"

namespace cairnhollow::consensus {
Leadership::Leadership(RaftState& state, PeerTable& peers)
    : state_(state),
      peers_(peers),
      term_(state.term()),
      progress_(state.runtime()),
      appended_(state.runtime()) {}

void Leadership::start(const std::shared_ptr<Leadership>& self, const VoterIdentities& voters) {
  if (state_.configuration().formed) {
    append(EntryKind::kNoOperation, state_.self().value);  // the payload only identifies the leader
  } else {
    Configuration formed = state_.configuration();
    formed.formed = true;
    for (Member& member : formed.members) {
      const auto voter = voters.find(member.node);
      if (voter != voters.end()) member.identity = voter->second;
    }
    append(EntryKind::kConfiguration, wire::encode(formed));
  }
  update_replicators();
  state_.runtime().spawn("consensus_flush", run_flush(self));
  state_.runtime().spawn("consensus_quorum_check", run_quorum_check(self));
}

void Leadership::end() {
  ended_ = true;
  for (auto& [key, replicator] : replicators_) replicator->stop();
  replicators_.clear();
  progress_.notify_all();
  appended_.notify_all();
}

std::uint64_t Leadership::append(EntryKind kind, std::string payload) {
  state_.append(kind, std::move(payload));
  if (kind == EntryKind::kConfiguration) update_replicators();
  for (auto& [key, replicator] : replicators_) replicator->wake();
  appended_.notify_all();
  return state_.log().last_index();
}

void Leadership::update_replicators() {
  std::map<MemberKey, std::shared_ptr<Replicator>> kept;
  for (const Member& member : state_.configuration().all()) {
    if (is_self(member)) continue;
    auto& replicator = kept[key_of(member)];
    const auto known = replicators_.find(key_of(member));
    if (known != replicators_.end() && known->second->member().endpoint == member.endpoint) {
      replicator = known->second;
      continue;
    }
    replicator = std::make_shared<Replicator>(state_, peers_, member, [this] { record_progress(); });
    replicator->start(replicator);
  }
  for (auto& [key, replicator] : replicators_) {
    const auto still = kept.find(key);
    if (still == kept.end() || still->second != replicator) replicator->stop();
  }
  replicators_ = std::move(kept);
}

Awaitable<void> Leadership::run_flush(std::shared_ptr<Leadership> /*self*/) {
  while (active()) {
    if (state_.log().durable_index() == state_.log().last_index()) {
      co_await appended_.wait();
      continue;
    }
    const bool durable = co_await state_.persist();
    if (durable && active()) advance_commit_index();
  }
}

Awaitable<void> Leadership::run_quorum_check(std::shared_ptr<Leadership> /*self*/) {
  while (active()) {
    const Duration interval = state_.settings().heartbeat_interval;
    const TimePoint due = state_.runtime().now() + interval;
    co_await progress_.wait_until(due);
    // This server was delayed: process answers received meanwhile before declaring followers silent.
    const TimePoint now = state_.runtime().now();
    if (now > due + interval && !delay_excused_) {
      delay_excused_ = true;
      ignore_silence_until_ = now + interval;
    }
    if (!active()) continue;
    if (has_recent_quorum_contact()) delay_excused_ = false;
    if (now < ignore_silence_until_ || has_recent_quorum_contact()) continue;
    const Reason reason{ReasonCode::kNoQuorum, "check_quorum", "",
                        "no quorum answered within the election timeout; stepping down"};
    state_.runtime().logger().log(runtime::LogLevel::kWarning, "consensus_leader_steps_down", reason, {});
    state_.step_down();
  }
}

bool Leadership::has_recent_quorum_contact() const {
  const TimePoint since = state_.runtime().now() - state_.settings().election_timeout;
  return state_.configuration().has_quorum([&](const Member& member) {
    if (is_self(member)) return true;
    const auto known = replicator(key_of(member));
    return known != nullptr && known->last_contact() >= since;
  });
}

bool Leadership::has_committed_own_entry() const {
  return state_.log().term_at(state_.commit_index()) == term_;
}

std::uint64_t Leadership::begin_round() {
  ++round_;
  for (auto& [key, replicator] : replicators_) {
    if (state_.configuration().is_voter(key)) replicator->begin_round(round_);
  }
  return round_;
}

bool Leadership::is_round_confirmed(std::uint64_t round) const {
  return state_.configuration().has_quorum([&](const Member& member) {
    if (is_self(member)) return true;
    const auto known = replicator(key_of(member));
    return known != nullptr && known->acknowledged_round() >= round;
  });
}

std::shared_ptr<Replicator> Leadership::replicator(const MemberKey& key) const {
  const auto found = replicators_.find(key);
  return found == replicators_.end() ? nullptr : found->second;
}

void Leadership::advance_commit_index() {
  std::set<std::uint64_t, std::greater<>> candidates{state_.log().durable_index()};
  for (const auto& [key, replicator] : replicators_) candidates.insert(replicator->match_index());
  for (const std::uint64_t index : candidates) {
    if (index <= state_.commit_index()) return;
    // Section 3.6.2: only entries of the leader's current term are committed by counting replicas.
    if (state_.log().term_at(index) != term_) return;
    // The leader applies only what is on its own disk.
    if (index > state_.log().durable_index()) continue;
    const bool agreed =
        state_.configuration().has_quorum([&](const Member& member) { return match_index(member) >= index; });
    if (!agreed) continue;
    state_.commit_to(index);
    for (auto& [key, replicator] : replicators_) replicator->wake();
    progress_.notify_all();
    complete_joint_change();
    step_down_if_removed();
    return;
  }
}

void Leadership::complete_joint_change() {
  // Section 4.3: once the joint configuration is committed, the current leader appends the next one.
  const Configuration& joint = state_.configuration();
  if (!active() || !joint.is_joint() || state_.history().latest_index() > state_.commit_index()) return;
  Configuration next;
  next.formed = true;
  next.members = joint.next_members;
  append(EntryKind::kConfiguration, wire::encode(next));
}

void Leadership::step_down_if_removed() {
  // Section 4.2.2: a removed leader manages the group until the configuration without it is committed.
  if (!active() || state_.is_voter() || state_.history().latest_index() > state_.commit_index()) return;
  const auto target = choose_transfer_target();
  if (target) send_timeout_now(state_, peers_, *target);
  state_.step_down();
}

std::optional<Member> Leadership::choose_transfer_target() const {
  const TimePoint since = state_.runtime().now() - state_.settings().election_timeout;
  std::optional<Member> best;
  std::uint64_t best_match = 0;
  for (const Member& member : state_.configuration().all()) {
    const auto known = replicator(key_of(member));
    if (member.role != MemberRole::kVoter || known == nullptr || known->last_contact() < since) continue;
    if (best && known->match_index() <= best_match) continue;
    best = member;
    best_match = known->match_index();
  }
  return best;
}

std::uint64_t Leadership::match_index(const Member& member) const {
  if (is_self(member)) return state_.log().durable_index();
  const auto known = replicator(key_of(member));
  return known == nullptr ? 0 : known->match_index();
}

bool Leadership::is_self(const Member& member) const {
  if (member.node != state_.self()) return false;
  return !state_.configuration().formed || member.identity == state_.identity();
}

void Leadership::record_progress() {
  if (!active()) return;
  advance_commit_index();
  progress_.notify_all();
}

}  // namespace cairnhollow::consensus
