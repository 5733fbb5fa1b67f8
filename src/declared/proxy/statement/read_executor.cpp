#include "declared/proxy/statement/read_executor.h"

#include <algorithm>

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

namespace {

using routing::PrimaryReadCause;

/// The cause to report when the read moves on from a replica to the next candidate.
PrimaryReadCause fallback_cause(const Reason& failure) {
  if (failure.code == ReasonCode::kTooStale) return PrimaryReadCause::kReplicaStale;
  if (failure.code == ReasonCode::kOverloaded) return PrimaryReadCause::kReplicaBusy;
  return PrimaryReadCause::kReplicaFailed;
}

}  // namespace

Awaitable<Outcome> ReadExecutor::run(StatementCall call) {
  auto request = routing_request(call, false);
  const auto group = routing::find_group(*state_.serving.view(), request);
  if (group != nullptr) state_.activity.record(group->name, state_.runtime.now());
  Attempt last;
  for (int choices = 0; choices < kMaxReadChoices; ++choices) {
    const auto chosen = co_await choose(call, request);
    const auto& decision = chosen.decision;
    decisions_.record(call.request_id, decision);
    if (decision.candidates.empty()) co_return refuse(decision.refusal);
    last = co_await try_candidates(call, chosen, request, std::move(last));
    if (last.done) {
      budget_.record_success();
      co_return std::move(*last.done);
    }
    const bool replaced = state_.serving.is_replaced(decision.group, decision.term);
    if (!replaced || !last.try_next || state_.runtime.now() >= call.deadline) break;
  }
  auto refused = refuse(last.reason);
  if (last.retry_after > Duration(0)) refused.retry_after = last.retry_after;
  co_return refused;
}

Awaitable<ReadExecutor::Attempt> ReadExecutor::try_candidates(const StatementCall& call, const Choice& chosen,
                                                              const routing::Request& request,
                                                              Attempt previous) {
  Attempt last = std::move(previous);
  auto primary_read = chosen.decision.primary_read;
  for (const auto& candidate : chosen.decision.candidates) {
    // Moving on from a replica that lacks the position, or whose queue was too long to send anything, does
    // not amplify load.
    const bool is_retry = last.was_sent && last.reason.code != ReasonCode::kTooStale;
    if (is_retry && !budget_.try_spend(last.reason)) break;
    const auto target = make_target(*chosen.view, chosen.decision, candidate);
    last = co_await try_target(call, target, request, &candidate == &chosen.decision.candidates.back());
    if (last.done && target.is_primary) last.done->primary_read = primary_read;
    if (last.done || !last.try_next || state_.runtime.now() >= call.deadline) break;
    primary_read = fallback_cause(last.reason);
  }
  co_return last;
}

Awaitable<ReadExecutor::Attempt> ReadExecutor::try_target(const StatementCall& call,
                                                          const AttemptTarget& target,
                                                          const routing::Request& request, bool is_last) {
  while (true) {
    auto tried = co_await attempt(call, target, request.session_position, is_last);
    // The backend reported that it is too busy and did not run the read. At the last candidate the read waits
    // for a slot in the admission queue, which paces requests to such a backend. A read refused by the
    // admission queue itself is not retried.
    const bool is_busy = tried.was_sent && tried.retry_after > Duration(0);
    if (!is_last || !is_busy || state_.runtime.now() >= call.deadline) co_return tried;
  }
}

Awaitable<ReadExecutor::Choice> ReadExecutor::choose(const StatementCall& call, routing::Request& request) {
  const routing::ChoiceSettings settings{state_.settings.zone, state_.settings.replica_wait};
  const TimePoint arrived = state_.runtime.now();
  request.first_choice_at = arrived;
  request.hold_limit = std::max(Duration(0), (call.deadline - arrived) / kHoldDeadlineDivisor);
  while (true) {
    // Taken on each iteration, because the view may change while the read is held.
    Choice chosen{state_.serving.view(), {}};
    const auto group = routing::find_group(*chosen.view, request);
    request.session_position.reset();
    if (group != nullptr && call.token) request.session_position = call.token->required(group->session_name);
    const TimePoint now = state_.runtime.now();
    chosen.decision = routing::choose(request, *chosen.view, state_.estimates, settings, now);
    if (chosen.decision.hold <= Duration(0)) co_return chosen;
    if (state_.positions.waiting() >= state_.settings.queue_limit_per_backend) {
      request.hold_limit = Duration(0);
      continue;
    }
    co_await state_.positions.wait_until(chosen.decision.group, now + chosen.decision.hold);
  }
}

