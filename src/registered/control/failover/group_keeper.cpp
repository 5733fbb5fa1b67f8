#include "registered/control/failover/group_keeper.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <vector>

#include "registered/control/knobs.h"
#include "registered/registry/division.h"

namespace cairnhollow::registered::control {

using registry::GroupTerm;

GroupKeeper::GroupKeeper(runtime::Runtime& runtime, consensus::Consensus& consensus,
                         registry::FleetStateMachine& fleet, LeaderCalls& calls, LeaseKeeper& leases,
                         GroupProber& prober, registry::PromotionCaller& promotions,
                         GroupKeeperSettings settings)
    : runtime_(runtime),
      consensus_(consensus),
      fleet_(fleet),
      calls_(calls),
      leases_(leases),
      prober_(prober),
      pauses_(runtime, fleet, prober),
      promotions_(promotions),
      turns_(runtime, settings.promotion_rate),
      node_(std::move(settings.node)),
      regions_(fleet, std::move(settings.regions)),
      wake_(runtime) {}

void GroupKeeper::start() { runtime_.spawn("group_keeper", run()); }

void GroupKeeper::stop() {
  stopping_ = true;
  wake_.notify_all();
}

bool GroupKeeper::leads() const { return !stopping_ && consensus_.leads(); }

void GroupKeeper::record_suspicion(const NodeName& proxy, const registry::PrimarySuspicion& suspicion) {
  Suspicion& held = suspicions_[suspicion.group];
  const TimePoint now = runtime_.now();
  const bool same = held.said.backend == suspicion.backend && held.said.term == suspicion.term;
  if (!same) held.proxies.clear();
  held.said = suspicion;
  held.at = now;
  held.proxies[proxy] = now;
  std::erase_if(held.proxies, [&](const auto& entry) { return now - entry.second > kSuspicionLapse; });
  OutOfReach& out_of_reach = out_of_reach_[suspicion.group];
  if (out_of_reach.term != suspicion.term) out_of_reach = OutOfReach{suspicion.term, {}};
  if (suspicion.unreachable) out_of_reach.proxies[proxy] = now;
  std::erase_if(out_of_reach.proxies,
                [&](const auto& entry) { return now - entry.second > kOutOfReachLapse; });
  if (leads()) look_at(suspicion.group);
}

Awaitable<void> GroupKeeper::run() {
  while (!stopping_) {
    pauses_.record_members();
    watch_all_members();
    settle_all_members();
    if (!leads()) {
      settled_revision_.reset();
      pauses_.forget();
      resumed_left_ = false;
    } else if (!resumed_left_) {
      resumed_left_ = true;
      runtime_.spawn("resume_left_members", resume_left_members());
    } else if (settled_revision_ != fleet_.revision() || !suspicions_.empty()) {
      look_at_all();
    }
    co_await wake_.wait_until(runtime_.now() + kGroupTick);
  }
}

void GroupKeeper::look_at_all() {
  const std::uint64_t revision = fleet_.revision();
  for (const auto& group : fleet_.groups()) {
    look_at(group.name);
  }
  // Nothing to do, and nothing will be until the fleet changes or a proxy suspects a primary.
  settled_revision_.reset();
  if (busy_.empty() && settling_.empty()) settled_revision_ = revision;
}

std::optional<GroupTerm> GroupKeeper::term_of(const GroupName& group) const {
  const GroupTerm* term = fleet_.find_term(group);
  if (term == nullptr) return std::nullopt;
  return *term;
}

bool GroupKeeper::is_successor(const registry::BackendEntry& entry, const GroupTerm& term) const {
  if (entry.name == term.primary || entry.leaving) return false;
  if (!fleet_.is_evacuated(entry.zone)) return true;
  // Inside an evacuated zone it would serve nobody; neither does a primary that is inside, too, or gone.
  const registry::BackendEntry* primary = fleet_.find_backend(term.primary);
  return primary == nullptr || (primary->leaving && fleet_.is_evacuated(primary->zone));
}

std::string GroupKeeper::handover_cause(const GroupTerm& term) const {
  const registry::BackendEntry* primary = fleet_.find_backend(term.primary);
  const bool leaves = primary == nullptr || primary->leaving;
  const bool evacuated = primary != nullptr && fleet_.is_evacuated(primary->zone);
  if (!leaves && !evacuated) return {};
  const auto members = fleet_.backends_of(term.group);
  const bool any = std::any_of(members.begin(), members.end(), [&](const registry::BackendEntry& entry) {
    return is_successor(entry, term);
  });
  if (!any) return {};
  return leaves ? "the primary leaves" : "the zone " + primary->zone.value + " is evacuated";
}

void GroupKeeper::look_at(const GroupName& group) {
  if (busy_.count(group) > 0) return;
  const auto term = term_of(group);
  if (!term) return begin(group, discover(group));
  if (!term->open) return begin(group, fail_over(group));
  moving_.erase(group);
  const registry::BackendEntry* primary = fleet_.find_backend(term->primary);
  if (primary != nullptr && term->is_restarted_primary(*primary))
    return begin(group, give_up_restarted(group));
  if (!handover_cause(*term).empty()) return begin(group, hand_over(group));
  const auto suspicion = suspicions_.find(group);
  if (suspicion == suspicions_.end()) return;
  const Suspicion suspected = suspicion->second;
  const bool applies = suspected.said.term == term->term && suspected.said.backend == term->primary;
  suspicions_.erase(suspicion);
  if (applies && runtime_.now() - suspected.at < kSuspicionLapse)
    begin(group, examine(group, suspected.said.commits_stall, suspected.proxies.size()));
}

void GroupKeeper::begin(const GroupName& group, Awaitable<void> task) {
  busy_.insert(group);
  runtime_.spawn("group_task", run_task(group, std::move(task)));
}

Awaitable<void> GroupKeeper::run_task(GroupName group, Awaitable<void> task) {
  co_await std::move(task);
  busy_.erase(group);
  wake_.notify_all();
}

void GroupKeeper::log(const char* event, const GroupTerm& term, const std::string& why) {
  runtime_.logger().log(runtime::LogLevel::kInfo, event,
                        {{"group", term.group.value},
                         {"term", std::to_string(term.term)},
                         {"primary", term.primary.value},
                         {"epoch", std::to_string(term.epoch)},
                         {"why", why}});
}

Awaitable<void> GroupKeeper::discover(GroupName group) {
  const auto findings = co_await prober_.ask_all(fleet_.backends_of(group));
  const MemberFinding* leader = nullptr;
  for (const MemberFinding& member : findings) {
    if (!member.status || !member.status->is_primary) continue;
    if (leader == nullptr || member.status->term > leader->status->term) leader = &member;
  }
  if (leader != nullptr) {
    GroupTerm none;
    none.group = group;
    std::string why = "it leads already";
    co_await open(none, leader->entry.incarnation(), leader->status->term, std::move(why));
  } else {
    co_await runtime_.sleep_for(kFailoverRetry);
  }
}

Awaitable<void> GroupKeeper::give_up_restarted(GroupName group) {
  const auto term = term_of(group);
  const registry::BackendEntry* next = term ? fleet_.find_backend(term->primary) : nullptr;
  if (next == nullptr || !leads()) co_return;
  std::string why = fmt::format("the primary born at {} is over, one born at {} has its name",
                                term->primary_born_ms, next->born_ms);
  const bool closed = co_await close(*term, std::move(why));
  if (!closed) co_await runtime_.sleep_for(kFailoverRetry);
}

bool GroupKeeper::is_dead(const std::optional<BackendStatus>& status, const GroupTerm& term) const {
  return !status || !status->is_primary || status->term != term.term;
}

Awaitable<void> GroupKeeper::examine(GroupName group, bool commits_stall, std::size_t suspecting_proxies) {
  const auto term = term_of(group);
  const registry::BackendEntry* primary = term ? fleet_.find_backend(term->primary) : nullptr;
  if (primary == nullptr) co_return;
  const registry::BackendEntry entry = *primary;
  Reason reason;
  bool dead = true;
  for (int look = 0; dead && look < looks_needed(*term, suspecting_proxies); ++look) {
    if (look > 0) co_await runtime_.sleep_for(kDeadLookPause);
    const TimePoint deadline = runtime_.now() + kStatusTimeout;
    const auto status = co_await prober_.ask(entry, deadline, reason);
    const bool busy = !status && reason.code == ReasonCode::kOverloaded;
    dead = !busy && is_dead(status, *term);
  }
  if (!dead && is_out_of_reach(group)) {
    dead = co_await has_provable_successor(*term);
    reason = Reason{ReasonCode::kUnreachable, "use_primary", "", "most proxies that serve it can't use it"};
  }
  if (!dead && commits_stall) {
    const bool stalled = co_await commits_stalled(group, *term);
    dead = stalled && co_await has_provable_successor(*term);
    if (stalled && !dead) {
      log("primary_examined", *term, "its commits reach no replica, and none may follow it");
      co_return;
    }
    if (dead) reason = Reason{ReasonCode::kDeadlineExceeded, "replicate", "", "its commits reach no replica"};
  }
  if (!dead || !leads()) {
    log("primary_examined", *term, "it answers as primary");
    co_return;
  }
  std::string why = reason.failed() ? reason.to_string() : "it does not lead this term any more";
  GroupTerm given_up = *term;
  co_await close(std::move(given_up), std::move(why));
}

int GroupKeeper::looks_needed(const GroupTerm& term, std::size_t suspecting_proxies) const {
  // Others may have come to suspect it while this node looked.
  std::size_t suspecting = suspecting_proxies;
  const auto since = suspicions_.find(term.group);
  const bool same = since != suspicions_.end() && since->second.said.term == term.term &&
                    since->second.said.backend == term.primary;
  if (same) suspecting = std::max(suspecting, since->second.proxies.size());
  return suspecting >= kSuspectingProxies ? 1 : kDeadLooks;
}

bool GroupKeeper::is_out_of_reach(const GroupName& group) const {
  const auto found = out_of_reach_.find(group);
  const std::size_t saying = found == out_of_reach_.end() ? 0 : found->second.proxies.size();
  return saying >= kSuspectingProxies &&
         saying * kOutOfReachWhole >= serving_proxies(group) * kOutOfReachPart;
}

std::size_t GroupKeeper::serving_proxies(const GroupName& group) const {
  const std::size_t proxies = fleet_.proxy_count();
  const registry::GroupRule* rule = fleet_.find_group(group);
  if (rule == nullptr) return proxies;
  std::vector<std::uint64_t> slots;
  for (const registry::BackendEntry& entry : fleet_.backends_of(group)) slots.push_back(entry.slots);
  return registry::serving_proxies(*rule, slots, proxies, fleet_.requires_keys());
}

Awaitable<bool> GroupKeeper::commits_stalled(GroupName group, GroupTerm term) {
  const TimePoint begun = runtime_.now();
  std::optional<Position> first;
  while (runtime_.now() - begun < kStallLimit) {
    const auto findings = co_await prober_.ask_all(fleet_.backends_of(group));
    Position primary;
    Position furthest;
    for (const MemberFinding& member : findings) {
      if (!member.status) continue;
      if (member.entry.name == term.primary) primary = member.status->received;
      if (member.entry.name != term.primary) furthest = std::max(furthest, member.status->received);
    }
    if (!first) first = primary;
    if (furthest >= *first) co_return false;
    co_await runtime_.sleep_for(kFailoverRetry);
  }
  co_return true;
}

Awaitable<bool> GroupKeeper::has_provable_successor(GroupTerm term) {
  PromotionFacts facts = co_await gather_facts(term);
  // Nobody has closed the term yet; the closed group is judged again, with what the proxies say.
  facts.all_acknowledgers_answered = false;
  const PromotionChoice choice = choose_promotion(facts, false);
  co_return choice.verdict == PromotionVerdict::kPromote && !choice.is_unproved;
}

Awaitable<void> GroupKeeper::hand_over(GroupName group) {
  const auto term = term_of(group);
  if (!term) co_return;
  const auto findings = co_await prober_.ask_all(fleet_.backends_of(group));
  std::optional<Position> primary;
  std::optional<Position> successor;
  for (const MemberFinding& member : findings) {
    if (!member.status) continue;
    if (member.entry.name == term->primary) primary = member.status->received;
    if (is_successor(member.entry, *term))
      successor = std::max(successor.value_or(Position{}), member.status->received);
  }
  bool ready = successor && (!primary || successor->index + kHandOverLag >= primary->index);
  const registry::BackendEntry* entry = fleet_.find_backend(term->primary);
  // One that leaves ends soon, and many leave one after the other by themselves.
  const bool moves = entry != nullptr && !entry->leaving;
  if (ready && moves) ready = co_await take_move(group);
  std::string why = handover_cause(*term);
  if (ready && leads() && !why.empty()) {
    co_await close(*term, std::move(why));
  } else {
    co_await runtime_.sleep_for(kFailoverRetry);
  }
}

Awaitable<bool> GroupKeeper::take_move(GroupName group) {
  ready_moves_.insert(group);
  co_await runtime_.sleep_for(kHandOverGathering);
  const TimePoint now = runtime_.now();
  // One that can't be opened again does not hold up the others.
  std::erase_if(moving_, [now](const auto& entry) { return now - entry.second > kPromotionLimit; });
  std::size_t free = kMostHandOvers - std::min(moving_.size(), kMostHandOvers);
  bool taken = false;
  for (const GroupName& ready : groups_by_urgency()) {
    if (free == 0 || taken) break;
    if (ready_moves_.count(ready) == 0) continue;
    --free;
    taken = ready == group;
  }
  ready_moves_.erase(group);
  if (taken) moving_[group] = now;
  co_return taken;
}

std::map<GroupName, std::uint64_t> GroupKeeper::urgencies() const {
  std::map<GroupName, std::uint64_t> urgency;
  for (const auto& group : fleet_.groups()) urgency[group.name] = std::numeric_limits<std::uint64_t>::max();
  for (const registry::RouteRule& route : fleet_.routes()) {
    std::uint64_t& most_urgent = urgency[route.group];
    most_urgent = std::min(most_urgent, route.priority);
  }
  return urgency;
}

std::vector<GroupName> GroupKeeper::groups_by_urgency() const {
  const std::map<GroupName, std::uint64_t> urgency = urgencies();
  std::vector<GroupName> groups;
  groups.reserve(urgency.size());
  for (const auto& [group, priority] : urgency) groups.push_back(group);
  std::stable_sort(groups.begin(), groups.end(), [&](const GroupName& one, const GroupName& other) {
    return urgency.at(one) < urgency.at(other);
  });
  return groups;
}

Awaitable<bool> GroupKeeper::close(GroupTerm term, std::string why) {
  log("group_closing", term, why);
  Reason reason;
  registry::SingleCommand command = registry::CloseGroup{term.group, term.epoch};
  const bool closed = co_await calls_.submit_gathered(std::move(command), reason);
  if (!closed)
    runtime_.logger().log(runtime::LogLevel::kWarning, "group_not_closed", reason,
                          {{"group", term.group.value}});
  co_return closed;
}

Awaitable<bool> GroupKeeper::open(GroupTerm closed, registry::BackendIncarnation primary, std::uint64_t term,
                                  std::string why) {
  Reason reason;
  registry::SingleCommand command =
      registry::OpenGroup{closed.group, closed.epoch, term, primary.name, primary.born_ms};
  const bool done = co_await calls_.submit_gathered(std::move(command), reason);
  GroupTerm opened = closed;
  opened.term = term;
  opened.primary = primary.name;
  log(done ? "group_opened" : "group_not_opened", opened, done ? why : reason.to_string());
  co_return done;
}

}  // namespace cairnhollow::registered::control
