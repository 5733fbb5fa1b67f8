// Chooses which backend may succeed a replaced primary, from what is proved about the logs. Pure: no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "registered/protocol/backend_link.h"
#include "registered/registry/model.h"

namespace cairnhollow::registered::control {

/// State of one member of the group, queried after the group was closed.
struct MemberFinding {
  registry::BackendEntry entry;
  std::optional<BackendStatus> status;  ///< empty if it did not answer
  bool evacuated = false;               ///< its zone is evacuated, so it could not serve as primary
  bool has_departed = false;            ///< it is no longer registered
  bool has_ended = false;  ///< it cannot be queried: what answers in its place is another incarnation
  bool is_busy = false;    ///< it answered that it is too busy to show its status
};

struct PromotionFacts {
  registry::GroupTerm closed;  ///< the term whose primary is replaced
  std::uint64_t synchronous_replicas = 0;
  std::vector<MemberFinding> members;
  /// Former members that may be the only ones besides the primary to hold acknowledged commits, as no
  /// remaining member is known to hold what they held, and the old primary if it is one. They are compared,
  /// but are no candidates.
  std::vector<MemberFinding> departed;
  std::uint64_t revision = 0;  ///< fleet revision when the members were queried
  /// Commits of earlier terms are at or before this position of the closed term's primary; empty: unknown.
  std::optional<Position> term_start;
  /// Every proxy that may have acknowledged commits in that term has reported its highest position, or was
  /// lost before the primary showed `lost_acknowledgers_bound`.
  bool all_acknowledgers_answered = false;
  /// Commits that were acknowledged by proxies lost since the term began are at or before this position;
  /// empty: none is known.
  std::optional<Position> lost_acknowledgers_bound;
  /// Every admitted proxy has acknowledged the close, so none uses the closed term's primary.
  bool all_proxies_answered = false;
  std::uint64_t min_unresponsive_revision = 0;  ///< see FenceProgress
  /// Maximum over the proxies that answered. May exceed the last acknowledged commit: a backend reports the
  /// end of its log, which includes concurrent commits in progress.
  Position highest_acknowledged;
  /// A commit at this position or after it was acknowledged: proxies reported so, in answer to the close or
  /// before, and perhaps were lost since. Index 0 if none is known to be.
  Position certainly_acknowledged;
  /// The backend that an earlier request may still promote; empty if there is none. Whenever such a request
  /// takes effect, it is harmless only if this backend is the primary already.
  std::optional<BackendName> requested;
  /// The backend that an earlier request may have promoted although nothing more of it arrives; empty if
  /// there is none, or if `requested` is set.
  std::optional<BackendName> withdrawn;
  /// Number of the group's routes that may write at each member. Empty if all may write everywhere, or if it
  /// is unknown.
  std::map<BackendName, std::size_t> allowing_routes;
};

enum class PromotionVerdict : std::uint8_t {
  kPromote,  ///< `backend` holds every acknowledged commit
  kReopen,   ///< `backend`, the old primary or its next incarnation, leads the closed term
  kAdopt,    ///< `backend` already leads a higher term, and holds every acknowledged commit
  kNotYet,   ///< no candidate provably holds every acknowledged commit
};

struct PromotionChoice {
  PromotionVerdict verdict = PromotionVerdict::kNotYet;
  BackendName backend;
  std::uint64_t term = 0;  ///< set for kReopen and kAdopt
  std::string why;         ///< reason, for the log
  /// Acknowledged commits may be lost with the incarnations that held them; no remaining member can hold
  /// more.
  bool is_unproved = false;
  /// The proof is a comparison with the known replicas. An answer of the old primary could refute it.
  bool is_by_comparison = false;
};

/// Returns the finding for the backend, or a default-constructed one if it is not among the members.
MemberFinding find_member(const PromotionFacts& facts, const BackendName& backend);

/// Whether the member reports its start time and has an empty log while other members or proxies know of
/// commits. Such an incarnation, registered or not, has lost its log, and its position proves nothing.
bool has_lost_log(const MemberFinding& member, const PromotionFacts& facts);

/// Invariant: a commit is acknowledged only after the primary and, with one synchronous replica, at least one
/// replica hold it, each in one incarnation.
///
/// Proofs that a log holds every acknowledged commit, in this order:
/// - It reaches the log of the old primary.
/// - It reaches the highest position that any proxy acknowledged, and every proxy that may have acknowledged
///   commits has answered. What the proxies that did answer acknowledged is no bound on what the others did.
/// - It is the furthest of all known replicas, those that departed included, and nothing refutes that: the
///   old primary does not answer, and no proxy is known to have acknowledged a commit beyond it. There may be
///   an unknown replica: one receives the log, and counts as the synchronous replica of a commit, before its
///   registration has arrived.
///
/// Rules:
/// - A candidate outside evacuated zones that is proved to hold every acknowledged commit is preferred, even
///   if it is not the furthest.
/// - A candidate inside an evacuated zone succeeds only a primary that does not answer. No commit is lost
///   then, and the others catch up from it.
/// - While an old primary in an evacuated zone is running, the choice waits for a candidate outside.
/// - A candidate that is not the furthest is chosen because more of the group's routes allow its region only
///   if its own position proves it, without comparison to the others.
/// - While a request may still promote a backend, no other is chosen, reopened or adopted.
/// - The backend of a withdrawn request is preferred to another one if it is proved and as suitable: its
///   promotion then changes nothing if it takes effect later.
///
/// `reopen_allowed` means that the old primary may be opened again.
PromotionChoice choose_promotion(const PromotionFacts& facts, bool reopen_allowed);

}  // namespace cairnhollow::registered::control