backend::Requirements ReadExecutor::requirements(const StatementCall& call, const AttemptTarget& target,
                                                 std::optional<Position> required) const {
  backend::Requirements requirements;
  requirements.minimum_position = required.value_or(Position{});
  requirements.deadline = std::min(call.deadline, state_.runtime.now() + kReadAttemptLimit);
  requirements.request_id = call.request_id;
  if (target.is_primary) {
    requirements.term = target.term;
    requirements.confirmed_read = !required.has_value();
  } else {
    requirements.wait_for_position = state_.settings.replica_wait;
  }
  return requirements;
}

Awaitable<ReadExecutor::Attempt> ReadExecutor::attempt(const StatementCall& call, AttemptTarget target,
                                                       std::optional<Position> required, bool is_last) {
  Attempt failed;
  const ScopedLoad load(state_, target);
  auto lease = co_await acquire_for(call, target, failed.reason);
  if (!lease) {
    const auto refused = acquire_refusal(state_, target, failed.reason);
    if (refused.reason.code == ReasonCode::kOverloaded) failed.retry_after = *refused.retry_after;
    co_return failed;
  }
  Reason reason;
  auto wanted = requirements(call, target, required);
  auto answer = co_await send_watched(call, target, *lease, std::move(wanted), is_last, reason);
  auto judged = interpret_answer(target, std::move(answer), std::move(reason));
  judged.was_sent = true;
  co_return judged;
}

Awaitable<std::unique_ptr<ConnectionLease>> ReadExecutor::acquire_for(const StatementCall& call,
                                                                      const AttemptTarget& target,
                                                                      Reason& reason) {
  if (target.is_primary) {
    co_return co_await acquire_at_primary(state_, target, call.priority, call.deadline, reason);
  }
  co_return co_await acquire(state_, target, call.priority, call.deadline, reason);
}

Awaitable<backend::ExecuteAnswer> ReadExecutor::send_watched(const StatementCall& call,
                                                             const AttemptTarget& target,
                                                             ConnectionLease& lease,
                                                             backend::Requirements wanted, bool is_last,
                                                             Reason& reason) {
  std::optional<PrimaryWatch> until_replaced;
  std::optional<ReadWatch::WatchedRead> until_silent;
  if (target.is_primary) {
    until_replaced.emplace(state_.serving.primary_attempts(), target.group_name(), target.term,
                           [&lease] { lease.connection().close(); });
  }
  if (!is_last) until_silent.emplace(watch_, target.backend->ordinal, lease.connection());
  co_return co_await send(state_, target, lease, call.statement, std::move(wanted), reason);
}

ReadExecutor::Attempt ReadExecutor::interpret_answer(const AttemptTarget& target,
                                                     backend::ExecuteAnswer answer, Reason reason) {
  Attempt attempt;
  if (auto* rows = std::get_if<backend::Rows>(&answer)) {
    Done done;
    done.result = std::move(rows->body);
    done.position = rows->position;
    done.group = target.session_group();
    done.backend = target.backend_name();
    done.backend_is_primary = target.is_primary;
    attempt.done = std::move(done);
    return attempt;
  }
  if (const auto* busy = std::get_if<backend::Busy>(&answer)) attempt.retry_after = busy->retry_after;
  if (const auto* refused = std::get_if<backend::StatementRefused>(&answer)) {
    attempt.reason = statement_refused(target.backend_name(), refused->detail, reason);
    attempt.try_next = false;
    return attempt;
  }
  attempt.try_next = reason.code != ReasonCode::kLeaseExpired;
  attempt.reason = std::move(reason);
  if (!attempt.reason.failed()) {
    attempt.reason = Reason{ReasonCode::kInternal, "execute", target.backend_name().value,
                            "the backend sent an answer that is not valid for a read"};
  }
  return attempt;
}

}  // namespace cairnhollow::declared::proxy
