#include "registered/control/failover/group_keeper.h"

#include <fmt/format.h>

#include "registered/control/failover/group_urgency.h"

namespace cairnhollow::registered::control {

using registry::GroupTerm;

GroupKeeper::GroupKeeper(runtime::Runtime& runtime, consensus::Consensus& consensus,
                         registry::FleetStateMachine& fleet, LeaderCalls& calls, LeaseKeeper& leases,
                         GroupProber& prober, registry::PromotionCaller& promotions,
                         GroupKeeperSettings settings)
    : runtime_(runtime),
      fleet_(fleet),
      prober_(prober),
      wake_(runtime),
      terms_(runtime, consensus, fleet, calls),
      pauses_(runtime, fleet, prober),
      members_(runtime, fleet, terms_, prober, wake_),
      logs_(runtime, fleet, leases, prober, members_, pauses_, std::move(settings.regions)),
      primary_check_(runtime, fleet, terms_, prober, logs_, suspicions_),
      planned_(runtime, fleet, prober),
      fence_wait_(runtime, terms_, leases, pauses_),
      turns_(runtime, settings.promotion_rate),
      promotion_(runtime, consensus, fleet, terms_, prober, promotions, std::move(settings.node)),
      release_(runtime, fleet, terms_, pauses_) {}

void GroupKeeper::start() { runtime_.spawn("group_keeper", run()); }

void GroupKeeper::stop() {
  stopping_ = true;
  terms_.stop();
  wake_.notify_all();
}

void GroupKeeper::record_suspicion(const NodeName& proxy, const registry::PrimarySuspicion& suspicion) {
  suspicions_.record(proxy, suspicion, runtime_.now());
  if (terms_.leads()) check(suspicion.group);
}

Awaitable<void> GroupKeeper::run() {
  while (!stopping_) {
    pauses_.record_members();
    members_.watch_all();
    if (!terms_.leads()) {
      quiet_revision_.reset();
      release_.forget();
    } else if (!release_.release_left() && (quiet_revision_ != fleet_.revision() || suspicions_.any())) {
      check_all();
    }
    co_await wake_.wait_until(runtime_.now() + kGroupTick);
  }
}

void GroupKeeper::check_all() {
  const std::uint64_t revision = fleet_.revision();
  for (const auto& group : fleet_.groups()) check(group.name);
  // Nothing to do, and nothing will be until the fleet changes or a proxy suspects a primary.
  quiet_revision_.reset();
  if (busy_.empty() && !members_.is_comparing()) quiet_revision_ = revision;
}

void GroupKeeper::check(const GroupName& group) {
  if (busy_.count(group) > 0) return;
  const auto term = terms_.find(group);
  if (!term) return begin(group, discover(group));
  if (!term->open) return begin(group, fail_over(group));
  planned_.end(group);
  const registry::BackendEntry* primary = fleet_.find_backend(term->primary);
  if (primary != nullptr && term->is_restarted_primary(*primary))
    return begin(group, give_up_restarted(group));
  if (!planned_change_cause(*term, fleet_).empty()) return begin(group, change_as_planned(group));
  const auto suspected = suspicions_.take(*term, runtime_.now());
  if (suspected) begin(group, examine(group, *suspected));
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
    co_await terms_.open(none, leader->entry.incarnation(), leader->status->term, std::move(why));
  } else {
    co_await runtime_.sleep_for(kFailoverRetry);
  }
}

Awaitable<void> GroupKeeper::give_up_restarted(GroupName group) {
  const auto term = terms_.find(group);
  const registry::BackendEntry* next = term ? fleet_.find_backend(term->primary) : nullptr;
  if (next == nullptr || !terms_.leads()) co_return;
  std::string why = fmt::format("the primary born at {} is over, one born at {} has its name",
                                term->primary_start_time_ms, next->start_time_ms);
  const bool closed = co_await terms_.close(*term, std::move(why));
  if (!closed) co_await runtime_.sleep_for(kFailoverRetry);
}

Awaitable<void> GroupKeeper::examine(GroupName group, PrimarySuspicions::Suspected suspected) {
  const auto term = terms_.find(group);
  if (!term) co_return;
  auto why = co_await primary_check_.confirm(*term, suspected);
  if (why) co_await terms_.close(*term, std::move(*why));
}

