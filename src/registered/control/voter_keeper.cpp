#include "registered/control/voter_keeper.h"

#include <algorithm>

namespace cairnhollow::registered::control {

using consensus::Member;
using consensus::MemberRole;

namespace {

/// A voter that was not seen for this long is replaced if a standby node is available.
constexpr Duration kVoterLostTimeout = std::chrono::milliseconds(2500);
/// Interval of the voter check.
constexpr Duration kVoterCheckInterval = std::chrono::milliseconds(250);
/// Delay between attempts to replace a voter that is stopping.
constexpr Duration kVoteReleaseInterval = std::chrono::milliseconds(50);
/// Timeout of one membership change of the consensus group.
constexpr Duration kVoterChangeTimeout = std::chrono::seconds(10);

std::size_t count_voters(const consensus::ConsensusStatus& status) {
  return static_cast<std::size_t>(
      std::count_if(status.members.begin(), status.members.end(),
                    [](const Member& member) { return member.role == MemberRole::kVoter; }));
}

const Member* find_member(const consensus::ConsensusStatus& status, const NodeName& node) {
  const auto found = std::find_if(status.members.begin(), status.members.end(),
                                  [&](const Member& member) { return member.node == node; });
  return found == status.members.end() ? nullptr : &*found;
}

}  // namespace

VoterKeeper::VoterKeeper(runtime::Runtime& runtime, consensus::Consensus& consensus,
                         const ControlNodeDirectory& directory, std::uint32_t lost_disks_tolerated)
    : runtime_(runtime),
      consensus_(consensus),
      directory_(directory),
      required_voters_(2 * std::size_t{lost_disks_tolerated} + 1) {}

void VoterKeeper::start() { runtime_.spawn("voter_keeper", run()); }

bool VoterKeeper::has_required_voters() const {
  return count_voters(consensus_.status()) >= required_voters_;
}

Awaitable<void> VoterKeeper::run() {
  while (!stopping_) {
    const TimePoint now = runtime_.now();
    const consensus::ConsensusStatus status = consensus_.status();
    observe(status, now);
    std::optional<Change> change;
    if (!changing_ && status.state == consensus::ServerState::kLeader) change = find_change(status, now);
    if (change) runtime_.spawn("voter_change", run_change(std::move(*change)));
    co_await runtime_.sleep_for(kVoterCheckInterval);
  }
}

void VoterKeeper::observe(const consensus::ConsensusStatus& status, TimePoint now) {
  // After a pause of this process, or before it became leader, it cannot tell how long a voter has been
  // silent.
  const bool checked_recently = now - last_check_ < 4 * kVoterCheckInterval;
  last_check_ = now;
  const bool leads = status.state == consensus::ServerState::kLeader;
  if (!leads) offers_.clear();
  if (!leads || !checked_recently) last_seen_.clear();
  if (!leads) return;
  for (const Member& member : status.members) {
    if (member.role != MemberRole::kVoter || member.node == status.leader) continue;
    auto& last_seen = last_seen_.try_emplace(member.node, now).first->second;
    const auto alive = directory_.alive(member.node, now);
    if (alive && alive->identity == member.identity) last_seen = now;
  }
}

std::optional<VoterKeeper::Change> VoterKeeper::find_change(const consensus::ConsensusStatus& status,
                                                            TimePoint now) {
  const auto lost = find_lost_voter(status, now);
  if (lost) {
    const auto standby = find_standby(status, &*lost, now);
    if (standby) return Change{lost, *standby};
  }
  if (count_voters(status) >= required_voters_) return find_succession(status, now);
  const auto standby = find_standby(status, nullptr, now);
  if (!standby) return std::nullopt;
  return Change{std::nullopt, *standby};
}

std::optional<Member> VoterKeeper::find_lost_voter(const consensus::ConsensusStatus& status,
                                                   TimePoint now) const {
  for (const Member& member : status.members) {
    const auto last_seen = last_seen_.find(member.node);
    if (member.role != MemberRole::kVoter || last_seen == last_seen_.end()) continue;
    const auto alive = directory_.alive(member.node, now);
    const bool lost_its_disk = alive && alive->identity != member.identity;
    if (lost_its_disk || now - last_seen->second > kVoterLostTimeout) return member;
  }
  return std::nullopt;
}

std::optional<VoterKeeper::Change> VoterKeeper::find_succession(const consensus::ConsensusStatus& status,
                                                                TimePoint now) {
  for (const auto& [node, identity] : offers_) {
    const auto newcomer = directory_.alive(node, now);
    const Member* member = find_member(status, node);
    if (!newcomer || newcomer->identity != identity) continue;
    if (member != nullptr && member->role == MemberRole::kVoter) continue;
    const auto predecessor =
        std::find_if(status.members.begin(), status.members.end(), [&](const Member& other) {
          // The first members were configured by address only; their zones are in their presence reports.
          const auto alive = directory_.alive(other.node, now);
          return other.role == MemberRole::kVoter && (alive ? alive->zone : other.zone) == newcomer->zone;
        });
    if (predecessor != status.members.end()) return Change{*predecessor, *newcomer};
  }
  return std::nullopt;
}

Awaitable<bool> VoterKeeper::release(Member stopping, TimePoint deadline, Reason& reason) {
  while (runtime_.now() < deadline) {
    const consensus::ConsensusStatus status = consensus_.status();
    if (status.state != consensus::ServerState::kLeader) {
      reason = Reason{ReasonCode::kNotLeader, "release_vote", status.leader.value,
                      "this control node is not the leader"};
      co_return false;
    }
    if (!changing_) {
      const Member* present = find_member(status, stopping.node);
      const bool votes =
          present != nullptr && present->role == MemberRole::kVoter && present->identity == stopping.identity;
      if (!votes) co_return true;
      const auto standby = find_standby(status, &stopping, runtime_.now());
      if (!standby) {
        reason = Reason{ReasonCode::kNotFound, "release_vote", stopping.node.value,
                        "no control node stands by to take the vote over"};
        co_return false;
      }
      Change change{*present, *standby};
      const bool replaced = co_await apply_change(std::move(change));
      if (replaced) co_return true;
    }
    co_await runtime_.sleep_for(kVoteReleaseInterval);
  }
  reason = Reason{ReasonCode::kDeadlineExceeded, "release_vote", stopping.node.value,
                  "the voter was not replaced in time"};
  co_return false;
}

std::optional<Member> VoterKeeper::find_standby(const consensus::ConsensusStatus& status, const Member* lost,
                                                TimePoint now) const {
  if (lost != nullptr) {
    auto returned = directory_.alive(lost->node, now);
    if (returned && returned->identity != lost->identity) return returned;
  }
  std::optional<Member> chosen;
  for (const Member& candidate : directory_.alive_members(now)) {
    const Member* member = find_member(status, candidate.node);
    if (member != nullptr && member->role == MemberRole::kVoter) continue;
    const bool same_zone = lost != nullptr && candidate.zone == lost->zone;
    if (!chosen || same_zone) chosen = candidate;
  }
  return chosen;
}

Awaitable<void> VoterKeeper::run_change(Change change) { co_await apply_change(std::move(change)); }

Awaitable<bool> VoterKeeper::apply_change(Change change) {
  changing_ = true;
  Member standby = change.standby;
  standby.role = MemberRole::kVoter;
  const std::string lost_name = change.lost ? change.lost->node.value : "";
  runtime_.logger().log(runtime::LogLevel::kInfo, "voter_change_begun",
                        {{"lost", lost_name}, {"standby", standby.node.value}});
  const TimePoint deadline = runtime_.now() + kVoterChangeTimeout;
  Reason reason;
  const consensus::ConsensusStatus status = consensus_.status();
  const Member* present = find_member(status, standby.node);
  const bool replaces_itself = change.lost && change.lost->node == standby.node;
  if (present != nullptr && present->identity != standby.identity && !replaces_itself) {
    // A learner that lost its disk and returned with a new identity.
    co_await consensus_.remove_member(standby.node, deadline, reason);
  }
  bool done = false;
  if (change.lost) {
    done = co_await consensus_.replace_member(change.lost->node, standby, deadline, reason);
  } else {
    done = co_await consensus_.add_member(standby, deadline, reason);
  }
  runtime_.logger().log(done ? runtime::LogLevel::kInfo : runtime::LogLevel::kWarning,
                        done ? "voter_changed" : "voter_not_changed", reason,
                        {{"lost", lost_name}, {"standby", standby.node.value}});
  if (done) offers_.erase({standby.node, standby.identity});
  changing_ = false;
  co_return done;
}

}  // namespace cairnhollow::registered::control
