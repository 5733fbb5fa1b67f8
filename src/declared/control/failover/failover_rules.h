// Decides when the primary of a group is replaced and which member replaces it. Pure functions of the
// observed state: no I/O and no clock.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "declared/backend/backend_connection.h"
#include "declared/control/failover/group_definition.h"
#include "declared/follow/messages.h"

namespace cairnhollow::declared::control {

/// How long each condition must persist before it triggers a failover.
struct FailoverLimits {
  Duration primary_silence = std::chrono::milliseconds(350);  ///< no probe of the primary has been answered
  /// How long to wait for members that have never answered.
  Duration initial_observation = std::chrono::milliseconds(500);
  Duration lost_role = std::chrono::milliseconds(100);  ///< the primary reports that it is not primary
  /// The primary's machine sends no response at all, not even a refusal. A few lost packets look the same:
  /// TCP retransmits after about 200 and 600 ms (RFC 6298), and a replica reports after 300 ms that it has
  /// lost contact with the primary.
  Duration unresponsive_primary = std::chrono::milliseconds(350);
  Duration unheard = std::chrono::milliseconds(600);  ///< too few replicas are in contact with the primary
  Duration member_ahead = std::chrono::seconds(1);    ///< a member was fenced above the primary's term
  Duration unreachable_to_all = std::chrono::seconds(3);  ///< unreachable from proxies and control nodes only
};

/// Result of the probes of one member.
struct MemberObservation {
  GroupMember member;
  std::optional<backend::BackendStatus> status;  ///< last status received
  bool answering = false;                        ///< the last completed probe was answered
  Duration silent_for{0};                        ///< time since the last answer
  std::uint32_t failures_in_a_row = 0;
  bool refused = false;  ///< the connection of the last probe was refused: no process listens on the endpoint
};

struct GroupObservation {
  follow::GroupState known;  ///< term 0: no primary has ever been known
  std::vector<MemberObservation> members;
  bool suspected = false;    ///< a proxy has reported the primary of this term as unreachable
  Duration observed_for{0};  ///< time since probing started
};

enum class FailoverCause : std::uint8_t {
  kNone = 0,
  kNoPrimary,           ///< no member is known as primary
  kPrimarySilent,       ///< it answers no probe, and too few replicas are in contact with it to commit
  kPrimaryUnreachable,  ///< in contact with its replicas, but unreachable from proxies and control nodes
  kPrimaryLostRole,     ///< it answers, but not as primary of the known term
  kPrimaryUnheard,      ///< it answers, but a majority is not in contact with it, so it cannot commit
  kMemberAhead,         ///< a member rejects replication from the primary because its own term is higher
  kPrimaryLeaving,      ///< planned
  kOperator,            ///< planned
};
std::string_view failover_cause_name(FailoverCause cause);

/// The cause found and how long it must persist unchanged before a failover starts.
struct FailoverDecision {
  FailoverCause cause = FailoverCause::kNone;
  Duration delay{0};
};

/// Decides whether the group needs a failover. Returns kNone unless a majority of the members answers:
/// without a majority, nothing can be fenced.
FailoverDecision decide_failover(const GroupObservation& observation, const FailoverLimits& limits);

/// Answering members that must be told to follow the known primary: those that follow another primary, none,
/// or one of an older term.
std::vector<BackendName> members_to_redirect(const GroupObservation& observation);

/// Returns true if a majority of the voting members answers this node's probes; false for an empty group.
bool majority_answers(const GroupObservation& observation);

/// Returns the number of voting members as reported by the member with the highest log position, or the
/// number of declared members if no member has reported one.
std::size_t voting_members(const GroupObservation& observation);
/// Returns true if a majority of the voting members answers, not counting the primary. A planned switchover
/// fences a majority without the primary; if it started with fewer, it would only stop the primary's writes.
bool can_switch_over(const GroupObservation& observation);

/// A fence granted by one member.
struct FenceGrant {
  GroupMember member;
  Position last;
};

/// Preferences among candidates with equal log positions.
struct CandidatePreference {
  BackendName preferred;                              ///< empty if none is preferred
  std::map<ZoneName, std::size_t> primaries_in_zone;  ///< zones with fewer are preferred, to spread primaries
};

/// Returns the member to promote among those that granted the fence, or std::nullopt if there are none. The
/// candidate must have the highest last position, because that log holds every committed entry. Ties are
/// broken by: the preferred member, members that are not leaving, the zone with the fewest primaries, then
/// the name.
std::optional<GroupMember> choose_candidate(const std::vector<FenceGrant>& grants,
                                            const CandidatePreference& preference);

}  // namespace cairnhollow::declared::control
