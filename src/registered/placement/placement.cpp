#include "registered/placement/placement.h"

#include "registered/placement/retry_after.h"

namespace cairnhollow::registered::placement {

namespace {

bool is_empty(const ProxyList* proxies) { return proxies == nullptr || proxies->empty(); }

Placement run_at(std::size_t backend) {
  Placement runs;
  runs.action = Action::kRun;
  runs.backend = backend;
  return runs;
}

Placement refuse(RejectionReason rejection, Duration retry_after) {
  Placement refused;
  refused.rejection = rejection;
  refused.retry_after = retry_after;
  return refused;
}

Placement wait_for(RejectionReason rejection) {
  Placement waits;
  waits.action = Action::kWait;
  waits.rejection = rejection;
  return waits;
}

/// The reason that is most useful to a caller whose statement is not run.
RejectionReason main_rejection(const StatementNeed& need, const ProxyFacts& proxy,
                               const AttemptAllowance& allowance, RejectionReason at_backends) {
  if (allowance.was_sent) return RejectionReason::kBackendsBusy;
  if (!proxy.holds_lease) return RejectionReason::kNoLease;
  if (!proxy.group_open) return RejectionReason::kGroupClosed;
  if (need.needs_primary() && proxy.primary_unreachable) return RejectionReason::kPrimaryUnreachable;
  if (need.needs_primary() && proxy.primary_full) return RejectionReason::kPrimaryFull;
  return at_backends == RejectionReason::kNone ? RejectionReason::kNoBackend : at_backends;
}

bool is_worth_waiting(const ProxyFacts& proxy, const AttemptAllowance& allowance) {
  if (!allowance.may_wait) return false;
  if (!proxy.holds_lease) return proxy.expects_lease;
  return proxy.group_open || proxy.group_changing;
}

}  // namespace

std::optional<Forwarding> choose_forwarding(const StatementNeed& need, const ProxyFacts& proxy) {
  if (need.is_forwarded) return std::nullopt;
  if (!is_empty(proxy.serving)) return Forwarding{proxy.serving, ForwardCause::kServedElsewhere};
  if (!need.needs_primary()) return std::nullopt;
  const bool is_unreachable = proxy.group_open && proxy.primary_unreachable;
  if ((!proxy.holds_lease || is_unreachable) && !is_empty(proxy.others)) {
    return Forwarding{proxy.others,
                      proxy.holds_lease ? ForwardCause::kPrimaryUnreachable : ForwardCause::kNoLease};
  }
  // Another proxy that serves the group may already have links to the primary.
  if (proxy.primary_full && !is_empty(proxy.also_serving))
    return Forwarding{proxy.also_serving, ForwardCause::kPrimaryFull};
  return std::nullopt;
}

Placement place_locally(const StatementNeed& need, const ProxyFacts& proxy,
                        std::span<const BackendFacts> backends, const AttemptAllowance& allowance) {
  if (!allowance.may_attempt)
    return refuse(main_rejection(need, proxy, allowance, RejectionReason::kNone), kRetryAfterWithoutPrimary);
  const BackendChoice choice = choose_backend(need.needs_primary(), backends);
  if (choice.is_final)
    return refuse(choice.rejection,
                  choice.retry_after > Duration(0) ? choice.retry_after : kRetryAfterWithoutPrimary);
  if (choice.backend && (proxy.holds_lease || !need.needs_primary())) return run_at(*choice.backend);
  const RejectionReason rejection = main_rejection(need, proxy, allowance, choice.rejection);
  return is_worth_waiting(proxy, allowance) ? wait_for(rejection)
                                            : refuse(rejection, kRetryAfterWithoutPrimary);
}

NextProxyAction try_next_proxy(const NextProxy& next, const ProxyFacts& proxy) {
  // If this proxy has no lease, other proxies probably have none either, so an unresponsive one is skipped.
  if (next.is_unresponsive && !proxy.holds_lease) return NextProxyAction::kSkip;
  if (!next.is_this_proxy) return NextProxyAction::kSend;
  return proxy.holds_lease ? NextProxyAction::kRunHere : NextProxyAction::kSkip;
}

Placement place_after_forwarding(const ForwardingOutcome& outcome, const ProxyFacts& proxy,
                                 const AttemptAllowance& allowance) {
  if (!outcome.may_try_another) return refuse(RejectionReason::kNone, kRetryAfterWithoutPrimary);
  if (proxy.holds_lease && outcome.has_waited) return run_at(0);
  // The others may get their leases, or be reachable, a moment later than this proxy.
  if (proxy.holds_lease && allowance.may_wait_longer) return wait_for(RejectionReason::kNoProxy);
  if (proxy.holds_lease) return refuse(RejectionReason::kNoProxy, kRetryAfterWithoutPrimary);
  if (proxy.expects_lease && allowance.may_wait) return wait_for(RejectionReason::kNoLease);
  return refuse(RejectionReason::kNoLease, kRetryAfterWithoutPrimary);
}

bool may_other_proxy_serve(const ProxyFacts& proxy) {
  return !proxy.holds_lease || proxy.primary_unreachable || proxy.primary_full;
}

RejectionReason key_rejection(const KeyFacts& key) {
  if (!key.is_needed) return RejectionReason::kNone;
  if (!key.proves_tenant) return RejectionReason::kKeyUnauthorized;
  return key.is_confirmed ? RejectionReason::kNone : RejectionReason::kKeyUnconfirmed;
}

RejectionReason commit_rejection(bool writes, bool commits_stall) {
  return writes && commits_stall ? RejectionReason::kCommitsStall : RejectionReason::kNone;
}

SendDecision check_before_sending(const SendFacts& facts, const BackendFacts& backend) {
  if (facts.needs_primary && !facts.may_use_primary)
    return {SendAction::kReselectBackend, RejectionReason::kPrimaryGivenUp};
  const RejectionReason closed = rejection_of_new_work(backend);
  if (closed != RejectionReason::kNone) return {SendAction::kReselectBackend, closed};
  if (facts.lacks_token) return {SendAction::kRefuse, RejectionReason::kOverLimit};
  const RejectionReason key = key_rejection(facts.key);
  if (key != RejectionReason::kNone) return {SendAction::kRefuse, key};
  return {};
}

RejectionReason rejection_in_transaction(const TransactionFacts& facts, const BackendFacts& backend) {
  if (facts.commits_stall) return RejectionReason::kCommitsStall;
  if (backend.zone_evacuated && backend.transaction_grace_expired) return RejectionReason::kZoneEvacuated;
  const RejectionReason key = key_rejection(facts.key);
  if (key != RejectionReason::kNone) return key;
  const bool requires_primary = facts.at_primary && !facts.read_only;
  return requires_primary && !facts.may_use_primary ? RejectionReason::kPrimaryGivenUp
                                                    : RejectionReason::kNone;
}

}  // namespace cairnhollow::registered::placement
