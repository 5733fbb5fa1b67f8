#include "tests/consensus/random_faults.h"

#include <fmt/format.h>

#include <algorithm>

namespace cairnhollow::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNonmembers = 2;
constexpr Duration kStep = milliseconds(2);
constexpr Duration kCallTimeout = milliseconds(1500);
constexpr Duration kSettleLimit = seconds(20);
constexpr std::size_t kMaxOpenCalls = 40;

ClusterSettings cluster_settings(const RandomFaultSettings& settings) {
  ClusterSettings cluster;
  cluster.seed = settings.seed;
  cluster.voters = settings.seed % 2 == 0 ? 5 : 3;
  cluster.snapshot_after_entries = 30;
  cluster.print_log = settings.print_log;
  return cluster;
}

}  // namespace

RandomFaultRun::RandomFaultRun(RandomFaultSettings settings)
    : settings_(settings), cluster_(cluster_settings(settings)) {}

std::vector<std::string> RandomFaultRun::run() {
  for (std::size_t number = 1; number <= kNonmembers; ++number) {
    cluster_.start_nonmember(cluster_.names().size() + 1);
  }
  const TimePoint end = world().now() + settings_.duration;
  while (world().now() < end) step();
  check_liveness();
  cluster_.record_logs();
  for (const auto& list :
       {cluster_.record().violations(), cluster_.checks().violations(), world().faults()}) {
    failures_.insert(failures_.end(), list.begin(), list.end());
  }
  return failures_;
}

void RandomFaultRun::step() {
  observe();
  if (chance(0.3)) begin_calls();
  if (chance(0.03)) begin_fault();
  if (chance(0.01)) begin_change();
  world().run_for(world().random().between(Duration{0}, kStep * 2));
}

void RandomFaultRun::observe() {
  for (const std::string& name : cluster_.running_names()) {
    const ConsensusStatus status = cluster_.status(name);
    cluster_.checks().record_committed(status.term, status.commit_index);
  }
  std::erase_if(proposals_, [&](const Proposal& proposal) {
    if (proposal.result->succeeded()) {
      cluster_.checks().record_acknowledged(*proposal.result->index, proposal.command);
    } else if (proposal.result->done && proposal.result->reason.code != ReasonCode::kOutcomeUnknown) {
      cluster_.checks().record_refused(proposal.command);
    }
    return proposal.result->done;
  });
  std::erase_if(barriers_, [&](const Barrier& barrier) {
    if (barrier.result->succeeded()) {
      cluster_.checks().record_barrier(barrier.minimum, *barrier.result->index, barrier.name);
    }
    return barrier.result->done;
  });
  if (change_ && change_->succeeded()) ++changes_done_;
  if (change_ && change_->done) change_.reset();
}

void RandomFaultRun::begin_calls() {
  const auto running = names_where([&](const std::string& name) { return cluster_.role(name).started(); });
  if (running.empty()) return;
  const std::string leader = believed_leader();
  const std::string target = leader.empty() || chance(0.1) ? pick(running) : leader;
  if (proposals_.size() < kMaxOpenCalls) {
    std::string command = fmt::format("command-{}", next_command_++);
    proposals_.push_back({command, cluster_.begin_propose(target, command, kCallTimeout)});
  }
  if (barriers_.size() >= kMaxOpenCalls) return;
  const std::string queried = pick(running);
  barriers_.push_back(
      {queried, cluster_.checks().barrier_minimum(), cluster_.begin_barrier(queried, kCallTimeout)});
}

void RandomFaultRun::begin_fault() {
  ++faults_;
  switch (world().random().below(16)) {
    case 0:
    case 1:
      return kill_one();
    case 2:
    case 3:
    case 4:
      return restart_one();
    case 5:
      return freeze_one();
    case 6:
    case 7:
      return thaw_all();
    case 8:
      return cut_zones();
    case 9:
      return cut_machines();
    case 10:
    case 11:
      return heal();
    case 12:
      return world().network().faults().set_loss(chance(0.5) ? 0.0 : 0.2);
    case 13:
      return slow_one();
    case 14:
      return wipe_one();
    default:
      return kill_all();
  }
}

void RandomFaultRun::kill_one() {
  const std::string leader = believed_leader();
  const auto running = cluster_.running_names();
  if (running.empty()) return;
  const std::string name = !leader.empty() && chance(0.5) ? leader : pick(running);
  if (chance(0.3)) return world().vanish(name);
  world().kill(name);
}

void RandomFaultRun::kill_all() {
  if (chance(0.7)) return;
  thaw_all();
  for (const std::string& name : cluster_.running_names()) world().kill(name);
  for (const std::string& name : cluster_.names()) world().restart(name);
}

void RandomFaultRun::restart_one() {
  std::vector<std::string> dead;
  for (const std::string& name : cluster_.names()) {
    const bool is_frozen = std::find(frozen_.begin(), frozen_.end(), name) != frozen_.end();
    if (!world().running(name) && !is_frozen) dead.push_back(name);
  }
  if (!dead.empty()) world().restart(pick(dead));
}

void RandomFaultRun::freeze_one() {
  const auto running = cluster_.running_names();
  if (running.empty()) return;
  const std::string leader = believed_leader();
  frozen_.push_back(!leader.empty() && chance(0.5) ? leader : pick(running));
  world().freeze(frozen_.back());
}

void RandomFaultRun::thaw_all() {
  for (const std::string& name : frozen_) world().thaw(name);
  frozen_.clear();
}

