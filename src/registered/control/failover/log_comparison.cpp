#include "registered/control/failover/log_comparison.h"

#include <algorithm>
#include <utility>

namespace cairnhollow::registered::control {

using registry::GroupTerm;

PromotionFacts LogComparison::facts_without_members(const GroupTerm& closed) {
  PromotionFacts facts;
  facts.closed = closed;
  facts.revision = fleet_.revision();
  const auto start = fleet_.term_start(closed.group);
  if (start) facts.term_start = start->position;
  const registry::GroupRule* rule = fleet_.find_group(closed.group);
  if (rule != nullptr) facts.synchronous_replicas = rule->synchronous_replicas;
  const FenceProgress progress = leases_.fence_progress(closed.group, closed.epoch);
  facts.all_acknowledgers_answered = progress.all_answered && bounds_.cover_lost_proxies(closed);
  facts.lost_acknowledgers_bound = bounds_.bound_of(closed);
  facts.all_proxies_answered = progress.all_answered;
  facts.min_unresponsive_revision = progress.min_unresponsive_revision;
  facts.highest_acknowledged = progress.highest_acknowledged;
  facts.certainly_acknowledged = leases_.certainly_acknowledged(closed.group);
  const BackendName* requested = fleet_.unsettled_promotions().backend_of(closed.group);
  if (requested != nullptr) facts.requested = *requested;
  const std::vector<registry::PromotionAttempt>& unsettled = fleet_.unsettled_promotions().of(closed.group);
  if (requested == nullptr && !unsettled.empty()) facts.withdrawn = unsettled.back().backend;
  facts.allowing_routes = regions_.allowing_routes(closed.group, fleet_.backends_of(closed.group));
  return facts;
}

std::vector<MemberFinding> LogComparison::members_to_query(const GroupTerm& closed) const {
  std::vector<MemberFinding> members;
  for (registry::BackendEntry& entry : fleet_.backends_of(closed.group))
    members.push_back({std::move(entry), std::nullopt});
  for (const registry::DepartedMember& departed : fleet_.departed().of(closed.group))
    members.push_back(
        {departed_entry(departed, closed.group), std::nullopt, false, true, departed.has_ended});
  return members;
}

bool LogComparison::facts_suffice(const PromotionFacts& facts) const {
  const bool all_replicas =
      std::all_of(facts.members.begin(), facts.members.end(), [&](const MemberFinding& member) {
        return member.status || member.entry.name == facts.closed.primary;
      });
  if (!all_replicas) return false;
  const PromotionChoice choice = choose_promotion(facts, false);
  // A replica in an evacuated zone may be chosen only if the old primary is known not to run.
  const registry::BackendEntry* chosen = fleet_.find_backend(choice.backend);
  const bool is_outside_evacuated_zones = chosen != nullptr && !fleet_.is_evacuated(chosen->zone);
  return choice.verdict == PromotionVerdict::kPromote && !choice.is_unproved && !choice.is_by_comparison &&
         is_outside_evacuated_zones;
}

Awaitable<PromotionFacts> LogComparison::gather_facts(GroupTerm closed) {
  PromotionFacts facts = facts_without_members(closed);
  const auto suffices = [this, facts](const std::vector<MemberFinding>& findings) mutable {
    set_findings(facts, findings);
    return facts_suffice(facts);
  };
  auto findings = co_await prober_.query_all(members_to_query(closed), suffices);
  set_findings(facts, std::move(findings));
  co_return facts;
}

void LogComparison::set_findings(PromotionFacts& facts, std::vector<MemberFinding> findings) const {
  facts.members.clear();
  facts.departed.clear();
  for (MemberFinding& finding : findings) {
    finding.evacuated = fleet_.is_evacuated(finding.entry.zone);
    (finding.has_departed ? facts.departed : facts.members).push_back(std::move(finding));
  }
}

PromotionChoice LogComparison::choose(const PromotionFacts& facts) const {
  PromotionChoice choice = choose_promotion(facts, true);
  if (choice.verdict != PromotionVerdict::kPromote || facts.all_proxies_answered) return choice;
  if (pauses_.fences_old_primary(facts.closed, facts.min_unresponsive_revision, facts.members,
                                 choice.backend))
    return choice;
  return {PromotionVerdict::kNotYet,
          {},
          0,
          "a proxy that did not acknowledge the close may still use the old primary"};
}

Awaitable<bool> LogComparison::has_provable_successor(GroupTerm term) {
  PromotionFacts facts = co_await gather_facts(term);
  // The term is still open, so proxies have not reported their positions; the choice is made again after the
  // close.
  facts.all_acknowledgers_answered = false;
  const PromotionChoice choice = choose_promotion(facts, false);
  const bool is_proved = choice.verdict == PromotionVerdict::kPromote && !choice.is_unproved;
  if (is_proved && !choice.is_by_comparison) co_return true;
  const bool all_will_answer =
      leases_.followers() >= fleet_.proxy_count() && bounds_.cover_lost_proxies(term);
  const Position known =
      std::max(facts.certainly_acknowledged, facts.lost_acknowledgers_bound.value_or(Position{}));
  const auto may_succeed = [&](const MemberFinding& member) {
    return member.entry.name != term.primary && member.status && !has_lost_log(member, facts) &&
           member.status->received >= known;
  };
  const bool has_candidate = std::any_of(facts.members.begin(), facts.members.end(), may_succeed);
  co_return all_will_answer&& has_candidate;
}

}  // namespace cairnhollow::registered::control
