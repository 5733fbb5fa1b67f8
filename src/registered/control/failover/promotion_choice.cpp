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

/// Whether the status is that of the incarnation that led the closed term. If the backend reports its start
/// time, the answer may come from its next incarnation before that one has registered.
bool reports_old_log(const MemberFinding& member, const PromotionFacts& facts) {
  if (!member.status || !is_old_primary(member, facts)) return false;
  if (!member.entry.has_start_time()) return true;
  return leads_closed_term(member, facts) && !has_lost_log(member, facts);
}

/// Returns the primary with the highest term above the closed one, or null. It exists if an earlier promotion
/// request has taken effect.
const MemberFinding* find_newer_primary(const PromotionFacts& facts) {
  const MemberFinding* newest = nullptr;
  for (const MemberFinding& member : facts.members) {
    if (!member.status || !member.status->is_primary || member.status->term <= facts.closed.term) continue;
    if (has_lost_log(member, facts)) continue;
    if (newest == nullptr || member.status->term > newest->status->term) newest = &member;
  }
  return newest;
}

/// Whether the member is a candidate: a replica, or the primary's next incarnation if it leads the closed
/// term again.
bool is_candidate(const MemberFinding& member, const PromotionFacts& facts) {
  if (!member.status || is_old_primary(member, facts)) return false;
  if (!member.status->is_primary) return true;
  return is_restarted_primary(member, facts) && leads_closed_term(member, facts);
}

