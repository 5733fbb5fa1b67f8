#include "registered/control/failover/promotion_choice.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cairnhollow::registered::control {

namespace {

bool is_old_primary(const MemberFinding& member, const PromotionFacts& facts) {
  return facts.closed.is_led_by(member.entry);
}

bool is_restarted_primary(const MemberFinding& member, const PromotionFacts& facts) {
  return facts.closed.is_restarted_primary(member.entry);
}

bool leads_closed_term(const MemberFinding& member, const PromotionFacts& facts) {
  return member.status && member.status->is_primary && member.status->term == facts.closed.term;
}

/// Whether its status is that of the incarnation which led the closed term. One that tells its start may
/// answer in its next incarnation before that one has registered.
bool shows_old_log(const MemberFinding& member, const PromotionFacts& facts) {
  if (!member.status || !is_old_primary(member, facts)) return false;
  if (!member.entry.has_start_time()) return true;
  return leads_closed_term(member, facts) && !is_blank(member, facts);
}

/// A primary of a term above the closed one: an order that was given before has taken effect.
const MemberFinding* find_newer_primary(const PromotionFacts& facts) {
  const MemberFinding* newest = nullptr;
  for (const MemberFinding& member : facts.members) {
    if (!member.status || !member.status->is_primary || member.status->term <= facts.closed.term) continue;
    if (is_blank(member, facts)) continue;
    if (newest == nullptr || member.status->term > newest->status->term) newest = &member;
  }
  return newest;
}

/// Whether it may follow: a replica, or the primary's next incarnation where that leads the closed term
/// again.
bool may_follow(const MemberFinding& member, const PromotionFacts& facts) {
  if (!member.status || is_old_primary(member, facts)) return false;
  if (!member.status->is_primary) return true;
  return is_restarted_primary(member, facts) && leads_closed_term(member, facts);
}

/// The furthest log among those who may follow in evacuated zones, or among the others; of equal ones, a
/// backend that stays.
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

/// Whether what it shows can be compared with: it answers, and has not lost what it held.
bool was_compared(const MemberFinding& member, const PromotionFacts& facts) {
  return member.status && !is_blank(member, facts);
}

/// Whether its log reaches the highest position that any proxy acknowledged in the closed term, all earlier
/// commits included.
bool reaches_acknowledged(const MemberFinding& candidate, const PromotionFacts& facts) {
  if (!facts.all_acknowledgers_answered) return false;
  const Position& position = candidate.status->received;
  // Proxies that started since the term opened know of no commits of earlier ones. Entries of this term say
  // that a log has those; that of an incarnation which joined since may lack them.
  const bool has_earlier = !candidate.joined_in_term || position.term >= facts.closed.term;
  return has_earlier && position >= facts.highest_acknowledged;
}

/// Whether the group never had a commit, for all that can be known: it had one term, and no proxy was lost
/// that may have acknowledged anything in it.
bool is_unwritten(const PromotionFacts& facts) {
  constexpr std::uint64_t kEpochOfFirstClose = 2;
  return facts.closed.epoch <= kEpochOfFirstClose && facts.all_acknowledgers_answered &&
         facts.highest_acknowledged.index == 0;
}

/// Whether an empty log says nothing, as an incarnation that tells its start may have lost what it held.
bool is_empty_of_unknown(const MemberFinding& candidate, const PromotionFacts& facts) {
  return candidate.entry.has_start_time() && candidate.status->received.index == 0 && !is_unwritten(facts);
}

bool reaches_old_primary(const MemberFinding& candidate, const PromotionFacts& facts) {
  return std::any_of(facts.members.begin(), facts.members.end(), [&](const MemberFinding& member) {
    return shows_old_log(member, facts) && candidate.status->received >= member.status->received;
  });
}

bool all_replicas_compared(const PromotionFacts& facts) {
  return std::all_of(facts.members.begin(), facts.members.end(), [&](const MemberFinding& member) {
    // The primary's next incarnation was no replica of it.
    return member.entry.name == facts.closed.primary || was_compared(member, facts);
  });
}

const MemberFinding* find_old_primary(const PromotionFacts& facts) {
  for (const MemberFinding& member : facts.members) {
    if (is_old_primary(member, facts)) return &member;
  }
  return nullptr;
}

/// Whether nobody who may follow holds more.
bool is_furthest_of_all(const MemberFinding& candidate, const PromotionFacts& facts) {
  return std::all_of(facts.members.begin(), facts.members.end(), [&](const MemberFinding& member) {
    return !may_follow(member, facts) || member.status->received <= candidate.status->received;
  });
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
  const std::string name = candidate.entry.name.value;
  if (reaches_old_primary(candidate, facts)) return {true, "it reaches the old primary's position"};
  if (is_empty_of_unknown(candidate, facts)) return {false, name + " may have lost its log"};
  if (reaches_acknowledged(candidate, facts))
    return {true, "it reaches the highest position that any proxy acknowledged"};
  return {false,
          fmt::format("{} at {}.{} may lack acknowledged commits", name, position.term, position.index)};
}

/// Also by comparison with all others.
Proof prove(const MemberFinding& candidate, const PromotionFacts& facts) {
  Proof alone = prove_alone(candidate, facts);
  if (alone.holds_all || is_empty_of_unknown(candidate, facts)) return alone;
  const Position& position = candidate.status->received;
  const bool reaches_known =
      !facts.replaced_incarnation_is_unsettled && position >= facts.highest_acknowledged;
  const bool nobody_left = facts.members_are_stable || reaches_known;
  const bool is_furthest = is_furthest_of_all(candidate, facts);
  if (is_furthest && all_replicas_compared(facts) && facts.synchronous_replicas > 0 && nobody_left)
    return {true, "it is the furthest of all replicas"};
  return alone;
}

/// Whether nobody can be found any more who holds more: the primary's incarnation is over, and all answer.
/// Its next incarnation is waited for, too: it may have come back with the whole log.
bool is_nothing_left(const PromotionFacts& facts) {
  bool primary_is_over = false;
  for (const MemberFinding& member : facts.members) {
    if (!member.status) return false;
    primary_is_over = primary_is_over || is_restarted_primary(member, facts);
  }
  return primary_is_over;
}

PromotionChoice follow_with(const MemberFinding& candidate, const PromotionFacts& facts, std::string why) {
  const bool leads = leads_closed_term(candidate, facts);
  const PromotionVerdict verdict = leads ? PromotionVerdict::kReopen : PromotionVerdict::kPromote;
  return {verdict, candidate.entry.name, leads ? candidate.status->term : 0, std::move(why)};
}

/// Whoever is left with the most, wherever it is: more of what was acknowledged cannot be had.
PromotionChoice follow_unproved(const MemberFinding* outside, const MemberFinding* inside,
                                const PromotionFacts& facts) {
  const bool inside_has_more =
      inside != nullptr && (outside == nullptr || inside->status->received > outside->status->received);
  PromotionChoice choice =
      follow_with(inside_has_more ? *inside : *outside, facts, "it is the furthest that is left");
  choice.is_unproved = true;
  return choice;
}

/// Where more of the group's routes may write than at the furthest, the furthest of those; null: nowhere.
const MemberFinding* find_preferred(const MemberFinding& furthest, const PromotionFacts& facts) {
  if (facts.allowing_routes.empty()) return nullptr;
  const MemberFinding* best = nullptr;
  for (const MemberFinding& member : facts.members) {
    if (!may_follow(member, facts) || member.evacuated != furthest.evacuated) continue;
    if (member.entry.leaving || !prove_alone(member, facts).holds_all) continue;
    const std::size_t routes = routes_at(member, facts);
    if (routes <= routes_at(furthest, facts)) continue;
    const std::size_t best_routes = best == nullptr ? 0 : routes_at(*best, facts);
    const bool further = best != nullptr && member.status->received > best->status->received;
    if (routes > best_routes || (routes == best_routes && further)) best = &member;
  }
  return best;
}

PromotionChoice follow_preferred(const MemberFinding& furthest, const Proof& proof,
                                 const PromotionFacts& facts) {
  const MemberFinding* preferred = find_preferred(furthest, facts);
  if (preferred == nullptr) return follow_with(furthest, facts, proof.why);
  return follow_with(*preferred, facts,
                     fmt::format("{}; {} of the group's routes may write there, {} at {}",
                                 prove_alone(*preferred, facts).why, routes_at(*preferred, facts),
                                 routes_at(furthest, facts), furthest.entry.name.value));
}

}  // namespace

