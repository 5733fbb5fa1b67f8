#include "control/registered/promotion_choice.h"

#include <fmt/format.h>

namespace cairnhollow::control::registered {

namespace {

bool is_old_primary(const MemberFinding& member, const PromotionFacts& facts) {
  return member.entry.name == facts.closed.primary;
}

/// A primary of a term above the closed one: an order that was given before has taken effect.
const MemberFinding* find_newer_primary(const PromotionFacts& facts) {
  const MemberFinding* newest = nullptr;
  for (const MemberFinding& member : facts.members) {
    if (!member.status || !member.status->is_primary || member.status->term <= facts.closed.term) continue;
    if (newest == nullptr || member.status->term > newest->status->term) newest = &member;
  }
  return newest;
}

/// The furthest log among the replicas; of equal ones, a backend that stays.
const MemberFinding* find_furthest(const PromotionFacts& facts) {
  const MemberFinding* best = nullptr;
  for (const MemberFinding& member : facts.members) {
    if (!member.status || is_old_primary(member, facts) || member.status->is_primary) continue;
    if (best == nullptr) {
      best = &member;
      continue;
    }
    const Position& position = member.status->received;
    const bool further = position > best->status->received;
    const bool equal = position == best->status->received;
    if (further || (equal && best->entry.leaving && !member.entry.leaving)) best = &member;
  }
  return best;
}

std::size_t routes_at(const MemberFinding& member, const PromotionFacts& facts) {
  const auto found = facts.allowing_routes.find(member.entry.name);
  return found == facts.allowing_routes.end() ? 0 : found->second;
}

struct Proof {
  bool holds_all = false;
  std::string why;
};

/// By its own position, wherever other replicas are.
Proof prove_alone(const MemberFinding& candidate, const PromotionFacts& facts) {
  const Position& position = candidate.status->received;
  if (facts.all_acknowledgers_answered && position >= facts.highest_acknowledged)
    return {true, "it reaches the highest position that any proxy acknowledged"};
  for (const MemberFinding& member : facts.members) {
    if (is_old_primary(member, facts) && member.status && position >= member.status->received)
      return {true, "it reaches the old primary's position"};
  }
  return {};
}

/// Of the furthest replica.
Proof prove(const MemberFinding& candidate, const PromotionFacts& facts) {
  Proof alone = prove_alone(candidate, facts);
  if (alone.holds_all) return alone;
  const Position& position = candidate.status->received;
  bool any_replica_missing = false;
  for (const MemberFinding& member : facts.members)
    any_replica_missing = any_replica_missing || (!is_old_primary(member, facts) && !member.status);
  const bool nobody_left = facts.members_are_stable || position >= facts.highest_acknowledged;
  if (!any_replica_missing && facts.synchronous_replicas > 0 && nobody_left)
    return {true, "it is the furthest of all replicas"};
  return {false, fmt::format("{} at {}.{} may lack acknowledged commits", candidate.entry.name.value,
                             position.term, position.index)};
}

/// Where more of the group's routes may write than at the furthest, the furthest of those; null: nowhere.
const MemberFinding* find_preferred(const MemberFinding& furthest, const PromotionFacts& facts) {
  if (facts.allowing_routes.empty()) return nullptr;
  const MemberFinding* best = nullptr;
  for (const MemberFinding& member : facts.members) {
    if (!member.status || is_old_primary(member, facts) || member.status->is_primary) continue;
    if (member.entry.leaving || !prove_alone(member, facts).holds_all) continue;
    const std::size_t routes = routes_at(member, facts);
    if (routes <= routes_at(furthest, facts)) continue;
    const std::size_t best_routes = best == nullptr ? 0 : routes_at(*best, facts);
    const bool further = best != nullptr && member.status->received > best->status->received;
    if (routes > best_routes || (routes == best_routes && further)) best = &member;
  }
  return best;
}

PromotionChoice promote(const MemberFinding& furthest, const Proof& proof, const PromotionFacts& facts) {
  const MemberFinding* preferred = find_preferred(furthest, facts);
  if (preferred == nullptr) return {PromotionVerdict::kPromote, furthest.entry.name, 0, proof.why};
  return {PromotionVerdict::kPromote, preferred->entry.name, 0,
          fmt::format("{}; {} of the group's routes may write there, {} at {}",
                      prove_alone(*preferred, facts).why, routes_at(*preferred, facts),
                      routes_at(furthest, facts), furthest.entry.name.value)};
}

}  // namespace

PromotionChoice choose_promotion(const PromotionFacts& facts, bool reopen_allowed) {
  if (const MemberFinding* newer = find_newer_primary(facts))
    return {PromotionVerdict::kAdopt, newer->entry.name, newer->status->term,
            "it leads a higher term already"};
  const MemberFinding* candidate = find_furthest(facts);
  Proof proof;
  if (candidate != nullptr) proof = prove(*candidate, facts);
  if (proof.holds_all) return promote(*candidate, proof, facts);
  for (const MemberFinding& member : facts.members) {
    const bool leads = member.status && member.status->is_primary && is_old_primary(member, facts);
    if (leads && reopen_allowed && !member.entry.leaving)
      return {PromotionVerdict::kReopen, member.entry.name, member.status->term, "it answers as before"};
  }
  return {PromotionVerdict::kNotYet, {}, 0, candidate == nullptr ? "no replica answers" : proof.why};
}

}  // namespace cairnhollow::control::registered
