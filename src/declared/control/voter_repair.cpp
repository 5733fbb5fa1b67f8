#include "declared/control/voter_repair.h"

#include <fmt/format.h>

#include "declared/control/knobs.h"

namespace cairnhollow::declared::control {

namespace {

std::int64_t in_seconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::seconds>(duration).count();
}

}  // namespace

VoterRepair::VoterRepair(runtime::Runtime& runtime, consensus::Consensus& consensus,
                         const PeerDirectory& peers, EventLog& events)
    : runtime_(runtime), consensus_(consensus), peers_(peers), events_(events), wake_(runtime) {}

void VoterRepair::start() { runtime_.spawn("voter_repair", run()); }

void VoterRepair::stop() {
  stopping_ = true;
  wake_.notify_all();
}

Awaitable<void> VoterRepair::run() {
  while (!stopping_) {
    const TimePoint now = runtime_.now();
    const auto lost = find_lost_voter(now);
    std::optional<consensus::Member> standby;
    if (lost) standby = find_standby(*lost, now);
    if (standby) co_await replace(*lost, *standby);
    if (!stopping_) co_await wake_.wait_until(runtime_.now() + kRepairTick);
  }
}

std::optional<consensus::Member> VoterRepair::find_lost_voter(TimePoint now) {
  const consensus::ConsensusStatus status = consensus_.status();
  // If this node was frozen or was not the leader, it does not know how long a voter has been silent.
  const bool checked_recently = now - last_check_at_ < 2 * kRepairTick;
  last_check_at_ = now;
  if (status.state != consensus::ServerState::kLeader || !checked_recently) heard_at_.clear();
  if (status.state != consensus::ServerState::kLeader) return std::nullopt;
  std::optional<consensus::Member> lost;
  for (const auto& member : status.members) {
    if (member.role != consensus::MemberRole::kVoter || member.node == status.leader) continue;
    auto& heard_at = heard_at_.try_emplace(member.node, now).first->second;
    const auto peer = peers_.find(member.node);
    // A node that restarted with a new disk has a new identity: the voter known to the group is lost.
    const bool heard = peer && peer->alive(now) && peer->last_message.sender.identity == member.identity;
    if (heard) heard_at = now;
    const Duration limit = is_wiped(member, now) ? kVoterWipedAfter : kVoterLostAfter;
    if (!lost && now - heard_at > limit) lost = member;
  }
  return lost;
}

bool VoterRepair::is_wiped(const consensus::Member& voter, TimePoint now) const {
  const auto peer = peers_.find(voter.node);
  if (!peer || !peer->alive(now)) return false;
  const std::string& identity = peer->last_message.sender.identity;
  return !identity.empty() && identity != voter.identity;
}

std::optional<consensus::Member> VoterRepair::find_standby(const consensus::Member& lost,
                                                           TimePoint now) const {
  if (is_wiped(lost, now)) return peers_.find(lost.node)->last_message.sender;
  std::optional<consensus::Member> chosen;
  for (const auto& [node, peer] : peers_.peers()) {
    if (!peer.last_message.standby || !peer.alive(now)) continue;
    const consensus::Member& candidate = peer.last_message.sender;
    const bool better = !chosen || (candidate.zone == lost.zone && chosen->zone != lost.zone);
    if (better) chosen = candidate;
  }
  return chosen;
}

Awaitable<void> VoterRepair::replace(consensus::Member lost, consensus::Member standby) {
  const std::string subject = lost.node.value;
  const std::string replacement = standby.node.value;
  const bool same_node = lost.node == standby.node;
  const std::string loss = same_node ? std::string("restarted with an empty disk")
                                     : fmt::format("no messages for {} s", in_seconds(kVoterLostAfter));
  events_.record("voter_lost", subject, fmt::format("{}; replacing it with {}", loss, replacement));
  standby.role = consensus::MemberRole::kVoter;
  Reason reason;
  const TimePoint deadline = runtime_.now() + kRepairTimeout;
  const NodeName node = lost.node;
  const bool replaced = co_await consensus_.replace_member(node, standby, deadline, reason);
  if (replaced) {
    events_.record("voter_replaced", subject, replacement + " replaced it as a voter");
  } else {
    events_.record("voter_not_replaced", subject, replacement + " was not confirmed as a voter", reason);
  }
}

}  // namespace cairnhollow::declared::control
