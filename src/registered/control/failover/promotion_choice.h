// Which backend may follow a primary that was given up, by what is proved of the logs. Pure: no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "registered/protocol/backend_link.h"
#include "registered/registry/model.h"

namespace cairnhollow::registered::control {

/// One member of the group, as found after the group was closed.
struct MemberFinding {
  registry::BackendEntry entry;
  std::optional<BackendStatus> status;  ///< empty: it did not answer
  /// It was registered, or changed, since the closed term opened: it may be an incarnation that began since.
  bool joined_in_term = false;
  bool evacuated = false;  ///< its zone is: as primary it would serve nobody
};

struct PromotionFacts {
  registry::GroupTerm closed;  ///< the term that is given up
  std::uint64_t synchronous_replicas = 0;
  std::vector<MemberFinding> members;
  /// No incarnation of a backend has left the group for so long that whoever stayed has received all that it
  /// held.
  bool members_are_stable = false;
  /// An incarnation that was replaced under its name may have been the only one beside the primary to hold
  /// acknowledged commits, and no other was seen to hold as much as the primary since.
  bool replaced_incarnation_is_unsettled = false;
  /// Every proxy that may have acknowledged anything in that term has said its highest position.
  bool all_acknowledgers_answered = false;
  /// Every admitted proxy has answered the close, so that none uses the closed term's primary.
  bool all_proxies_answered = false;
  std::uint64_t silent_revision = 0;  ///< see FenceProgress
  /// Of those that answered. May be beyond the last acknowledged commit: a backend shows where its log is,
  /// other commits under way included.
  Position highest_acknowledged;
  /// How many of the group's routes may write at each member; empty: all everywhere, or it is not known.
  std::map<BackendName, std::size_t> allowing_routes;
};

enum class PromotionVerdict : std::uint8_t {
  kPromote,  ///< `backend` holds every acknowledged commit
  kReopen,   ///< `backend`, the old primary, leads as before and nobody else may follow yet
  kAdopt,    ///< `backend` leads a higher term already, and holds every acknowledged commit
  kNotYet,   ///< nobody can be shown to hold every acknowledged commit
};

struct PromotionChoice {
  PromotionVerdict verdict = PromotionVerdict::kNotYet;
  BackendName backend;
  std::uint64_t term = 0;  ///< of kReopen and kAdopt
  std::string why;         ///< for the log
  /// Acknowledged commits may be gone with the incarnations that held them: nobody is left who could have
  /// more.
  bool is_unproved = false;
};

/// What is found of the backend; of nobody if it is not among the members.
MemberFinding find_member(const PromotionFacts& facts, const BackendName& backend);

/// Whether the member tells its start and shows an empty log while others, or proxies, know of more: an
/// incarnation that has lost what its name held, registered already or not. It proves nothing.
bool is_blank(const MemberFinding& member, const PromotionFacts& facts);

/// Invariant: with one synchronous replica an acknowledged commit is on the primary and on a replica, each in
/// one incarnation. So the furthest log holds it when all replicas were compared, or the old primary was, or
/// when it reaches the highest position that any proxy acknowledged. `reopen_allowed`: the old primary was
/// not given up for good. One outside evacuated zones that can be shown to hold all of it comes first, also
/// when it is not the furthest. One inside follows only a primary that does not answer: then no commit is
/// lost, and the others catch up from it. While an old primary in an evacuated zone runs, one outside is
/// waited for. One that is not the furthest is chosen, for a region that more of the group's routes allow,
/// only where it is proved without being the furthest.
PromotionChoice choose_promotion(const PromotionFacts& facts, bool reopen_allowed);

}  // namespace cairnhollow::registered::control