Awaitable<void> GroupKeeper::change_as_planned(GroupName group) {
  const auto term = terms_.find(group);
  if (!term) co_return;
  const bool ready = co_await planned_.is_ready(*term);
  std::string why = planned_change_cause(*term, fleet_);
  if (ready && terms_.leads() && !why.empty()) {
    co_await terms_.close(*term, std::move(why));
  } else {
    co_await runtime_.sleep_for(kFailoverRetry);
  }
}

Awaitable<void> GroupKeeper::fail_over(GroupName group) {
  const auto closed = terms_.find(group);
  if (!closed || closed->open) co_return;
  const bool quiet = co_await fence_wait_.wait(*closed);
  if (quiet) co_await replace_primary(*closed);
}

Awaitable<std::optional<GroupKeeper::Choice>> GroupKeeper::choose(GroupTerm closed) {
  Choice choice;
  choice.facts = co_await logs_.gather(closed);
  choice.made = logs_.choose(choice.facts);
  if (choice.made.verdict != PromotionVerdict::kPromote) co_return choice;
  const bool at_once = co_await turns_.take(group_urgencies(fleet_.groups(), fleet_.routes())[closed.group]);
  if (!terms_.is_still_closed(closed)) co_return std::nullopt;
  if (at_once) co_return choice;
  // A paused member that restarted meanwhile is not paused any more.
  choice.facts = co_await logs_.gather(closed);
  choice.made = logs_.choose(choice.facts);
  co_return choice;
}

Awaitable<void> GroupKeeper::replace_primary(GroupTerm closed) {
  const std::optional<Choice> choice = co_await choose(closed);
  if (!choice) co_return co_await release_.release(closed.group);
  GroupTerm chosen = closed;
  chosen.primary = choice->made.backend;
  terms_.log("promotion_chosen", chosen, choice->made.why);
  if (!terms_.leads()) co_return;
  if (choice->made.verdict == PromotionVerdict::kNotYet) {
    // Whoever is behind can only catch up unpaused.
    co_await release_.release(closed.group);
    co_await runtime_.sleep_for(kFailoverRetry);
    co_return;
  }
  const MemberFinding member = find_member(choice->facts, choice->made.backend);
  std::optional<std::uint64_t> term = choice->made.term;
  if (choice->made.verdict == PromotionVerdict::kPromote) term = co_await promote(closed, member);
  if (!term && !terms_.is_still_closed(closed)) co_return co_await release_.release(closed.group);
  // The order may still take effect: the members stay paused.
  if (!term) co_return;
  co_await open(closed, *choice, member, *term);
}

Awaitable<std::optional<std::uint64_t>> GroupKeeper::promote(GroupTerm closed, MemberFinding chosen) {
  const bool ordered = co_await promotion_.order(closed, chosen.entry.incarnation());
  if (!ordered) co_return std::nullopt;
  co_return co_await promotion_.wait_until_leading(closed, chosen);
}

Awaitable<void> GroupKeeper::open(GroupTerm closed, Choice choice, MemberFinding chosen, std::uint64_t term) {
  suspicions_.forget_unable_to_connect(closed.group);
  // Its commits need a replica: these receive again while the group is opened.
  runtime_.spawn("resume_members", release_.release(closed.group));
  const bool opened = co_await terms_.open(closed, chosen.entry.incarnation(), term, choice.made.why);
  if (opened && choice.made.is_unproved) record_unproved(choice.facts, chosen);
  if (opened && choice.made.backend != closed.primary)
    runtime_.spawn("step_down", promotion_.step_down(closed.group, closed.primary, term));
}

void GroupKeeper::record_unproved(const PromotionFacts& facts, const MemberFinding& chosen) {
  ++unproved_promotions_;
  const Position& kept = chosen.status->received;
  const Position& known = facts.highest_acknowledged;
  runtime_.logger().log(runtime::LogLevel::kError, "promotion_unproved",
                        {{"group", facts.closed.group.value},
                         {"backend", chosen.entry.name.value},
                         {"kept", fmt::format("{}.{}", kept.term, kept.index)},
                         {"acknowledged", fmt::format("{}.{}", known.term, known.index)}});
}

}  // namespace cairnhollow::registered::control