/// Returns the candidate with the furthest log, inside evacuated zones or outside them, or null. Prefers a
/// backend that is not leaving where positions are equal.
const MemberFinding* find_furthest(const PromotionFacts& facts, bool evacuated) {
  const MemberFinding* best = nullptr;
  for (const MemberFinding& member : facts.members) {
    if (!is_candidate(member, facts) || member.evacuated != evacuated) continue;
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

/// Whether the member's position is usable for comparison: it answered, and has not lost its log.
bool is_comparable(const MemberFinding& member, const PromotionFacts& facts) {
  return member.status && !has_lost_log(member, facts);
}

/// Whether the log holds all commits of the terms before the closed one. The proxies that acknowledged those
/// may be gone. A log with entries of the closed term includes them.
bool holds_earlier_terms(const MemberFinding& candidate, const PromotionFacts& facts) {
  const Position& position = candidate.status->received;
  if (facts.term_start && position >= *facts.term_start) return true;
  return position.term >= facts.closed.term;
}

/// The highest position up to which proxies are known to have acknowledged commits, or may have.
Position highest_known(const PromotionFacts& facts) {
  return std::max(facts.highest_acknowledged, facts.lost_acknowledgers_bound.value_or(Position{}));
}

/// Whether the log reaches the highest position that any proxy acknowledged in the closed term and holds all
/// earlier commits.
bool reaches_acknowledged(const MemberFinding& candidate, const PromotionFacts& facts) {
  if (!facts.all_acknowledgers_answered) return false;
  return holds_earlier_terms(candidate, facts) && candidate.status->received >= highest_known(facts);
}

/// Whether the group provably never had a commit: it had only one term, and every proxy that may have
/// acknowledged something in it has answered.
bool never_had_commits(const PromotionFacts& facts) {
  constexpr std::uint64_t kFirstCloseEpoch = 2;
  return facts.closed.epoch <= kFirstCloseEpoch && facts.all_acknowledgers_answered &&
         highest_known(facts).index == 0;
}

/// Whether the log is empty and this proves nothing, because a backend that reports its start time may have
/// lost its log.
bool may_have_lost_log(const MemberFinding& candidate, const PromotionFacts& facts) {
  return candidate.entry.has_start_time() && candidate.status->received.index == 0 &&
         !never_had_commits(facts);
}

/// Returns the old primary if it shows its log, or null. It may have been deregistered and serve on.
const MemberFinding* find_old_log(const PromotionFacts& facts) {
  for (const auto* findings : {&facts.members, &facts.departed}) {
    for (const MemberFinding& member : *findings) {
      if (reports_old_log(member, facts)) return &member;
    }
  }
  return nullptr;
}

bool reaches_old_primary(const MemberFinding& candidate, const PromotionFacts& facts) {
  const MemberFinding* old = find_old_log(facts);
  return old != nullptr && candidate.status->received >= old->status->received;
}

bool all_replicas_compared(const PromotionFacts& facts) {
  return std::all_of(facts.members.begin(), facts.members.end(), [&](const MemberFinding& member) {
    // The primary's next incarnation was not a replica in that term.
    return member.entry.name == facts.closed.primary || is_comparable(member, facts);
  });
}

const MemberFinding* find_old_primary(const PromotionFacts& facts) {
  for (const MemberFinding& member : facts.members) {
    if (is_old_primary(member, facts)) return &member;
  }
  return nullptr;
}

/// Whether no other candidate holds more.
bool is_furthest_of_all(const MemberFinding& candidate, const PromotionFacts& facts) {
  return std::all_of(facts.members.begin(), facts.members.end(), [&](const MemberFinding& member) {
    return !is_candidate(member, facts) || member.status->received <= candidate.status->received;
  });
}

/// Returns a departed member that may hold more than the candidate, or null if each has been compared.
const MemberFinding* find_departed_ahead(const MemberFinding& candidate, const PromotionFacts& facts) {
  const auto found =
      std::find_if(facts.departed.begin(), facts.departed.end(), [&](const MemberFinding& departed) {
        // A commit that the primary acknowledged is also on a replica.
        if (is_old_primary(departed, facts)) return false;
        return !is_comparable(departed, facts) || departed.status->received > candidate.status->received;
      });
  return found == facts.departed.end() ? nullptr : &*found;
}

std::size_t count_allowing_routes(const MemberFinding& member, const PromotionFacts& facts) {
  const auto found = facts.allowing_routes.find(member.entry.name);
  return found == facts.allowing_routes.end() ? 0 : found->second;
}

struct Proof {
  bool holds_all = false;
  std::string why;
  bool is_by_comparison = false;
};

/// Returns what shows that the log lacks acknowledged commits, or may lack them, although it is the furthest
/// of all known replicas; an empty string if nothing does.
std::string refute_comparison(const MemberFinding& candidate, const PromotionFacts& facts) {
  const Position& certain = facts.certainly_acknowledged;
  if (certain > candidate.status->received)
    return fmt::format("commits up to {}.{} are acknowledged", certain.term, certain.index);
  if (const MemberFinding* old = find_old_log(facts))
    return fmt::format("the old primary holds {}.{}", old->status->received.term,
                       old->status->received.index);
  const MemberFinding* old = find_old_primary(facts);
  if (old != nullptr && old->is_busy) return "the old primary is too busy to show its log";
  return {};
}

/// Proof from the candidate's own position, independent of the other replicas.
Proof prove_by_position(const MemberFinding& candidate, const PromotionFacts& facts) {
  const Position& position = candidate.status->received;
  const std::string name = candidate.entry.name.value;
  if (reaches_old_primary(candidate, facts)) return {true, "its log reaches the old primary's position"};
  if (may_have_lost_log(candidate, facts)) return {false, name + " may have lost its log"};
  if (reaches_acknowledged(candidate, facts))
    return {true, "its log reaches the highest position that any proxy acknowledged"};
  return {false,
          fmt::format("{} at {}.{} may lack acknowledged commits", name, position.term, position.index)};
}

/// Proof from the candidate's own position or from a comparison with all other replicas.
Proof prove(const MemberFinding& candidate, const PromotionFacts& facts) {
  Proof by_position = prove_by_position(candidate, facts);
  if (by_position.holds_all || may_have_lost_log(candidate, facts)) return by_position;
  const std::string refutation = refute_comparison(candidate, facts);
  if (!refutation.empty()) {
    by_position.why += ": " + refutation;
    return by_position;
  }
  if (!is_furthest_of_all(candidate, facts) || !all_replicas_compared(facts) ||
      facts.synchronous_replicas == 0)
    return by_position;
  const MemberFinding* unproved = find_departed_ahead(candidate, facts);
  if (unproved == nullptr) return {true, "its log is the furthest of all replicas", true};
  by_position.why += fmt::format("; {}, a former member, may hold more", unproved->entry.name.value);
  return by_position;
}

/// Whether the incarnation that led the closed term has certainly ended: its next incarnation has registered,
/// or it is no longer registered and another backend has taken its address.
bool is_primary_over(const PromotionFacts& facts) {
  bool is_registered = false;
  for (const MemberFinding& member : facts.members) {
    if (is_restarted_primary(member, facts)) return true;
    is_registered = is_registered || member.entry.name == facts.closed.primary;
  }
  const auto may_run = [&](const MemberFinding& departed) {
    return is_old_primary(departed, facts) && !departed.has_ended;
  };
  return !is_registered && std::none_of(facts.departed.begin(), facts.departed.end(), may_run);
}

/// Whether no member with more commits can appear any more: the primary's incarnation has ended, and all
/// members answer. These include the primary's next incarnation and the next backend at its address, which
/// may have come back with the whole log.
bool no_better_log_can_appear(const PromotionFacts& facts) {
  const bool all_answer = std::all_of(facts.members.begin(), facts.members.end(),
                                      [](const MemberFinding& member) { return member.status.has_value(); });
  return all_answer && is_primary_over(facts);
}

PromotionChoice choose_candidate(const MemberFinding& candidate, const PromotionFacts& facts, Proof proof) {
  PromotionChoice choice;
  const bool leads = leads_closed_term(candidate, facts);
  choice.verdict = leads ? PromotionVerdict::kReopen : PromotionVerdict::kPromote;
  choice.backend = candidate.entry.name;
  if (leads) choice.term = candidate.status->term;
  choice.why = std::move(proof.why);
  choice.is_by_comparison = proof.is_by_comparison;
  return choice;
}

/// Chooses the furthest log, inside or outside evacuated zones, as no member holds more of what was
/// acknowledged.
PromotionChoice choose_unproved(const MemberFinding* outside, const MemberFinding* inside,
                                const PromotionFacts& facts) {
  const bool inside_has_more =
      inside != nullptr && (outside == nullptr || inside->status->received > outside->status->received);
  PromotionChoice choice =
      choose_candidate(inside_has_more ? *inside : *outside, facts,
                       {false, "its log is the furthest remaining; acknowledged commits may be lost"});
  choice.is_unproved = true;
  return choice;
}

/// Among the proved candidates at which more of the group's routes may write than at `furthest`, returns the
/// one with the most such routes, and of those the furthest. Null if there is none.
const MemberFinding* find_preferred(const MemberFinding& furthest, const PromotionFacts& facts) {
  if (facts.allowing_routes.empty()) return nullptr;
  const MemberFinding* best = nullptr;
  for (const MemberFinding& member : facts.members) {
    if (!is_candidate(member, facts) || member.evacuated != furthest.evacuated) continue;
    if (member.entry.leaving || !prove_by_position(member, facts).holds_all) continue;
    const std::size_t routes = count_allowing_routes(member, facts);
    if (routes <= count_allowing_routes(furthest, facts)) continue;
    const std::size_t best_routes = best == nullptr ? 0 : count_allowing_routes(*best, facts);
    const bool further = best != nullptr && member.status->received > best->status->received;
    if (routes > best_routes || (routes == best_routes && further)) best = &member;
  }
  return best;
}

PromotionChoice choose_preferred(const MemberFinding& furthest, const Proof& proof,
                                 const PromotionFacts& facts) {
  const MemberFinding* preferred = find_preferred(furthest, facts);
  if (preferred == nullptr) return choose_candidate(furthest, facts, proof);
  Proof by_position = prove_by_position(*preferred, facts);
  by_position.why += fmt::format("; {} of the group's routes may write there, {} at {}",
                                 count_allowing_routes(*preferred, facts),
                                 count_allowing_routes(furthest, facts), furthest.entry.name.value);
  return choose_candidate(*preferred, facts, std::move(by_position));
}

}  // namespace

MemberFinding find_member(const PromotionFacts& facts, const BackendName& backend) {
  for (const MemberFinding& member : facts.members) {
    if (member.entry.name == backend) return member;
  }
  return {};
}

bool has_lost_log(const MemberFinding& member, const PromotionFacts& facts) {
  if (!member.entry.has_start_time() || !member.status || member.status->received.index > 0) return false;
  if (facts.highest_acknowledged.index > 0 || facts.certainly_acknowledged.index > 0) return true;
  return std::any_of(facts.members.begin(), facts.members.end(), [](const MemberFinding& other) {
    return other.status && other.status->received.index > 0;
  });
}

namespace {

/// Chooses regardless of requests that may still take effect.
PromotionChoice choose_by_logs(const PromotionFacts& facts, bool reopen_allowed) {
  if (const MemberFinding* newer = find_newer_primary(facts))
    return {PromotionVerdict::kAdopt, newer->entry.name, newer->status->term,
            "it is already primary of a higher term"};
  const MemberFinding* outside = find_furthest(facts, false);
  const MemberFinding* inside = find_furthest(facts, true);
  const MemberFinding* old = find_old_primary(facts);
  const bool old_leads = old != nullptr && reports_old_log(*old, facts) && old->status->is_primary;
  Proof proof{false, "no replica answered"};
  if (outside != nullptr) proof = prove(*outside, facts);
  if (proof.holds_all) return choose_preferred(*outside, proof, facts);
  if (inside != nullptr && !old_leads) {
    Proof inside_proof = prove(*inside, facts);
    if (inside_proof.holds_all) {
      inside_proof.why += "; its zone is evacuated, but no candidate outside is proved yet";
      return choose_candidate(*inside, facts, std::move(inside_proof));
    }
  }
  if (old_leads && old->evacuated && outside != nullptr)
    return {PromotionVerdict::kNotYet,
            {},
            0,
            "the old primary's zone is evacuated, waiting for a successor outside: " + proof.why};
  if (old_leads && reopen_allowed && !old->entry.leaving)
    return {PromotionVerdict::kReopen, old->entry.name, old->status->term,
            "the old primary still answers as primary"};
  if ((outside != nullptr || inside != nullptr) && no_better_log_can_appear(facts))
    return choose_unproved(outside, inside, facts);
  return {PromotionVerdict::kNotYet, {}, 0, proof.why};
}

/// Chooses the backend that an earlier request may still promote, if it is proved.
PromotionChoice choose_requested(const BackendName& backend, const PromotionFacts& facts) {
  const MemberFinding requested = find_member(facts, backend);
  const std::string pending = fmt::format("an earlier request may still promote {}", backend.value);
  if (!is_candidate(requested, facts)) return {PromotionVerdict::kNotYet, {}, 0, pending};
  Proof proof = prove(requested, facts);
  const MemberFinding* old = find_old_primary(facts);
  const bool old_leads = old != nullptr && reports_old_log(*old, facts) && old->status->is_primary;
  const bool is_allowed = proof.holds_all && !(requested.evacuated && old_leads);
  if (!is_allowed) return {PromotionVerdict::kNotYet, {}, 0, fmt::format("{}: {}", pending, proof.why)};
  proof.why += "; " + pending;
  return choose_candidate(requested, facts, std::move(proof));
}

/// Returns the backend of a withdrawn request instead of `choice` if it is proved and as suitable.
PromotionChoice prefer_withdrawn(PromotionChoice choice, const PromotionFacts& facts) {
  if (choice.verdict != PromotionVerdict::kPromote || choice.backend == *facts.withdrawn) return choice;
  const MemberFinding withdrawn = find_member(facts, *facts.withdrawn);
  const MemberFinding chosen = find_member(facts, choice.backend);
  const bool is_as_suitable = !withdrawn.entry.leaving && !withdrawn.evacuated &&
                              count_allowing_routes(withdrawn, facts) >= count_allowing_routes(chosen, facts);
  if (!is_as_suitable) return choice;
  PromotionChoice preferred = choose_requested(*facts.withdrawn, facts);
  return preferred.verdict == PromotionVerdict::kPromote ? preferred : choice;
}

}  // namespace

PromotionChoice choose_promotion(const PromotionFacts& facts, bool reopen_allowed) {
  PromotionChoice choice = choose_by_logs(facts, reopen_allowed);
  if (choice.verdict == PromotionVerdict::kNotYet) return choice;
  if (facts.requested && choice.backend != *facts.requested) return choose_requested(*facts.requested, facts);
  return facts.withdrawn ? prefer_withdrawn(std::move(choice), facts) : choice;
}

}  // namespace cairnhollow::registered::control
