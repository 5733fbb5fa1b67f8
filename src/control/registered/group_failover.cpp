// GroupKeeper's part for closed groups: from the close to the next primary.
#include <algorithm>

#include "control/registered/group_keeper.h"
#include "control/registered/knobs.h"

namespace cairnhollow::control::registered {

using registry::GroupTerm;

Awaitable<bool> GroupKeeper::wait_closed(GroupTerm closed) {
  const bool quiet = co_await wait_leases(closed);
  if (quiet) co_await wait_member_leases(closed);
  co_return leads();
}

Awaitable<bool> GroupKeeper::wait_leases(GroupTerm closed) {
  const TimePoint silent_at = runtime_.now() + kSilentProxyAfter;
  bool pausing = false;
  CloseProgress progress = leases_.close_progress(closed.group, closed.epoch);
  while (leads() && !progress.complete) {
    if (!pausing && runtime_.now() >= silent_at) {
      pausing = true;
      runtime_.spawn("pause_members", pauses_.pause(closed));
    }
    co_await leases_.answered().wait_until(runtime_.now() + kDeadLookPause);
    progress = leases_.close_progress(closed.group, closed.epoch);
  }
  co_return leads();
}

Awaitable<void> GroupKeeper::wait_member_leases(GroupTerm closed) {
  CloseProgress progress = leases_.close_progress(closed.group, closed.epoch);
  if (progress.all_answered) co_return;
  co_await pauses_.pause(closed);
  // Without any paused member nobody is promoted, but the old primary may be used again.
  const TimePoint quiet = pauses_.quiet_at(closed, progress.silent_revision);
  if (quiet == TimePoint::max()) co_return;
  while (leads() && !progress.all_answered && runtime_.now() < quiet) {
    co_await leases_.answered().wait_until(std::min(quiet, runtime_.now() + kDeadLookPause));
    progress = leases_.close_progress(closed.group, closed.epoch);
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
  const CloseProgress progress = leases_.close_progress(closed.group, closed.epoch);
  facts.all_acknowledgers_answered = progress.all_answered && fleet_.knows_all_acknowledgers(closed);
  facts.all_proxies_answered = progress.all_answered;
  facts.silent_revision = progress.silent_revision;
  facts.highest_acknowledged = progress.highest_acknowledged;
  facts.allowing_routes = regions_.allowing_routes(closed.group, fleet_.backends_of(closed.group));
  watch_members(closed.group);
  facts.members_are_stable = are_members_settled(closed.group);
  // A dead primary does not answer: it is not waited for when the replicas' answers will do.
  const auto enough = [facts](const std::vector<MemberFinding>& findings) mutable {
    facts.members = findings;
    const bool all_replicas = std::all_of(findings.begin(), findings.end(), [&](const MemberFinding& member) {
      return member.status || member.entry.name == facts.closed.primary;
    });
    return all_replicas && choose_promotion(facts, false).verdict == PromotionVerdict::kPromote;
  };
  facts.members = co_await prober_.ask_all(fleet_.backends_of(closed.group), enough);
  co_return facts;
}

PromotionChoice GroupKeeper::choose_next(const PromotionFacts& facts) {
  PromotionChoice choice = choose_promotion(facts, true);
  if (choice.verdict != PromotionVerdict::kPromote || facts.all_proxies_answered) return choice;
  if (pauses_.hold(facts.closed, facts.silent_revision, facts.members, choice.backend)) return choice;
  return {PromotionVerdict::kNotYet, {}, 0, "a proxy that did not answer may still use the old primary"};
}

Awaitable<void> GroupKeeper::replace_primary(GroupTerm closed) {
  const PromotionFacts facts = co_await gather_facts(closed);
  const PromotionChoice choice = choose_next(facts);
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
  std::optional<std::uint64_t> term = choice.term;
  if (choice.verdict == PromotionVerdict::kPromote) {
    term.reset();
    const bool ordered = co_await promote(closed, choice.backend);
    if (ordered) term = co_await wait_promoted(closed, choice.backend);
  }
  // The order may still take effect: the members stay paused.
  if (!term) co_return;
  out_of_reach_.erase(closed.group);
  // Its commits need a replica: these receive again while the group is opened.
  runtime_.spawn("resume_members", resume_members(closed.group));
  const bool opened = co_await open(closed, choice.backend, *term, choice.why);
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

Awaitable<bool> GroupKeeper::promote(GroupTerm closed, BackendName backend) {
  Reason reason;
  const TimePoint asked = runtime_.now();
  const auto confirmed = co_await consensus_.read_barrier(asked + kCommitTimeout, reason);
  if (!confirmed || !leads() || runtime_.now() - asked > kPromotionFreshness) co_return false;
  registry::PromotionOrder order{closed.group, backend, node_, consensus_.term()};
  const TimePoint deadline = runtime_.now() + kPromotionCallTimeout;
  const bool taken = co_await promotions_.promote(order, deadline, reason);
  GroupTerm chosen = closed;
  chosen.primary = backend;
  log(taken ? "promotion_ordered" : "promotion_unclear", chosen, taken ? "taken" : reason.to_string());
  // Without a clear answer it may have been taken: the backend's own status tells.
  co_return taken || reason.code != ReasonCode::kConflict;
}

Awaitable<std::optional<std::uint64_t>> GroupKeeper::wait_promoted(GroupTerm closed, BackendName backend) {
  const TimePoint limit = runtime_.now() + kPromotionLimit;
  Reason reason;
  while (leads() && runtime_.now() < limit) {
    const registry::BackendEntry* entry = fleet_.find_backend(backend);
    if (entry == nullptr) co_return std::nullopt;
    const registry::BackendEntry asked = *entry;
    const auto status = co_await prober_.ask(asked, runtime_.now() + kStatusTimeout, reason);
    if (status && status->is_primary && status->term > closed.term) co_return status->term;
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

}  // namespace cairnhollow::control::registered
