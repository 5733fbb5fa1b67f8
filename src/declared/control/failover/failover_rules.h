// When a group's primary is replaced and by whom: pure functions of what was observed. No I/O, no clock.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "declared/backend/backend_connection.h"
#include "declared/control/failover/group_definition.h"
#include "declared/follow/messages.h"

namespace cairnhollow::declared::control {

/// How long conditions must last before they are acted on.
struct FailoverLimits {
  Duration primary_silence = std::chrono::milliseconds(350);  ///< no probe of the primary was answered
  Duration first_look = std::chrono::milliseconds(500);  ///< members that have not answered are waited for
  Duration lost_role = std::chrono::milliseconds(100);   ///< the primary says that it is none
  /// The primary's machine answers nothing at all, which a few lost messages look like too: TCP sends again
  /// after about 200 and 600 ms (RFC 6298), and a replica says after 300 ms that it hears no primary.
  Duration not_refused = std::chrono::milliseconds(350);
  Duration unheard = std::chrono::milliseconds(600);      ///< too few replicas hear the primary
  Duration member_ahead = std::chrono::seconds(1);        ///< a member was fenced above the primary's term
  Duration unreachable_to_all = std::chrono::seconds(3);  ///< cut off from proxies and control nodes only
};

/// What the probes of one member have shown.
struct MemberObservation {
  GroupMember member;
  std::optional<backend::BackendStatus> status;  ///< the last one received
  bool answering = false;                        ///< the last finished probe was answered
  Duration silent_for{0};                        ///< since the last answer
  std::uint32_t failures_in_a_row = 0;
  bool refused = false;  ///< the last probe's connection was refused: no process listens there
};

struct GroupObservation {
  follow::GroupState known;  ///< term 0: no primary was ever heard of
  std::vector<MemberObservation> members;
  bool suspected = false;    ///< a proxy reported the primary of this term
  Duration observed_for{0};  ///< since the probes began
};

enum class FailoverCause : std::uint8_t {
  kNone = 0,
  kNoPrimary,           ///< no member is known as primary
  kPrimarySilent,       ///< it answers nobody that matters
  kPrimaryUnreachable,  ///< its replicas hear it, but neither proxies nor control nodes do
  kPrimaryLostRole,     ///< it answers, but not as primary of the known term
  kPrimaryUnheard,      ///< it answers, but a majority does not hear it: it can't commit
  kMemberAhead,         ///< a member takes no replication from the primary's lower term
  kPrimaryLeaving,      ///< planned
  kOperator,            ///< planned
};
std::string_view failover_cause_name(FailoverCause cause);

/// The cause found and how long it must have been the same before it is acted on.
struct FailoverDecision {
  FailoverCause cause = FailoverCause::kNone;
  Duration after{0};
};

/// A decision is made only when a majority of the members answers: without it nothing can be fenced.
FailoverDecision decide_failover(const GroupObservation& observation, const FailoverLimits& limits);

/// Members to be told to follow the known primary: those that follow another, none, or an older term.
std::vector<BackendName> members_to_redirect(const GroupObservation& observation);

/// True when a majority of the group's members answers this node's probes.
bool majority_answers(const GroupObservation& observation);

/// The number of members that the database itself counts: as the most advanced member reports it, or the
/// declared ones while nobody has answered.
std::size_t voting_members(const GroupObservation& observation);
/// Whether a majority answers besides the primary. A planned hand-over fences that many; begun with fewer it
/// can only stop the primary's writes.
bool can_hand_over(const GroupObservation& observation);

/// One member's grant of a fence.
struct FenceGrant {
  GroupMember member;
  Position last;
};

/// Preferences among members with equal positions.
struct CandidatePreference {
  BackendName preferred;                              ///< empty: none
  std::map<ZoneName, std::size_t> primaries_in_zone;  ///< fewer are better, so that primaries spread
};

/// The one to promote among the members that granted the fence: the highest last position is a must (it
/// holds everything committed); among equals the preferred one, then not leaving, then zone spread.
std::optional<GroupMember> choose_candidate(const std::vector<FenceGrant>& grants,
                                            const CandidatePreference& preference);

}  // namespace cairnhollow::declared::control
