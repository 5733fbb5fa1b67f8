#include "declared/proxy/statement/outcome_resolver.h"

#include <algorithm>

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

Reason aborted_reason(const AttemptTarget& target) {
  return Reason{ReasonCode::kAborted, "request_ledger", target.backend_name().value,
                "the request ledger records this request id as aborted; it can never run"};
}

Awaitable<Outcome> OutcomeResolver::run(RequestId request_id, GroupName group, TimePoint deadline,
                                        Reason cause) {
  Reason last = std::move(cause);
  const TimePoint resolve_until = std::min(deadline, state_.runtime.now() + kResolveLimit);
  while (state_.runtime.now() < resolve_until) {
    Reason reason;
    auto outcome = co_await query(request_id, group, resolve_until, reason);
    if (outcome) co_return std::move(*outcome);
    if (reason.failed()) last = std::move(reason);
    // Wakes up early when a new primary is known.
    co_await state_.serving.wait_for_change(std::min(resolve_until, state_.runtime.now() + kResolvePause));
  }
  Reason unknown{ReasonCode::kOutcomeUnknown, last.step, last.peer,
                 "the request was sent but its outcome is unknown (" + last.to_string() +
                     "); query it with POST /v1/resolve at any proxy"};
  co_return refuse(std::move(unknown), http::RunState::kUnknown);
}

Awaitable<std::optional<Outcome>> OutcomeResolver::query(RequestId request_id, GroupName group,
                                                         TimePoint deadline, Reason& reason) {
  const auto target = primary_target(*state_.serving.view(), group, reason);
  if (!target) co_return std::nullopt;
  const TimePoint query_deadline = std::min(deadline, state_.runtime.now() + kResolveAttemptLimit);
  auto lease = co_await acquire(state_, *target, Priority::kHigh, query_deadline, reason);
  if (!lease) co_return std::nullopt;
  const PrimaryWatch watch(state_.serving.primary_attempts(), target->group_name(), target->term,
                           [&lease] { lease->connection().close(); });
  const auto answer = co_await lease->connection().resolve(request_id, target->term, query_deadline, reason);
  if (!answer) {
    state_.serving.suspect_primary(target->group_name(), target->backend_name(), target->term);
    co_return std::nullopt;
  }
  if (!answer->committed) co_return Outcome(refuse(aborted_reason(*target)));
  Done done;
  done.result = answer->body;
  done.position = answer->position;
  done.group = target->session_group();
  done.backend = target->backend_name();
  done.backend_is_primary = true;
  co_return Outcome(std::move(done));
}

}  // namespace cairnhollow::declared::proxy
