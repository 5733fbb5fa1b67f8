// Where a statement may go now, and why not elsewhere. Pure: no network, no clock, no runtime; the same facts
// give the same answer, and nothing is touched. The runner makes the facts, carries the answer out and asks
// again after each wait (docs/design/placement.md).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "registered/placement/backend_choice.h"
#include "registered/placement/facts.h"
#include "registered/placement/rejection_reason.h"

namespace cairnhollow::registered::placement {

/// Pass the statement on to one of these, first choice first.
struct Forwarding {
  const ProxyList* proxies = nullptr;  ///< not empty; one of ProxyFacts
  ForwardCause since = ForwardCause::kServedElsewhere;
};
/// Whether the statement is another proxy's; empty: it is decided by place_here.
std::optional<Forwarding> place_elsewhere(const StatementNeed& need, const ProxyFacts& proxy);

enum class Action : std::uint8_t {
  kRun,     ///< at `backend`
  kWait,    ///< until something of the group or the lease has changed, or a moment; then ask again
  kRefuse,  ///< since `rejection`; come back in `retry_after`
};

struct Placement {
  Action action = Action::kRefuse;
  std::size_t backend = 0;                             ///< of kRun: place in the list of facts
  RejectionReason rejection = RejectionReason::kNone;  ///< what is waited for to go, or why it is refused
  Duration retry_after{0};                             ///< of kRefuse
};
/// What becomes of a statement that this proxy is to run.
Placement place_here(const StatementNeed& need, const ProxyFacts& proxy,
                     std::span<const BackendFacts> backends, const Patience& patience);

/// Proxies that one statement is forwarded to, one after the other. Chosen, not measured.
inline constexpr int kMaxForwards = 3;
/// What becomes of the next proxy in the order of a forwarding.
struct NextProxy {
  bool is_this_proxy = false;
  bool gave_no_answer = false;  ///< a moment ago
};
enum class NextProxyAction : std::uint8_t { kSkip, kRunHere, kSend };
NextProxyAction try_next_proxy(const NextProxy& turn, const ProxyFacts& proxy);
/// How a forwarding ended that no proxy answered with success.
struct ForwardingEnd {
  bool may_try_another = true;  ///< it has certainly not run, or may run once more
  bool has_waited = false;      ///< for the lease, since then
};
/// Run it again from the start (kRun), wait for the lease (kWait), or let it be (kRefuse).
Placement place_unforwarded(const ForwardingEnd& end, const ProxyFacts& proxy, const Patience& patience);

/// Whether what this proxy did not run may well run at another one: what stands in the way is its own.
bool may_another_serve(const ProxyFacts& proxy);

/// Whether a caller's key lets its statements be sent.
RejectionReason key_rejection(const KeyFacts& key);
/// Whether a write may begin; `commits_stall`: commits sent before have no answer.
RejectionReason commit_rejection(bool writes, bool commits_stall);

enum class SendAction : std::uint8_t { kSend, kChooseAgain, kRefuse };
struct SendDecision {
  SendAction action = SendAction::kSend;
  RejectionReason rejection = RejectionReason::kNone;
};
/// The last look at a statement that has waited for a place and a link at `backend`.
SendDecision before_sending(const SendFacts& facts, const BackendFacts& backend);

/// Why a transaction may not go on at the backend where it is open: it is ended and nothing of it is kept.
RejectionReason rejection_in_transaction(const TransactionFacts& facts, const BackendFacts& backend);

}  // namespace cairnhollow::registered::placement