MemberFinding find_member(const PromotionFacts& facts, const BackendName& backend) {
  for (const MemberFinding& member : facts.members) {
    if (member.entry.name == backend) return member;
  }
  return {};
}

bool is_blank(const MemberFinding& member, const PromotionFacts& facts) {
  if (!member.entry.has_start_time() || !member.status || member.status->received.index > 0) return false;
  if (facts.highest_acknowledged.index > 0) return true;
  return std::any_of(facts.members.begin(), facts.members.end(), [](const MemberFinding& other) {
    return other.status && other.status->received.index > 0;
  });
}

PromotionChoice choose_promotion(const PromotionFacts& facts, bool reopen_allowed) {
  if (const MemberFinding* newer = find_newer_primary(facts))
    return {PromotionVerdict::kAdopt, newer->entry.name, newer->status->term,
            "it leads a higher term already"};
  const MemberFinding* outside = find_furthest(facts, false);
  const MemberFinding* inside = find_furthest(facts, true);
  const MemberFinding* old = find_old_primary(facts);
  const bool old_leads = old != nullptr && shows_old_log(*old, facts) && old->status->is_primary;
  Proof proof{false, "no replica answers"};
  if (outside != nullptr) proof = prove(*outside, facts);
  if (proof.holds_all) return follow_preferred(*outside, proof, facts);
  if (inside != nullptr && !old_leads) {
    const Proof of_inside = prove(*inside, facts);
    if (of_inside.holds_all)
      return follow_with(*inside, facts,
                         of_inside.why + "; its zone is evacuated, and nobody outside may follow yet");
  }
  if (old_leads && old->evacuated && outside != nullptr)
    return {PromotionVerdict::kNotYet, {}, 0, "its zone is evacuated, and " + proof.why};
  if (old_leads && reopen_allowed && !old->entry.leaving)
    return {PromotionVerdict::kReopen, old->entry.name, old->status->term, "it answers as before"};
  if ((outside != nullptr || inside != nullptr) && is_nothing_left(facts))
    return follow_unproved(outside, inside, facts);
  return {PromotionVerdict::kNotYet, {}, 0, proof.why};
}

}  // namespace cairnhollow::registered::control
