// Reasons why a statement is not run or a session not opened, as used in logs, metrics and answers to
// callers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cairnhollow::registered::placement {

/// The numeric values are neither stored nor sent; only the names are visible outside.
enum class RejectionReason : std::uint8_t {
  kNone,
  // Concerning one backend.
  kOutsideRegions,  ///< the statement's route or tenant does not permit the backend's region
  kZoneEvacuated,   ///< the backend's zone is evacuated and gets no new work
  kColdLimit,       ///< the backend is cold, and its rate limit had no token for a statement
  kLeaving,         ///< the backend is draining
  kLags,            ///< the replica is estimated not to have reached what the read must see
  kTried,           ///< the statement has already been tried there
  // Concerning the group.
  kGroupClosed,         ///< the group has no trusted primary
  kPrimaryGivenUp,      ///< the chosen primary was replaced or may not be used any more
  kPrimaryUnreachable,  ///< this proxy can't connect to the primary
  kPrimaryFull,         ///< the primary rejects further connections, and this proxy has none
  kCommitsStall,        ///< earlier commits have no answer
  kBackendsBusy,        ///< none can run it now: it was already sent to one, or has no slot there in time
  kNoBackend,           ///< no suitable backend is known, or no attempt got as far as sending the statement
  // Concerning this proxy and its peers.
  kNoLease,      ///< this proxy holds no serving lease, so it may use no primary
  kNoProxy,      ///< none of the proxies that may serve the group accepted the statement
  kOverloaded,   ///< this proxy's machine is overloaded, and the statement's class is refused
  kTooManyWait,  ///< the statement would have to wait, and more urgent ones take all places
  // Concerning the caller.
  kKeyUnauthorized,  ///< the key proves no tenant, or a different one than when the statement arrived
  kKeyUnconfirmed,   ///< control has not confirmed the key recently enough
  kOverLimit,        ///< the tenant's rate limit has no token for the operation, or for a rerun
  kNoRoute,          ///< no route names the caller's database
  kSessionLimit,     ///< this proxy has reached its session limit
  // Concerning what became of the statement elsewhere; not this proxy's decision.
  kRefusedByBackend,  ///< the backend that ran it answered with a refusal
  kRefusedElsewhere,  ///< the proxy that it was forwarded to refused it, and logs its own reason
  kAnswerLost,        ///< it was sent, and no answer arrived
  kTransactionLost,   ///< the link of its open transaction is gone
};
inline constexpr std::size_t kRejectionReasonCount =
    static_cast<std::size_t>(RejectionReason::kTransactionLost) + 1;

/// Stable lower-case name for logs and metrics, e.g. "zone_evacuated".
const char* rejection_name(RejectionReason rejection);
/// Human-readable clause for messages, e.g. "the group has no primary now"; empty for kNone.
const char* rejection_text(RejectionReason rejection);

/// Returns std::nullopt if no reason has that name.
std::optional<RejectionReason> find_rejection(std::string_view name);

/// Why a statement is forwarded to another proxy.
enum class ForwardCause : std::uint8_t { kServedElsewhere, kNoLease, kPrimaryUnreachable, kPrimaryFull };
inline constexpr std::size_t kForwardCauseCount = static_cast<std::size_t>(ForwardCause::kPrimaryFull) + 1;

/// Stable lower-case name for metrics.
const char* forward_cause_name(ForwardCause cause);

}  // namespace cairnhollow::registered::placement