void RandomFaultRun::cut_zones() {
  const auto zone = [&] { return ZoneName(fmt::format("zone-{}", world().random().below(3))); };
  const ZoneName from = zone();
  const ZoneName to = zone();
  world().network().faults().cut_zones(from, to);
  if (chance(0.5)) world().network().faults().cut_zones(to, from);
}

void RandomFaultRun::cut_machines() {
  const auto address = [&] {
    return fmt::format("10.0.1.{}", 1 + world().random().below(cluster_.names().size()));
  };
  const std::string from = address();
  const std::string to = address();
  world().network().faults().cut_machines(from, to);
  if (chance(0.5)) world().network().faults().cut_machines(to, from);
}

void RandomFaultRun::heal() { world().heal(); }

void RandomFaultRun::slow_one() {
  const std::string name = pick(cluster_.names());
  const bool slow = world().disk(name).sync_delay < milliseconds(10);
  world().disk(name).sync_delay = slow ? milliseconds(80) : milliseconds(2);
}

void RandomFaultRun::wipe_one() {
  // A group may lose fewer than half of its disks: one at a time, none from a group of fewer than three, and
  // none during a membership change.
  const std::string leader = believed_leader();
  if (!wiped_.empty() || leader.empty() || change_ != nullptr) return;
  if (!cluster_.barrier(leader, milliseconds(300)).succeeded()) return;
  const ConsensusStatus status = cluster_.status(leader);
  std::vector<std::string> voters;
  for (const Member& member : status.members) {
    if (member.role == MemberRole::kVoter) voters.push_back(member.node.value);
  }
  const std::string name = pick(voters);
  if (voters.size() < 3 || name == leader || !world().running(name)) return;
  if (status.state != ServerState::kLeader || status.commit_index != status.last_index) return;
  wiped_ = name;
  world().kill(name);
  cluster_.wipe(name);
  world().restart(name);
}

void RandomFaultRun::begin_change() {
  const std::string leader = believed_leader();
  if (change_ != nullptr || leader.empty()) return;
  const auto up = names_where([&](const std::string& name) { return cluster_.role(name).started(); });
  const std::string subject = pick(up);
  if (!wiped_.empty()) {
    // Repairs have priority. The member list shows whether this one completed, even if its answer was lost.
    if (!cluster_.role(wiped_).started() || !world().running(wiped_)) return;
    const Member fresh = cluster_.member(wiped_, MemberRole::kVoter);
    const auto members = cluster_.status(leader).members;
    const auto is_fresh = [&](const Member& member) { return member == fresh; };
    const bool done = std::any_of(members.begin(), members.end(), is_fresh) &&
                      cluster_.status(leader).commit_index == cluster_.status(leader).last_index;
    if (done) return wiped_.clear();
    change_ = cluster_.begin_replace(leader, wiped_, fresh, kCallTimeout);
    return;
  }
  const Member member = cluster_.member(subject, chance(0.7) ? MemberRole::kVoter : MemberRole::kLearner);
  switch (world().random().below(3)) {
    case 0:
      change_ = cluster_.begin_add(leader, member, kCallTimeout);
      return;
    case 1:
      change_ = cluster_.begin_remove(leader, subject, kCallTimeout);
      return;
    default:
      change_ = cluster_.begin_replace(leader, pick(up), member, kCallTimeout);
      return;
  }
}

std::string RandomFaultRun::pick(const std::vector<std::string>& names) {
  return names[world().random().below(names.size())];
}

std::vector<std::string> RandomFaultRun::names_where(const std::function<bool(const std::string&)>& holds) {
  std::vector<std::string> names;
  for (const std::string& name : cluster_.running_names()) {
    if (holds(name)) names.push_back(name);
  }
  return names;
}

std::string RandomFaultRun::believed_leader() {
  const std::string leader = cluster_.leader();
  return !leader.empty() && cluster_.role(leader).started() ? leader : "";
}

void RandomFaultRun::repair() {
  thaw_all();
  world().network().faults().set_loss(0);
  world().heal();
  for (const std::string& name : cluster_.names()) {
    world().disk(name).sync_delay = milliseconds(2);
    if (!world().running(name)) world().restart(name);
  }
}

void RandomFaultRun::check_liveness() {
  observe();
  repair();
  const TimePoint begun = world().now();
  if (!cluster_.propose_to_leader("last", kSettleLimit)) {
    failures_.push_back("liveness: no proposal succeeded after the faults ended\n" + cluster_.describe());
    return;
  }
  const auto took = std::chrono::duration_cast<milliseconds>(world().now() - begun);
  if (took > seconds(8)) failures_.push_back(fmt::format("liveness: took {} ms", took.count()));
  world().run_for(seconds(3));  // calls in flight end and lagging servers catch up
  observe();
  const std::string leader = cluster_.wait_for_leader();
  if (leader.empty()) {
    failures_.push_back("liveness: no leader after the faults ended\n" + cluster_.describe());
    return;
  }
  for (const Member& member : cluster_.status(leader).members) {
    const std::string& name = member.node.value;
    const bool present = cluster_.node(name).identity() == member.identity;
    if (present && !cluster_.machine(name).has("last")) {
      failures_.push_back(fmt::format("liveness: {} did not catch up with {}", name, leader));
    }
  }
  cluster_.checks().check_outcomes(cluster_.machine(leader).commands());
}

}  // namespace cairnhollow::consensus
