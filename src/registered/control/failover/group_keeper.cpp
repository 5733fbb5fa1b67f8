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
      settlement_(runtime, fleet, terms_, prober, wake_),
      bounds_(runtime, fleet, terms_, prober),
      log_comparison_(fleet, leases, prober, pauses_, bounds_, std::move(settings.regions)),
      primary_check_(runtime, fleet, terms_, prober, log_comparison_, suspicions_),
      planned_change_(runtime, fleet, prober),
      fence_wait_(runtime, terms_, leases, pauses_),
      promotion_turns_(runtime, settings.promotion_rate),
      promotion_requests_(runtime, consensus, fleet, terms_, calls, promotions, std::move(settings.node)),
      promotion_(runtime, fleet, terms_, prober, promotion_requests_),
      release_(runtime, fleet, terms_, pauses_) {}

void GroupKeeper::start() {
  runtime_.spawn("group_keeper", run());
  promotion_requests_.start();
}

void GroupKeeper::stop() {
  stopping_ = true;
  terms_.stop();
  promotion_requests_.stop();
  wake_.notify_all();
}

Awaitable<void> GroupKeeper::conclude() { co_await promotion_requests_.conclude_all(); }

void GroupKeeper::record_suspicion(const NodeName& proxy, const registry::PrimarySuspicion& suspicion) {
  suspicions_.record(proxy, suspicion, runtime_.now());
  if (terms_.leads()) check(suspicion.group);
}

Awaitable<void> GroupKeeper::run() {
  while (!stopping_) {
    pauses_.record_members();
    settlement_.settle_all();
    bounds_.refresh();
    promotion_requests_.settle_withdrawn();
    if (!terms_.leads()) {
      idle_revision_.reset();
      release_.clear();
    } else if (!release_.release_leftover() && (idle_revision_ != fleet_.revision() || suspicions_.any())) {
      check_all();
    }
    co_await wake_.wait_until(runtime_.now() + kGroupCheckInterval);
  }
}

void GroupKeeper::check_all() {
  const std::uint64_t revision = fleet_.revision();
  for (const auto& group : fleet_.groups()) check(group.name);
  // The group checks can be skipped until the fleet changes or a proxy suspects a primary. Settling a
  // promotion, which a planned change may wait for, leaves the revision as it is.
  idle_revision_.reset();
  const bool is_settled = fleet_.unsettled_promotions().size() == 0;
  if (is_settled && busy_.empty() && !settlement_.is_running()) idle_revision_ = revision;
}

void GroupKeeper::check(const GroupName& group) {
  if (busy_.count(group) > 0) return;
  const auto term = terms_.find(group);
  if (!term) return start_task(group, discover(group));
  if (!term->open) return start_task(group, fail_over(group));
  planned_change_.finish(group);
  const registry::BackendEntry* primary = fleet_.find_backend(term->primary);
  if (primary != nullptr && term->is_restarted_primary(*primary))
    return start_task(group, close_restarted(group));
  // A close that follows while a promotion of the leaving primary is unsettled could be opened with nobody.
  const bool waits = primary != nullptr && !fleet_.unsettled_promotions().of(group).empty();
  if (!waits && !planned_change_cause(*term, fleet_).empty()) return start_task(group, switch_over(group));
  const auto suspected = suspicions_.take(*term, runtime_.now());
  if (suspected) start_task(group, check_primary(group, *suspected));
}

void GroupKeeper::start_task(const GroupName& group, Awaitable<void> task) {
  busy_.insert(group);
  runtime_.spawn("group_task", run_task(group, std::move(task)));
}

Awaitable<void> GroupKeeper::run_task(GroupName group, Awaitable<void> task) {
  co_await std::move(task);
  busy_.erase(group);
  wake_.notify_all();
}

Awaitable<void> GroupKeeper::discover(GroupName group) {
  const std::uint64_t revision = fleet_.revision();
  const auto findings = co_await prober_.query_all(fleet_.backends_of(group));
  const MemberFinding* leader = nullptr;
  for (const MemberFinding& member : findings) {
    if (!member.status || !member.status->is_primary) continue;
    if (leader == nullptr || member.status->term > leader->status->term) leader = &member;
  }
  if (leader != nullptr) {
    GroupTerm none;
    none.group = group;
    std::string why = "backend is already primary";
    const registry::TermStart start{leader->status->received, revision};
    co_await terms_.open(none, leader->entry.incarnation(), leader->status->term, start, std::move(why));
  } else {
    co_await runtime_.sleep_for(kFailoverRetryDelay);
  }
}

Awaitable<void> GroupKeeper::close_restarted(GroupName group) {
  const auto term = terms_.find(group);
  const registry::BackendEntry* next = term ? fleet_.find_backend(term->primary) : nullptr;
  if (next == nullptr || !terms_.leads()) co_return;
  std::string why =
      fmt::format("the primary incarnation started at {} (Unix ms) was replaced by the one started at {}",
                  term->primary_start_time_ms, next->start_time_ms);
  const bool closed = co_await terms_.close(*term, std::move(why));
  if (!closed) co_await runtime_.sleep_for(kFailoverRetryDelay);
}

Awaitable<void> GroupKeeper::check_primary(GroupName group, PrimarySuspicions::Suspected suspected) {
  const auto term = terms_.find(group);
  if (!term) co_return;
  auto why = co_await primary_check_.confirm(*term, suspected);
  if (why) co_await terms_.close(*term, std::move(*why));
}

