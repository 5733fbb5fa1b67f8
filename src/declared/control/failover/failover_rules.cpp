#include "declared/control/failover/failover_rules.h"

#include <algorithm>
#include <tuple>

namespace cairnhollow::declared::control {

namespace {

const MemberObservation* find_primary(const GroupObservation& observation) {
  for (const auto& member : observation.members) {
    if (member.member.backend == observation.known.primary) return &member;
  }
  return nullptr;
}

bool follows_known_primary(const GroupObservation& observation, const MemberObservation& member) {
  return member.status && member.status->role == backend::BackendRole::kReplica &&
         member.status->term == observation.known.term && member.status->primary == observation.known.primary;
}

bool is_in_contact_with_primary(const GroupObservation& observation, const MemberObservation& member) {
  return member.answering && follows_known_primary(observation, member) && member.status->primary_heard;
}

/// Counts the replicas that report contact with the primary.
std::size_t count_replicas_in_contact(const GroupObservation& observation) {
  return static_cast<std::size_t>(
      std::count_if(observation.members.begin(), observation.members.end(),
                    [&](const auto& member) { return is_in_contact_with_primary(observation, member); }));
}

/// Counts the replicas that report no contact with the primary. A replica that does not answer probes is not
/// counted.
std::size_t count_replicas_out_of_contact(const GroupObservation& observation) {
  return static_cast<std::size_t>(
      std::count_if(observation.members.begin(), observation.members.end(), [&](const auto& member) {
        return member.member.backend != observation.known.primary && member.answering &&
               !is_in_contact_with_primary(observation, member);
      }));
}

bool all_members_have_answered(const GroupObservation& observation) {
  return std::all_of(observation.members.begin(), observation.members.end(),
                     [](const auto& member) { return member.status.has_value(); });
}

bool any_member_at_higher_term(const GroupObservation& observation) {
  return std::any_of(observation.members.begin(), observation.members.end(), [&](const auto& member) {
    return member.answering && member.status && member.status->term > observation.known.term;
  });
}

bool another_member_can_take_over(const GroupObservation& observation) {
  return std::any_of(observation.members.begin(), observation.members.end(), [&](const auto& member) {
    return member.member.backend != observation.known.primary && !member.member.leaving &&
           is_in_contact_with_primary(observation, member);
  });
}

FailoverDecision decide_for_silent_primary(const GroupObservation& observation,
                                           const MemberObservation& primary, const FailoverLimits& limits) {
  // The primary and the replicas in contact with it can still commit if they form a majority.
  const bool can_commit =
      1 + count_replicas_in_contact(observation) >= majority_of(voting_members(observation));
  if (!can_commit)
    return {FailoverCause::kPrimarySilent, primary.refused ? Duration(0) : limits.unresponsive_primary};
  if (observation.suspected && primary.silent_for >= limits.unreachable_to_all) {
    return {FailoverCause::kPrimaryUnreachable, Duration(0)};
  }
  return {};
}

FailoverDecision decide_for_answering_primary(const GroupObservation& observation,
                                              const MemberObservation& primary,
                                              const FailoverLimits& limits) {
  const auto& status = *primary.status;
  if (status.role != backend::BackendRole::kPrimary || status.term != observation.known.term) {
    return {FailoverCause::kPrimaryLostRole, limits.lost_role};
  }
  const std::size_t voting = voting_members(observation);
  const std::size_t not_hearing = std::min(count_replicas_out_of_contact(observation), voting);
  if (voting - not_hearing < majority_of(voting)) return {FailoverCause::kPrimaryUnheard, limits.unheard};
  if (any_member_at_higher_term(observation)) return {FailoverCause::kMemberAhead, limits.member_ahead};
  if (primary.member.leaving && another_member_can_take_over(observation) && can_switch_over(observation)) {
    return {FailoverCause::kPrimaryLeaving, Duration(0)};
  }
  return {};
}

}  // namespace

std::string_view failover_cause_name(FailoverCause cause) {
  switch (cause) {
    case FailoverCause::kNone:
      return "none";
    case FailoverCause::kNoPrimary:
      return "no_primary";
    case FailoverCause::kPrimarySilent:
      return "primary_silent";
    case FailoverCause::kPrimaryUnreachable:
      return "primary_unreachable";
    case FailoverCause::kPrimaryLostRole:
      return "primary_lost_role";
    case FailoverCause::kPrimaryUnheard:
      return "primary_unheard";
    case FailoverCause::kMemberAhead:
      return "member_ahead";
    case FailoverCause::kPrimaryLeaving:
      return "primary_leaving";
    case FailoverCause::kOperator:
      return "operator";
  }
  return "unknown";
}

std::size_t voting_members(const GroupObservation& observation) {
  const MemberObservation* best = nullptr;
  for (const auto& member : observation.members) {
    if (!member.status || member.status->members.empty()) continue;
    if (best == nullptr || member.status->last > best->status->last) best = &member;
  }
  return best != nullptr ? best->status->members.size() : observation.members.size();
}

bool can_switch_over(const GroupObservation& observation) {
  const auto others = static_cast<std::size_t>(
      std::count_if(observation.members.begin(), observation.members.end(), [&](const auto& member) {
        return member.answering && member.member.backend != observation.known.primary;
      }));
  return others >= majority_of(voting_members(observation));
}

bool majority_answers(const GroupObservation& observation) {
  const auto answering =
      static_cast<std::size_t>(std::count_if(observation.members.begin(), observation.members.end(),
                                             [](const auto& member) { return member.answering; }));
  return !observation.members.empty() && answering >= majority_of(voting_members(observation));
}

FailoverDecision decide_failover(const GroupObservation& observation, const FailoverLimits& limits) {
  if (!majority_answers(observation)) return {};
  const MemberObservation* primary = find_primary(observation);
  if (observation.known.term == 0 || primary == nullptr) {
    const bool observed_enough =
        all_members_have_answered(observation) || observation.observed_for >= limits.initial_observation;
    return observed_enough ? FailoverDecision{FailoverCause::kNoPrimary, limits.lost_role}
                           : FailoverDecision{};
  }
  const bool silent = primary->silent_for >= limits.primary_silence;
  const bool suspicion_confirmed = observation.suspected && primary->failures_in_a_row > 0;
  if (silent || suspicion_confirmed) return decide_for_silent_primary(observation, *primary, limits);
  if (primary->answering && primary->status)
    return decide_for_answering_primary(observation, *primary, limits);
  return {};
}

std::vector<BackendName> members_to_redirect(const GroupObservation& observation) {
  std::vector<BackendName> redirect;
  const MemberObservation* primary = find_primary(observation);
  if (observation.known.term == 0 || primary == nullptr) return redirect;
  for (const auto& member : observation.members) {
    if (&member == primary || !member.answering || !member.status) continue;
    if (member.status->term > observation.known.term) continue;
    if (!follows_known_primary(observation, member)) redirect.push_back(member.member.backend);
  }
  return redirect;
}

std::optional<GroupMember> choose_candidate(const std::vector<FenceGrant>& grants,
                                            const CandidatePreference& preference) {
  const auto primaries_in = [&](const ZoneName& zone) {
    const auto count = preference.primaries_in_zone.find(zone);
    return count == preference.primaries_in_zone.end() ? std::size_t{0} : count->second;
  };
  // Compared lexicographically; the smallest penalty wins.
  const auto penalty = [&](const FenceGrant& grant) {
    return std::make_tuple(grant.member.backend != preference.preferred, grant.member.leaving,
                           primaries_in(grant.member.zone), grant.member.backend);
  };
  const FenceGrant* best = nullptr;
  for (const auto& grant : grants) {
    const bool better = best == nullptr || grant.last > best->last ||
                        (grant.last == best->last && penalty(grant) < penalty(*best));
    if (better) best = &grant;
  }
  if (best == nullptr) return std::nullopt;
  return best->member;
}

}  // namespace cairnhollow::declared::control
