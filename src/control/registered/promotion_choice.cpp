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

bool may_follow(const MemberFinding& member, const PromotionFacts& facts) {
  return member.status && !is_old_primary(member, facts) && !member.status->is_primary;
}

/// The furthest log among the replicas in evacuated zones, or among the others; of equal ones, a backend that
/// stays.
const MemberFinding* find_furthest(const PromotionFacts& facts, bool evacuated) {
  const MemberFinding* best = nullptr;
  for (const MemberFinding& member : facts.members) {
    if (!may_follow(member, facts) || member.evacuated != evacuated) continue;
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

const MemberFinding* find_old_primary(const PromotionFacts& facts) {
  for (const MemberFinding& member : facts.members) {
    if (is_old_primary(member, facts)) return &member;
  }
  return nullptr;
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
  bool is_furthest = true;
  for (const MemberFinding& member : facts.members) {
    if (is_old_primary(member, facts)) {
      if (member.status && position >= member.status->received)
        return {true, "it reaches the old primary's position"};
      continue;
    }
    if (!member.status) any_replica_missing = true;
    if (may_follow(member, facts) && member.status->received > position) is_furthest = false;
  }
  const bool nobody_left = facts.members_are_stable || position >= facts.highest_acknowledged;
  if (!any_replica_missing && is_furthest && facts.synchronous_replicas > 0 && nobody_left)
    return {true, "it is the furthest of all replicas"};
  return {false, fmt::format("{} at {}.{} may lack acknowledged commits", candidate.entry.name.value,
                             position.term, position.index)};
}

}  // namespace

PromotionChoice choose_promotion(const PromotionFacts& facts, bool reopen_allowed) {
  if (const MemberFinding* newer = find_newer_primary(facts))
    return {PromotionVerdict::kAdopt, newer->entry.name, newer->status->term,
            "it leads a higher term already"};
  const MemberFinding* outside = find_furthest(facts, false);
  const MemberFinding* inside = find_furthest(facts, true);
  const MemberFinding* old = find_old_primary(facts);
  const bool old_leads = old != nullptr && old->status && old->status->is_primary;
  Proof proof{false, "no replica answers"};
  if (outside != nullptr) proof = prove(*outside, facts);
  if (proof.holds_all) return {PromotionVerdict::kPromote, outside->entry.name, 0, proof.why};
  if (inside != nullptr && !old_leads) {
    const Proof of_inside = prove(*inside, facts);
    if (of_inside.holds_all)
      return {PromotionVerdict::kPromote, inside->entry.name, 0,
              of_inside.why + "; its zone is evacuated, and nobody outside may follow yet"};
  }
  if (old_leads && old->evacuated && outside != nullptr)
    return {PromotionVerdict::kNotYet, {}, 0, "its zone is evacuated, and " + proof.why};
  if (old_leads && reopen_allowed && !old->entry.leaving)
    return {PromotionVerdict::kReopen, old->entry.name, old->status->term, "it answers as before"};
  return {PromotionVerdict::kNotYet, {}, 0, proof.why};
}

}  // namespace cairnhollow::control::registered
