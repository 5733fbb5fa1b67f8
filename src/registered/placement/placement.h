// Decides where a statement may run now: at a backend, through another proxy, after a wait, or nowhere. Pure
// functions of the given facts, without network, clock or runtime. StatementRunner collects the facts, acts
// on the decision and decides anew after each wait (docs/design/placement.md).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "registered/placement/backend_choice.h"
#include "registered/placement/facts.h"
#include "registered/placement/rejection_reason.h"

namespace cairnhollow::registered::placement {

/// Forward the statement to one of these proxies, in order of preference.
struct Forwarding {
  const ProxyList* proxies = nullptr;  ///< not empty; points to one of the lists of ProxyFacts
  ForwardCause cause = ForwardCause::kServedElsewhere;
};
/// Whether another proxy is to run the statement. Returns std::nullopt if place_locally decides.
std::optional<Forwarding> choose_forwarding(const StatementNeed& need, const ProxyFacts& proxy);

enum class Action : std::uint8_t {
  kRun,     ///< at `backend`
  kWait,    ///< for a change of the group or the lease, or a short time; then decide anew
  kRefuse,  ///< because of `rejection`; the caller may retry after `retry_after`
};

struct Placement {
  Action action = Action::kRefuse;
  std::size_t backend = 0;                             ///< for kRun: index into the list of facts
  RejectionReason rejection = RejectionReason::kNone;  ///< why it waits or is refused
  Duration retry_after{0};                             ///< for kRefuse
};
/// Decides what happens to a statement that this proxy is responsible for.
Placement place_locally(const StatementNeed& need, const ProxyFacts& proxy,
                        std::span<const BackendFacts> backends, const AttemptAllowance& allowance);

/// Maximum number of proxies that one statement is forwarded to, one after the other.
inline constexpr int kMaxForwards = 3;
/// The next proxy in the preference order of a forwarding.
struct NextProxy {
  bool is_this_proxy = false;
  /// It is unreachable, or recently did not answer or could not serve the group.
  bool is_unresponsive = false;
};
enum class NextProxyAction : std::uint8_t { kSkip, kRunHere, kSend };
NextProxyAction try_next_proxy(const NextProxy& next, const ProxyFacts& proxy);
/// How a forwarding ended without a success from any proxy.
struct ForwardingOutcome {
  bool may_try_another = true;  ///< it certainly did not run, or can safely run again
  bool has_waited = false;      ///< it has waited for the lease, or paused, since then
};
/// Decides to start over (kRun), wait for the lease or pause (kWait) or give up (kRefuse).
Placement place_after_forwarding(const ForwardingOutcome& outcome, const ProxyFacts& proxy,
                                 const AttemptAllowance& allowance);

/// Whether another proxy may be able to run what this one can't, because the obstacle is local to this proxy.
bool may_other_proxy_serve(const ProxyFacts& proxy);

/// Why the caller's key does not permit its statements to be sent; kNone if it does.
RejectionReason key_rejection(const KeyFacts& key);
/// Why a write may not begin; kNone if it may. `commits_stall`: earlier commits have no answer.
RejectionReason commit_rejection(bool writes, bool commits_stall);

enum class SendAction : std::uint8_t { kSend, kReselectBackend, kRefuse };
struct SendDecision {
  SendAction action = SendAction::kSend;
  RejectionReason rejection = RejectionReason::kNone;
};
/// The final check of a statement that has waited for a slot and a link at `backend`.
SendDecision check_before_sending(const SendFacts& facts, const BackendFacts& backend);

/// Why an open transaction may not continue at its backend; kNone if it may. Otherwise the transaction must
/// be aborted, and none of its changes are kept.
RejectionReason rejection_in_transaction(const TransactionFacts& facts, const BackendFacts& backend);

}  // namespace cairnhollow::registered::placement
