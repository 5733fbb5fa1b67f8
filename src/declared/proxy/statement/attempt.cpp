#include "declared/proxy/statement/attempt.h"

#include <algorithm>

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

namespace {

void update_position(ProxyState& state, const AttemptTarget& target, Position position, TimePoint asked_at) {
  auto& freshness = state.estimates.freshness;
  if (target.is_primary) freshness.observe_primary(target.group_name(), position, asked_at);
  freshness.observe_backend(target.group_name(), target.backend->ordinal, position, state.runtime.now());
  state.positions.notify(target.group_name());
}

void record_failure(ProxyState& state, const AttemptTarget& target) {
  state.estimates.load.failed(target.backend->ordinal, state.runtime.now());
  state.positions.notify(target.group_name());
  if (target.is_primary)
    state.serving.suspect_primary(target.group_name(), target.backend_name(), target.term);
}

}  // namespace

AttemptTarget make_target(const routing::RoutingView& view, const routing::Decision& decision,
                          const routing::Candidate& candidate) {
  AttemptTarget target;
  target.group = routing::find_group(view, decision.group);
  target.backend = routing::find_backend(*target.group, candidate.backend);
  target.proxies_serving = target.group->proxies_serving;
  target.term = decision.term;
  target.is_primary = candidate.is_primary;
  return target;
}

std::optional<AttemptTarget> primary_target(const routing::RoutingView& view, const GroupName& group_name,
                                            Reason& reason) {
  auto group = routing::find_group(view, group_name);
  const auto* primary =
      group == nullptr || group->primary.empty() ? nullptr : routing::find_backend(*group, group->primary);
  if (primary == nullptr) {
    reason = Reason{ReasonCode::kNoPrimary, "find_primary", group_name.value, "no primary is known"};
    return std::nullopt;
  }
  AttemptTarget target;
  target.backend = primary;
  target.proxies_serving = group->proxies_serving;
  target.term = group->term;
  target.group = std::move(group);
  target.is_primary = true;
  return target;
}

Awaitable<std::unique_ptr<ConnectionLease>> acquire(ProxyState& state, AttemptTarget target,
                                                    Priority priority, TimePoint deadline, Reason& reason) {
  BackendTarget backend = target;
  auto lease = co_await state.access.acquire(std::move(backend), priority, deadline, nullptr, reason);
  if (!lease && reason.code == ReasonCode::kUnreachable) record_failure(state, target);
  co_return lease;
}

Refused acquire_refusal(const ProxyState& state, const AttemptTarget& target, Reason reason) {
  auto refused = refuse(std::move(reason));
  if (refused.reason.code == ReasonCode::kOverloaded) {
    refused.retry_after = state.access.suggested_retry_after(target.backend_name());
  }
  return refused;
}

Awaitable<std::unique_ptr<ConnectionLease>> acquire_at_primary(ProxyState& state, AttemptTarget target,
                                                               Priority priority, TimePoint deadline,
                                                               Reason& reason) {
  BackendTarget backend = target;
  backend::WaitCancellation cancellation;
  const PrimaryWatch watch(state.serving.primary_attempts(), target.group_name(), target.term,
                           [&cancellation] { cancellation.cancel(); });
  auto lease = co_await state.access.acquire(std::move(backend), priority, deadline, &cancellation, reason);
  if (!lease && reason.code == ReasonCode::kUnreachable) record_failure(state, target);
  if (!state.serving.is_replaced(target.group_name(), target.term)) co_return lease;
  reason = Reason{ReasonCode::kNotPrimary, "acquire_connection", target.backend_name().value,
                  "the primary was replaced while the request waited for a connection"};
  co_return nullptr;
}

Awaitable<backend::ExecuteAnswer> send(ProxyState& state, AttemptTarget target, ConnectionLease& lease,
                                       backend::Statement statement, backend::Requirements requirements,
                                       Reason& reason) {
  if (!state.serving.check_lease("send_statement", reason)) {
    co_return backend::ExecuteAnswer(backend::Failed{runtime::SendState::kNotSent});
  }
  const TimePoint asked_at = state.runtime.now();
  auto answer = co_await lease.connection().execute(std::move(statement), std::move(requirements), reason);
  update_estimates(state, target, answer, reason, asked_at);
  co_return answer;
}

void update_estimates(ProxyState& state, const AttemptTarget& target, const backend::ExecuteAnswer& answer,
                      const Reason& reason, TimePoint asked_at) {
  if (std::holds_alternative<backend::Failed>(answer)) {
    const bool had_little_time =
        reason.code == ReasonCode::kDeadlineExceeded && state.runtime.now() - asked_at < kFailureEvidenceTime;
    if (!had_little_time) record_failure(state, target);
    return;
  }
  state.estimates.load.reached(target.backend->ordinal);
  if (const auto* rows = std::get_if<backend::Rows>(&answer)) {
    update_position(state, target, rows->position, asked_at);
  } else if (const auto* written = std::get_if<backend::Written>(&answer)) {
    state.estimates.freshness.observe_write(target.group_name(), written->position, asked_at);
    update_position(state, target, written->position, asked_at);
  } else if (const auto* stale = std::get_if<backend::TooStale>(&answer)) {
    update_position(state, target, stale->applied, asked_at);
  } else if (const auto* other = std::get_if<backend::NotPrimary>(&answer)) {
    state.serving.learn_group_state(target.group_name(), other->term, other->hint);
    if (target.is_primary) {
      state.serving.suspect_primary(target.group_name(), target.backend_name(), target.term);
    }
  }
}

}  // namespace cairnhollow::declared::proxy