Awaitable<void> GroupKeeper::switch_over(GroupName group) {
  const auto term = terms_.find(group);
  if (!term) co_return;
  const bool ready = co_await planned_change_.is_ready(*term);
  std::string why = planned_change_cause(*term, fleet_);
  if (ready && terms_.leads() && !why.empty()) {
    co_await terms_.close(*term, std::move(why));
  } else {
    co_await runtime_.sleep_for(kFailoverRetryDelay);
  }
}

Awaitable<void> GroupKeeper::fail_over(GroupName group) {
  const auto closed = terms_.find(group);
  if (!closed || closed->open) co_return;
  const bool still_leads = co_await fence_wait_.wait(*closed);
  if (still_leads) co_await replace_primary(*closed);
}

Awaitable<std::optional<GroupKeeper::Decision>> GroupKeeper::choose(GroupTerm closed) {
  Decision decision;
  decision.facts = co_await log_comparison_.gather_facts(closed);
  decision.choice = log_comparison_.choose(decision.facts);
  if (decision.choice.verdict != PromotionVerdict::kPromote) co_return decision;
  const bool immediate =
      co_await promotion_turns_.acquire(group_urgencies(fleet_.groups(), fleet_.routes())[closed.group]);
  if (!terms_.is_still_closed(closed)) co_return std::nullopt;
  if (immediate) co_return decision;
  // A paused member that restarted while waiting for its turn is no longer paused.
  decision.facts = co_await log_comparison_.gather_facts(closed);
  decision.choice = log_comparison_.choose(decision.facts);
  co_return decision;
}

Awaitable<void> GroupKeeper::replace_primary(GroupTerm closed) {
  const std::optional<Decision> decision = co_await choose(closed);
  if (!decision) co_return co_await release_.release(closed.group);
  GroupTerm chosen = closed;
  chosen.primary = decision->choice.backend;
  log_choice(chosen, decision->choice);
  if (!terms_.leads()) co_return;
  if (decision->choice.verdict == PromotionVerdict::kNotYet) {
    // Members that lag can catch up only after their pause ends. While a requested promotion may still take
    // effect, they stay paused for a proxy that may not know of the close: it could use the old primary.
    const bool is_settled = fleet_.unsettled_promotions().of(closed.group).empty();
    if (is_settled || decision->facts.all_proxies_answered) co_await release_.release(closed.group);
    co_await runtime_.sleep_for(kFailoverRetryDelay);
    co_return;
  }
  const MemberFinding member = find_member(decision->facts, decision->choice.backend);
  if (decision->choice.verdict != PromotionVerdict::kPromote &&
      awaits_settlement(closed.group, chosen.primary))
    co_return co_await request_settlement(closed, member);
  std::optional<std::uint64_t> term = decision->choice.term;
  if (decision->choice.verdict == PromotionVerdict::kPromote) term = co_await promote(closed, member);
  if (!term && !terms_.is_still_closed(closed)) co_return co_await release_.release(closed.group);
  // The promotion may still take effect, so the members stay paused.
  if (!term) co_return;
  // The state machine would reject the opening. The next attempt adopts the promoted backend.
  if (awaits_settlement(closed.group, chosen.primary))
    co_return co_await runtime_.sleep_for(kFailoverRetryDelay);
  co_await open(closed, *decision, member, *term);
}

void GroupKeeper::log_choice(const GroupTerm& chosen, const PromotionChoice& choice) {
  const bool waits = choice.verdict == PromotionVerdict::kNotYet;
  std::string& logged = logged_waits_[chosen.group];
  const std::string reason = waits ? fmt::format("{}: {}", chosen.epoch, choice.why) : "";
  if (!waits || logged != reason) terms_.log("promotion_chosen", chosen, choice.why);
  logged = reason;
}

bool GroupKeeper::awaits_settlement(const GroupName& group, const BackendName& primary) const {
  return fleet_.unsettled_promotions().excludes(group, primary);
}

Awaitable<void> GroupKeeper::request_settlement(GroupTerm closed, MemberFinding chosen) {
  if (fleet_.unsettled_promotions().awaits_answer(closed.group))
    co_await promotion_requests_.request(closed, chosen.entry.incarnation());
  co_await runtime_.sleep_for(kFailoverRetryDelay);
}

Awaitable<std::optional<std::uint64_t>> GroupKeeper::promote(GroupTerm closed, MemberFinding chosen) {
  const bool requested = co_await promotion_requests_.request(closed, chosen.entry.incarnation());
  if (!requested) co_return std::nullopt;
  co_return co_await promotion_.wait_until_leading(closed, chosen);
}

Awaitable<void> GroupKeeper::open(GroupTerm closed, Decision decision, MemberFinding chosen,
                                  std::uint64_t term) {
  suspicions_.clear_unable_to_connect(closed.group);
  // Commits on the new primary need a replica, so replicas resume while the group is being opened.
  runtime_.spawn("resume_members", release_.release(closed.group));
  const registry::TermStart start{chosen.status->received, decision.facts.revision};
  const bool opened =
      co_await terms_.open(closed, chosen.entry.incarnation(), term, start, decision.choice.why);
  if (opened && decision.choice.is_unproved) report_unproved(decision.facts, chosen);
  if (opened && decision.choice.backend != closed.primary)
    runtime_.spawn("step_down", promotion_.step_down(closed.group, closed.primary, term));
}

void GroupKeeper::report_unproved(const PromotionFacts& facts, const MemberFinding& chosen) {
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
