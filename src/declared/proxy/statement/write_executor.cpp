#include "declared/proxy/statement/write_executor.h"

#include <algorithm>

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

std::optional<Outcome> outcome_of_write(const AttemptTarget& target, const backend::ExecuteAnswer& answer,
                                        const Reason& reason) {
  Done done;
  done.group = target.session_group();
  done.backend = target.backend_name();
  done.backend_is_primary = true;
  if (const auto* written = std::get_if<backend::Written>(&answer)) {
    done.result = written->body;
    done.position = written->position;
    return done;
  }
  if (const auto* decided = std::get_if<backend::AlreadyDecided>(&answer)) {
    if (!decided->committed) return refuse(aborted_reason(target));
    done.result = decided->body;
    done.position = decided->position;
    return done;
  }
  if (const auto* refused = std::get_if<backend::StatementRefused>(&answer)) {
    return refuse(statement_refused(target.backend_name(), refused->detail, reason));
  }
  return std::nullopt;
}

Awaitable<Outcome> WriteExecutor::run(StatementCall call) {
  const TimePoint wait_until = std::min(call.deadline, state_.runtime.now() + kPrimaryWaitLimit);
  PrimaryWait wait(state_, budget_);
  while (true) {
    auto last = co_await attempt(call);
    if (last.unanswered) {
      co_return co_await resolver_.run(*call.request_id, last.unanswered->group_name(), call.deadline,
                                       last.failure.reason);
    }
    if (last.outcome) {
      if (std::holds_alternative<Done>(*last.outcome)) budget_.record_success();
      co_return std::move(*last.outcome);
    }
    const bool may_retry = co_await wait.wait(last.failure, wait_until);
    if (!may_retry) co_return refuse(last.failure);
  }
}

Awaitable<WriteExecutor::Attempt> WriteExecutor::attempt(const StatementCall& call) {
  Attempt failed;
  Reason& reason = failed.failure.reason;
  if (!state_.serving.check_lease("admit_statement", reason)) {
    failed.outcome = refuse(reason);
    co_return failed;
  }
  const auto view = state_.serving.view();
  const routing::ChoiceSettings settings{state_.settings.zone, state_.settings.replica_wait};
  const auto decision =
      routing::choose(routing_request(call, false), *view, state_.estimates, settings, state_.runtime.now());
  decisions_.record(call.request_id, decision);
  if (decision.candidates.empty()) {
    reason = decision.refusal;
    if (reason.code == ReasonCode::kNoRoute) failed.outcome = refuse(reason);
    co_return failed;
  }
  const auto target = make_target(*view, decision, decision.candidates.front());
  co_return co_await send_to(target, call);
}

Awaitable<WriteExecutor::Attempt> WriteExecutor::send_to(AttemptTarget target, const StatementCall& call) {
  Attempt failed;
  failed.failure.refused_by = target;
  Reason& reason = failed.failure.reason;
  const ScopedLoad load(state_, target);
  auto lease = co_await acquire_at_primary(state_, target, call.priority, call.deadline, reason);
  if (!lease) {
    if (!is_retryable_at_primary(reason)) failed.outcome = acquire_refusal(state_, target, reason);
    co_return failed;
  }
  const PrimaryWatch watch(state_.serving.primary_attempts(), target.group_name(), target.term,
                           [&lease] { lease->connection().close(); });
  backend::Requirements requirements;
  requirements.term = target.term;
  requirements.deadline = std::min(call.deadline, state_.runtime.now() + kWriteAttemptLimit);
  requirements.request_id = call.request_id;
  requirements.answered_up_to = call.answered_up_to;
  auto answer = co_await send(state_, target, *lease, call.statement, requirements, reason);
  co_return interpret_answer(target, std::move(answer), std::move(reason));
}

WriteExecutor::Attempt WriteExecutor::interpret_answer(const AttemptTarget& target,
                                                       backend::ExecuteAnswer answer, Reason reason) {
  Attempt attempt;
  attempt.failure.refused_by = target;
  attempt.failure.reason = std::move(reason);
  attempt.outcome = outcome_of_write(target, answer, attempt.failure.reason);
  if (attempt.outcome) return attempt;
  const auto* failure = std::get_if<backend::Failed>(&answer);
  const bool not_sent = failure != nullptr && failure->sent == runtime::SendState::kNotSent;
  if (const auto* busy = std::get_if<backend::Busy>(&answer)) {
    attempt.failure.retry_after = busy->retry_after;
  } else if (not_sent) {
    if (attempt.failure.reason.code == ReasonCode::kLeaseExpired) {
      attempt.outcome = refuse(attempt.failure.reason);
    }
  } else if (!std::holds_alternative<backend::NotPrimary>(answer)) {
    // A missing answer, or one that does not match a write, does not prove that the write did not run.
    attempt.unanswered = target;
  }
  return attempt;
}

}  // namespace cairnhollow::declared::proxy
