// GroupKeeper's part for closed groups: from the close to the next primary.
#include <fmt/format.h>

#include <algorithm>

#include "registered/control/failover/group_keeper.h"
#include "registered/control/knobs.h"

namespace cairnhollow::registered::control {

using registry::GroupTerm;

Awaitable<bool> GroupKeeper::wait_closed(GroupTerm closed) {
  const bool quiet = co_await wait_leases(closed);
  if (quiet) co_await wait_member_leases(closed);
  co_return leads();
}

Awaitable<bool> GroupKeeper::wait_leases(GroupTerm closed) {
  const TimePoint silent_at = runtime_.now() + kSilentProxyAfter;
  bool pausing = false;
  FenceProgress progress = leases_.fence_progress(closed.group, closed.epoch);
  while (leads() && !progress.complete) {
    if (!pausing && runtime_.now() >= silent_at) {
      pausing = true;
      runtime_.spawn("pause_members", pauses_.pause(closed));
    }
    co_await leases_.answered().wait_until(runtime_.now() + kDeadLookPause);
    progress = leases_.fence_progress(closed.group, closed.epoch);
  }
  co_return leads();
}

Awaitable<void> GroupKeeper::wait_member_leases(GroupTerm closed) {
  FenceProgress progress = leases_.fence_progress(closed.group, closed.epoch);
  if (progress.all_answered) co_return;
  co_await pauses_.pause(closed);
  // Without any paused member nobody is promoted, but the old primary may be used again.
  const TimePoint quiet = pauses_.quiet_at(closed, progress.silent_revision);
  if (quiet == TimePoint::max()) co_return;
  while (leads() && !progress.all_answered && runtime_.now() < quiet) {
    co_await leases_.answered().wait_until(std::min(quiet, runtime_.now() + kDeadLookPause));
    progress = leases_.fence_progress(closed.group, closed.epoch);
  }
}

Awaitable<void> GroupKeeper::fail_over(GroupName group) {
  const auto closed = term_of(group);
  if (!closed || closed->open) co_return;
  const bool quiet = co_await wait_closed(*closed);
  if (quiet) co_await replace_primary(*closed);
}

Awaitable<PromotionFacts> GroupKeeper::gather_facts(GroupTerm closed) {
  PromotionFacts facts;
  facts.closed = closed;
  const registry::GroupRule* rule = fleet_.find_group(closed.group);
  if (rule != nullptr) facts.synchronous_replicas = rule->synchronous_replicas;
  const FenceProgress progress = leases_.fence_progress(closed.group, closed.epoch);
  facts.all_acknowledgers_answered = progress.all_answered && fleet_.knows_all_acknowledgers(closed);
  facts.all_proxies_answered = progress.all_answered;
  facts.silent_revision = progress.silent_revision;
  facts.highest_acknowledged = progress.highest_acknowledged;
  facts.allowing_routes = regions_.allowing_routes(closed.group, fleet_.backends_of(closed.group));
  watch_members(closed.group);
  facts.members_are_stable = are_members_settled(closed.group);
  const Membership& membership = memberships_[closed.group];
  facts.replaced_incarnation_is_unsettled = membership.unsettled && membership.was_replaced;
  // A dead primary does not answer: it is not waited for when the replicas' answers will do.
  const auto enough = [this, facts](const std::vector<MemberFinding>& findings) mutable {
    facts.members = findings;
    mark_evacuated(facts.members);
    const bool all_replicas = std::all_of(findings.begin(), findings.end(), [&](const MemberFinding& member) {
      return member.status || member.entry.name == facts.closed.primary;
    });
    if (!all_replicas) return false;
    const PromotionChoice choice = choose_promotion(facts, false);
    // One in an evacuated zone may follow only a primary that surely does not run.
    const registry::BackendEntry* chosen = fleet_.find_backend(choice.backend);
    const bool outside = chosen != nullptr && !fleet_.is_evacuated(chosen->zone);
    return choice.verdict == PromotionVerdict::kPromote && !choice.is_unproved && outside;
  };
  std::vector<MemberFinding> members;
  for (registry::BackendEntry& entry : fleet_.backends_of(closed.group)) {
    // What was gathered into one command has one revision.
    const bool joined = entry.tells_birth() && fleet_.backend_revision(entry.name) >= closed.opened_at;
    members.push_back({std::move(entry), std::nullopt, joined});
  }
  facts.members = co_await prober_.ask_all(std::move(members), enough);
  mark_evacuated(facts.members);
  co_return facts;
}

void GroupKeeper::mark_evacuated(std::vector<MemberFinding>& members) const {
  for (MemberFinding& member : members) member.evacuated = fleet_.is_evacuated(member.entry.zone);
}

PromotionChoice GroupKeeper::choose_next(const PromotionFacts& facts) {
  PromotionChoice choice = choose_promotion(facts, true);
  if (choice.verdict != PromotionVerdict::kPromote || facts.all_proxies_answered) return choice;
  if (pauses_.hold(facts.closed, facts.silent_revision, facts.members, choice.backend)) return choice;
  return {PromotionVerdict::kNotYet, {}, 0, "a proxy that did not answer may still use the old primary"};
}

MemberFinding GroupKeeper::chosen_member(const PromotionFacts& facts, const BackendName& backend) {
  for (const MemberFinding& member : facts.members) {
    if (member.entry.name == backend) return member;
  }
  return {};
}

void GroupKeeper::mark_unproved(const PromotionFacts& facts, const MemberFinding& chosen) {
  ++unproved_promotions_;
  const Position& kept = chosen.status->received;
  const Position& known = facts.highest_acknowledged;
  runtime_.logger().log(runtime::LogLevel::kError, "promotion_unproved",
                        {{"group", facts.closed.group.value},
                         {"backend", chosen.entry.name.value},
                         {"kept", fmt::format("{}.{}", kept.term, kept.index)},
                         {"acknowledged", fmt::format("{}.{}", known.term, known.index)}});
}

Awaitable<void> GroupKeeper::replace_primary(GroupTerm closed) {
  PromotionFacts facts = co_await gather_facts(closed);
  PromotionChoice choice = choose_next(facts);
  if (choice.verdict == PromotionVerdict::kPromote) {
    const bool at_once = co_await turns_.take(urgencies()[closed.group]);
    // What was found may have changed meanwhile: a paused member that restarted is not paused any more.
    if (!is_still_closed(closed)) co_return co_await resume_members(closed.group);
    if (!at_once) facts = co_await gather_facts(closed);
    if (!at_once) choice = choose_next(facts);
  }
  GroupTerm chosen = closed;
  chosen.primary = choice.backend;
  log("promotion_chosen", chosen, choice.why);
  if (!leads()) co_return;
  if (choice.verdict == PromotionVerdict::kNotYet) {
    // Whoever is behind can only catch up unpaused.
    co_await resume_members(closed.group);
    co_await runtime_.sleep_for(kFailoverRetry);
    co_return;
  }
  const MemberFinding member = chosen_member(facts, choice.backend);
  std::optional<std::uint64_t> term = choice.term;
  if (choice.verdict == PromotionVerdict::kPromote) {
    term.reset();
    const bool ordered = co_await promote(closed, member.entry.incarnation());
    if (ordered) term = co_await wait_promoted(closed, member);
  }
  if (!term && !is_still_closed(closed)) co_return co_await resume_members(closed.group);
  // The order may still take effect: the members stay paused.
  if (!term) co_return;
  out_of_reach_.erase(closed.group);
  // Its commits need a replica: these receive again while the group is opened.
  runtime_.spawn("resume_members", resume_members(closed.group));
  const bool opened = co_await open(closed, member.entry.incarnation(), *term, choice.why);
  if (opened && choice.is_unproved) mark_unproved(facts, member);
  if (opened && choice.backend != closed.primary)
    runtime_.spawn("step_down", step_down(closed.group, closed.primary, *term));
}

Awaitable<void> GroupKeeper::resume_members(GroupName group) {
  if (!pauses_.any(group)) co_return;
  // An old leader must not end the pauses of its successor.
  Reason reason;
  const auto confirmed = co_await consensus_.read_barrier(runtime_.now() + kCommitTimeout, reason);
  if (confirmed && leads()) co_await pauses_.resume(group);
}

Awaitable<void> GroupKeeper::resume_left_members() {
  Reason reason;
  const auto confirmed = co_await consensus_.read_barrier(runtime_.now() + kCommitTimeout, reason);
  if (!confirmed) {
    resumed_left_ = false;
    co_return;
  }
  for (const auto& group : fleet_.groups()) {
    const auto term = term_of(group.name);
    if (!leads()) co_return;
    if (term && term->open) co_await pauses_.resume_left(group.name);
  }
}

bool GroupKeeper::is_still_closed(const GroupTerm& closed) const {
  const auto now = term_of(closed.group);
  return now && !now->open && now->epoch == closed.epoch;
}

Awaitable<bool> GroupKeeper::promote(GroupTerm closed, registry::BackendIncarnation chosen) {
  Reason reason;
  const TimePoint asked = runtime_.now();
  const auto confirmed = co_await consensus_.read_barrier(asked + kCommitTimeout, reason);
  if (!confirmed || !leads() || runtime_.now() - asked > kPromotionFreshness) co_return false;
  if (!is_still_closed(closed)) co_return false;
  const registry::BackendEntry* entry = fleet_.find_backend(chosen.name);
  if (entry == nullptr || entry->incarnation() != chosen) co_return false;
  registry::PromotionOrder order{closed.group, chosen.name, node_, consensus_.term()};
  const TimePoint deadline = runtime_.now() + kPromotionCallTimeout;
  const bool taken = co_await promotions_.promote(order, deadline, reason);
  GroupTerm ordered = closed;
  ordered.primary = chosen.name;
  log(taken ? "promotion_ordered" : "promotion_unclear", ordered, taken ? "taken" : reason.to_string());
  // Without a clear answer it may have been taken: the backend's own status tells.
  const bool refused =
      !taken && (reason.code == ReasonCode::kConflict || reason.code == ReasonCode::kOverloaded);
  if (refused) co_await runtime_.sleep_for(kFailoverRetry);
  co_return !refused;
}

Awaitable<std::optional<std::uint64_t>> GroupKeeper::wait_promoted(GroupTerm closed, MemberFinding chosen) {
  const TimePoint limit = runtime_.now() + kPromotionLimit;
  Reason reason;
  while (leads() && runtime_.now() < limit) {
    const registry::BackendEntry* entry = fleet_.find_backend(chosen.entry.name);
    if (entry == nullptr || entry->incarnation() != chosen.entry.incarnation()) co_return std::nullopt;
    const registry::BackendEntry asked = *entry;
    const auto status = co_await prober_.ask(asked, runtime_.now() + kStatusTimeout, reason);
    if (status && status->is_primary && status->term > closed.term) {
      const bool has_log = !asked.tells_birth() || status->received >= chosen.status->received;
      if (has_log) co_return status->term;
      closed.primary = chosen.entry.name;
      log("promoted_without_its_log", closed, "it started again before it led");
      co_return std::nullopt;
    }
    co_await runtime_.sleep_for(kPromotionPoll);
  }
  co_return std::nullopt;
}

Awaitable<void> GroupKeeper::step_down(GroupName group, BackendName old_primary, std::uint64_t term) {
  const TimePoint limit = runtime_.now() + kDemoteLimit;
  while (leads() && runtime_.now() < limit) {
    const auto current = term_of(group);
    const registry::BackendEntry* entry = fleet_.find_backend(old_primary);
    if (entry == nullptr || !current || current->term != term) co_return;
    const registry::BackendEntry asked = *entry;
    Reason reason;
    const auto status = co_await prober_.demote(asked, term, runtime_.now() + kStatusTimeout, reason);
    if (status && !status->is_primary) co_return;
    co_await runtime_.sleep_for(kDemotePause);
  }
}

}  // namespace cairnhollow::registered::control
