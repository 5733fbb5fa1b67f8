#include "registered/proxy/statement/statement_forwarding.h"

#include <fmt/format.h>

#include <algorithm>

#include "registered/placement/attempt_outcome.h"
#include "registered/placement/retry_after.h"
#include "registered/proxy/statement/placement_facts.h"
#include "registered/proxy/statement/waiting_place.h"

namespace cairnhollow::registered::proxy {

ForwardedStatement to_forwarded(const StatementRequest& request, TimePoint now) {
  ForwardedStatement forwarded;
  forwarded.route = request.route;
  forwarded.key = request.key;
  forwarded.may_have_run = request.may_have_run;
  forwarded.id = request.id;
  forwarded.text = request.text;
  forwarded.prepared = request.prepared;
  forwarded.argument = request.argument;
  forwarded.writes = request.writes;
  forwarded.values = request.values;
  forwarded.committed = request.committed.position;
  if (request.committed.position) forwarded.committed_ago = now - request.committed.at;
  forwarded.time_left = request.deadline - now;
  forwarded.opens_transaction = request.opens_transaction;
  forwarded.read_only_transaction = request.read_only_transaction;
  return forwarded;
}

Awaitable<ForwardingResult> StatementForwarding::forward(StatementRequest request,
                                                         std::vector<subset::ProxyPointer> proxies) {
  // Proxies that recently failed or did not answer go last.
  const GroupName group = request.group->name;
  std::stable_partition(proxies.begin(), proxies.end(), [this, &group](const subset::ProxyPointer& proxy) {
    return !services_.forwarder.is_avoided(proxy->name, group);
  });
  RunResult result;
  result.nothing_run = !request.may_have_run;
  result.answer.refusal = Refusal::kBusy;
  Reason reason;
  // The proxy that runs the statement needs a lease; this proxy needs none to forward it.
  const auto tries = std::min<std::size_t>(proxies.size(), placement::kMaxForwards);
  bool may_try_another = true;
  bool is_answered = false;
  for (std::size_t attempt = 0; attempt < tries && may_try_another; ++attempt) {
    const NodeName& node = proxies[attempt]->name;
    const placement::NextProxy next{node == services_.view.node(),
                                    services_.forwarder.is_avoided(node, group)};
    const auto action = placement::try_next_proxy(next, proxy_facts(services_.view, *request.group));
    if (action == placement::NextProxyAction::kSkip) continue;
    if (action == placement::NextProxyAction::kRunHere)
      co_return ForwardingResult{ForwardingNextStep::kRunHere, std::move(request), {}};
    auto forwarded = co_await forward_to(request, proxies[attempt], may_try_another, reason);
    if (!forwarded) continue;
    is_answered = true;
    result = std::move(*forwarded);
    request.may_have_run = request.may_have_run || !result.nothing_run;
    result.nothing_run = !request.may_have_run;
  }
  const auto placed = co_await await_proxy(request, may_try_another);
  ++request.forwarding_rounds;
  if (placed.action == placement::Action::kRun)
    co_return ForwardingResult{ForwardingNextStep::kStartOver, std::move(request), {}};
  StatementRefusal refusal{placed.rejection, kForwardStep, placed.retry_after};
  if (placed.rejection == placement::RejectionReason::kNone)
    refusal.cause = reason.failed() ? placement::RejectionReason::kAnswerLost
                                    : placement::RejectionReason::kRefusedElsewhere;
  if (placed.rejection == placement::RejectionReason::kNoLease || !is_answered) {
    result.answer.detail = fmt::format("{}; retry in {} ms", placement::rejection_text(placed.rejection),
                                       in_ms(placed.retry_after));
  }
  if (result.answer.refusal) log_.refusal(request, result.answer, reason, 1, refusal);
  co_return ForwardingResult{ForwardingNextStep::kAnswer, std::move(request), std::move(result)};
}

Awaitable<placement::Placement> StatementForwarding::await_proxy(StatementRequest request,
                                                                 bool may_try_another) {
  const placement::StatementProgress progress = request.progress();
  const TimePoint refuse_at = placement::refusal_time(progress);
  placement::ForwardingOutcome outcome{may_try_another, false};
  WaitingPlace place(services_.waiting);
  while (true) {
    const TimePoint now = services_.runtime.now();
    auto allowance = placement::attempt_allowance_at(progress, now);
    // Further rounds would run it again and again.
    if (request.may_have_run) allowance.may_wait_longer = false;
    const auto facts = proxy_facts(services_.view, *request.group, progress.wait_budget());
    auto placed = placement::place_after_forwarding(outcome, facts, allowance);
    if (placed.action != placement::Action::kWait) co_return placed;
    if (!place.keep(request)) {
      placed.action = placement::Action::kRefuse;
      placed.rejection = placement::RejectionReason::kTooManyWait;
      placed.retry_after = placement::kRetryAfterWithoutPrimary;
      co_return placed;
    }
    if (placed.rejection == placement::RejectionReason::kNoLease) {
      // Whether a lease is still expected changes without a notification.
      const TimePoint check_at = allowance.may_wait_longer ? now + placement::kEventCheckInterval : refuse_at;
      co_await services_.view.renewed().wait_until(std::min(refuse_at, check_at));
    } else {
      co_await services_.runtime.sleep_for(placement::forwarding_pause(request.forwarding_rounds));
    }
    outcome.has_waited = true;
  }
}

Awaitable<std::optional<RunResult>> StatementForwarding::forward_to(StatementRequest request,
                                                                    subset::ProxyPointer proxy,
                                                                    bool& may_try_another, Reason& reason) {
  may_try_another = true;
  reason = Reason{};
  const auto connection = co_await services_.forwarder.connect(proxy, request.deadline, reason);
  if (!connection) co_return std::nullopt;
  ForwardRequest forward_request;
  ForwardRun run{to_forwarded(request, services_.runtime.now())};
  if (connection->carries_versions()) run.statement.document_version = services_.view.document_version();
  forward_request.body = std::move(run);
  const TimePoint deadline = request.deadline + kForwardSlack;
  auto answer = co_await connection->call(std::move(forward_request), deadline, reason);
  RunResult result;
  if (!answer) {
    services_.metrics.count_lost_answer();
    services_.forwarder.record_no_answer(proxy->name, request.group->name);
    // A transaction's first statement leaves no changes: the other proxy rolls it back when the connection is
    // lost, and a late answer makes this proxy end it there.
    const bool in_doubt = placement::is_in_doubt(request.makes_durable_changes(), true);
    may_try_another = !in_doubt && services_.runtime.now() < request.deadline;
    result.answer.refusal = in_doubt ? Refusal::kInDoubt : Refusal::kBusy;
    result.answer.detail = "the proxy that the statement was forwarded to did not answer";
    co_return result;
  }
  may_try_another = answer->may_try_another;
  if (may_try_another) services_.forwarder.avoid(proxy->name, request.group->name);
  result.answer = std::move(answer->answer);
  result.nothing_run = answer->nothing_run;
  result.served_by = answer->at_primary ? ServedBy::kPrimary : ServedBy::kReplica;
  result.group = answer->other_group.empty() ? request.group->name : answer->other_group;
  if (answer->pin > 0) {
    PinnedLink pinned;
    pinned.remote = RemotePin{connection, answer->pin, result.group};
    pinned.scope = std::make_shared<const StatementScope>(request);
    pinned.at_primary = answer->at_primary;
    result.pinned = pinned;
  }
  co_return result;
}

}  // namespace cairnhollow::registered::proxy
