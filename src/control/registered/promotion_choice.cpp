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

struct Proof {
  bool holds_all = false;
  std::string why;
};

Proof prove(const MemberFinding& candidate, const PromotionFacts& facts) {
  const Position& position = candidate.status->received;
  if (facts.all_acknowledgers_answered && position >= facts.highest_acknowledged)
    return {true, "it reaches the highest position that any proxy acknowledged"};
  bool any_replica_missing = false;
  for (const MemberFinding& member : facts.members) {
    if (is_old_primary(member, facts)) {
      if (member.status && position >= member.status->received)
        return {true, "it reaches the old primary's position"};
      continue;
    }
    if (!member.status) any_replica_missing = true;
  }
  const bool nobody_left = facts.members_are_stable || position >= facts.highest_acknowledged;
  if (!any_replica_missing && facts.synchronous_replicas > 0 && nobody_left)
    return {true, "it is the furthest of all replicas"};
  return {false, fmt::format("{} at {}.{} may lack acknowledged commits", candidate.entry.name.value,
                             position.term, position.index)};
}

}  // namespace

PromotionChoice choose_promotion(const PromotionFacts& facts, bool reopen_allowed) {
  if (const MemberFinding* newer = find_newer_primary(facts))
    return {PromotionVerdict::kAdopt, newer->entry.name, newer->status->term,
            "it leads a higher term already"};
  const MemberFinding* candidate = find_furthest(facts);
  Proof proof;
  if (candidate != nullptr) proof = prove(*candidate, facts);
  if (proof.holds_all) return {PromotionVerdict::kPromote, candidate->entry.name, 0, proof.why};
  for (const MemberFinding& member : facts.members) {
    const bool leads = member.status && member.status->is_primary && is_old_primary(member, facts);
    if (leads && reopen_allowed && !member.entry.leaving)
      return {PromotionVerdict::kReopen, member.entry.name, member.status->term, "it answers as before"};
  }
  return {PromotionVerdict::kNotYet, {}, 0, candidate == nullptr ? "no replica answers" : proof.why};
}

}  // namespace cairnhollow::control::registered
