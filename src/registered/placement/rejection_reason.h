// Why a statement does not run at a backend, or here at all: one list for the log, the metrics and the
// caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cairnhollow::registered::placement {

/// The places are part of nothing that is stored or sent: names are what others see.
enum class RejectionReason : std::uint8_t {
  kNone,
  // Of one backend.
  kOutsideRegions,  ///< neither its route nor its tenant lets the statement run in the backend's region
  kZoneEvacuated,   ///< the backend's zone is to get no new work
  kColdLimit,       ///< the backend started a moment ago and has had what it takes until it is warm
  kLeaving,         ///< the backend drains
  kLags,            ///< a replica is thought not to have what the read must see
  kTried,           ///< this statement has been there
  // Of the group.
  kGroupClosed,         ///< no primary that may be believed
  kPrimaryGivenUp,      ///< the primary that was to run it is not the one of now, or may not be used any more
  kPrimaryUnreachable,  ///< this proxy opens no connection to it
  kPrimaryFull,         ///< it takes no more connections, and this proxy has none
  kCommitsStall,        ///< commits sent before have no answer
  kBackendsBusy,        ///< those that could run it were asked and had no room
  kNoBackend,           ///< none is known that could
  // Of this proxy and its peers.
  kNoLease,  ///< this proxy may use no primary
  kNoProxy,  ///< none of the proxies that may serve the group took it
  // Of the caller.
  kKeyUnauthorized,  ///< the key proves no tenant, or another one than when the statement came
  kKeyUnconfirmed,   ///< control did not confirm the key lately enough
  kOverLimit,        ///< the tenant has no token for one more operation
};
inline constexpr std::size_t kRejectionReasonCount =
    static_cast<std::size_t>(RejectionReason::kOverLimit) + 1;

/// Stable lower-case name for logs and metrics, e.g. "zone_evacuated".
const char* rejection_name(RejectionReason rejection);
/// For people, as a part of a sentence: "the group has no primary now".
const char* rejection_text(RejectionReason rejection);

/// The rejection reason of that name; empty when there is none.
std::optional<RejectionReason> find_rejection(std::string_view name);

/// Why a statement is passed on to another proxy.
enum class ForwardCause : std::uint8_t { kServedElsewhere, kNoLease, kPrimaryUnreachable, kPrimaryFull };
inline constexpr std::size_t kForwardCauseCount = static_cast<std::size_t>(ForwardCause::kPrimaryFull) + 1;

/// Stable lower-case name for metrics.
const char* forward_cause_name(ForwardCause cause);

}  // namespace cairnhollow::registered::placement
