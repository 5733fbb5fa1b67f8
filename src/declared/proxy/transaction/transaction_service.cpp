#include "declared/proxy/transaction/transaction_service.h"

#include <fmt/format.h>

#include <algorithm>

#include "declared/proxy/knobs.h"
#include "declared/proxy/statement/write_executor.h"

namespace cairnhollow::declared::proxy {

namespace {

Reason lost(std::string peer, std::string detail) {
  return Reason{ReasonCode::kTransactionLost, "find_transaction", std::move(peer), std::move(detail)};
}

/// The refusal of an operation whose transaction was lost and can never commit.
Outcome lost_on_backend(const AttemptTarget& target, const Reason& cause) {
  return refuse(Reason{ReasonCode::kTransactionLost, cause.step, target.backend_name().value,
                       "rolled back: " + cause.to_string()});
}

}  // namespace

TransactionService::TransactionService(ProxyState& state, RetryBudget& budget, OutcomeResolver& resolver)
    : state_(state),
      resolver_(resolver),
      budget_(budget),
      opened_(state.runtime),
      incarnation_(state.runtime.random().next()) {}

TransactionId TransactionService::next_id() {
  return TransactionId(
      fmt::format("{}~{:016x}~{}", state_.settings.node.value, incarnation_, next_number_++));
}

Awaitable<BeginOutcome> TransactionService::begin(StatementCall call, runtime::HttpConnectionId caller) {
  const TimePoint wait_until = std::min(call.deadline, state_.runtime.now() + kPrimaryWaitLimit);
  PrimaryWait wait(state_, budget_);
  while (true) {
    PrimaryFailure failure;
    auto outcome = co_await choose_and_begin(call, failure, caller);
    const bool final = std::holds_alternative<Begun>(outcome) || !failure.reason.failed();
    if (final) co_return outcome;
    const bool may_retry = co_await wait.wait(failure, wait_until);
    if (!may_retry) co_return refuse(failure);
  }
}

Awaitable<BeginOutcome> TransactionService::choose_and_begin(const StatementCall& call,
                                                             PrimaryFailure& failure,
                                                             runtime::HttpConnectionId caller) {
  Reason reason;
  if (!state_.serving.check_lease("admit_transaction", reason)) co_return refuse(reason);
  const auto view = state_.serving.view();
  const routing::ChoiceSettings settings{state_.settings.zone, state_.settings.replica_wait};
  const auto decision =
      routing::choose(routing_request(call, true), *view, state_.estimates, settings, state_.runtime.now());
  if (decision.candidates.empty()) {
    if (decision.refusal.code == ReasonCode::kNoRoute) co_return refuse(decision.refusal);
    failure.reason = decision.refusal;
    co_return refuse(failure);
  }
  const auto target = make_target(*view, decision, decision.candidates.front());
  failure.refused_by = target;
  co_return co_await begin_at(target, call, failure, caller);
}

Awaitable<BeginOutcome> TransactionService::begin_at(AttemptTarget target, const StatementCall& call,
                                                     PrimaryFailure& failure,
                                                     runtime::HttpConnectionId caller) {
  Reason reason;
  auto transaction = std::make_shared<OpenTransaction>();
  transaction->target = target;
  transaction->lease =
      co_await acquire_at_primary(state_, target, call.priority, call.deadline, failure.reason);
  if (!transaction->lease) {
    if (is_retryable_at_primary(failure.reason)) co_return refuse(failure);
    co_return acquire_refusal(state_, target, std::exchange(failure.reason, Reason{}));
  }
  if (!state_.serving.check_lease("send_begin", reason)) co_return refuse(reason);
  auto wanted = requirements(*transaction, call.deadline);
  if (call.token) wanted.minimum_position = call.token->required(target.session_group()).value_or(Position{});
  const PrimaryWatch watch(state_.serving.primary_attempts(), target.group_name(), target.term,
                           [&transaction] { transaction->lease->connection().close(); });
  const auto begun =
      co_await transaction->lease->connection().begin(call.statement.database, wanted, failure.reason);
  if (!begun) {
    transaction->lease->connection().close();  // a late answer must not open a transaction on it
    state_.serving.suspect_primary(target.group_name(), target.backend_name(), target.term);
    co_return refuse(failure);
  }
  failure.reason = Reason{};
  transaction->backend_transaction = *begun;
  transaction->origin = call.statement;
  transaction->caller = caller;
  transaction->idle_deadline = state_.runtime.now() + state_.settings.transaction_idle_limit;
  const auto id = next_id();
  transactions_.insert(id, transaction);
  opened_.notify_all();
  co_return Begun{id, target.backend_name()};
}

backend::Requirements TransactionService::requirements(const OpenTransaction& transaction,
                                                       TimePoint deadline) const {
  backend::Requirements requirements;
  requirements.term = transaction.target.term;
  requirements.deadline = std::min(deadline, state_.runtime.now() + kWriteAttemptLimit);
  return requirements;
}

void TransactionService::end_operation(const TransactionId& id, const OpenTransactionPointer& transaction) {
  transaction->busy = false;
  transaction->idle_deadline = state_.runtime.now() + state_.settings.transaction_idle_limit;
  if (transaction->abandoned) abandon(id, transaction);
}

void TransactionService::finish(const TransactionId& id, const OpenTransactionPointer& transaction,
                                bool reusable) {
  if (!reusable) transaction->lease->connection().close();
  transaction->lease.reset();
  transactions_.erase(id);
}

void TransactionService::close_if_replaced(const OpenTransaction& transaction) const {
  const auto& target = transaction.target;
  if (!state_.serving.is_replaced(target.group_name(), target.term)) return;
  transaction.lease->connection().close();
}

Awaitable<backend::ExecuteAnswer> TransactionService::send_statement(OpenTransactionPointer transaction,
                                                                     backend::Statement statement,
                                                                     backend::Requirements wanted,
                                                                     Reason& reason) {
  close_if_replaced(*transaction);
  auto& connection = transaction->lease->connection();
  const PrimaryWatch watch(state_.serving.primary_attempts(), transaction->target.group_name(),
                           transaction->target.term, [&connection] { connection.close(); });
  auto answer =
      co_await connection.execute_in(transaction->backend_transaction, std::move(statement), wanted, reason);
  co_return answer;
}

Awaitable<backend::ExecuteAnswer> TransactionService::send_commit(OpenTransactionPointer transaction,
                                                                  backend::Requirements wanted,
                                                                  Reason& reason) {
  close_if_replaced(*transaction);
  auto& connection = transaction->lease->connection();
  const PrimaryWatch watch(state_.serving.primary_attempts(), transaction->target.group_name(),
                           transaction->target.term, [&connection] { connection.close(); });
  auto answer = co_await connection.commit(transaction->backend_transaction, wanted, reason);
  co_return answer;
}

Awaitable<Outcome> TransactionService::execute(TransactionId id, TransactionStatementBody body) {
  Reason reason;
  if (!state_.serving.check_lease("admit_statement", reason)) co_return refuse(reason);
  const auto transaction = transactions_.begin_operation(id, reason);
  if (!transaction) co_return refuse(reason);
  backend::Statement statement = transaction->origin;
  statement.kind = body.kind;
  statement.text = std::move(body.text);
  const TimePoint asked_at = state_.runtime.now();
  const auto wanted = requirements(*transaction, body.deadline);
  auto answer = co_await send_statement(transaction, statement, wanted, reason);
  const auto& target = transaction->target;
  update_estimates(state_, target, answer, reason, asked_at);
  if (auto* rows = std::get_if<backend::Rows>(&answer)) {
    end_operation(id, transaction);
    co_return Done{std::move(rows->body), rows->position, target.session_group(), target.backend_name(),
                   true};
  }
  const bool refused = std::holds_alternative<backend::StatementRefused>(answer) &&
                       reason.code != ReasonCode::kTransactionLost;
  if (refused || std::holds_alternative<backend::Written>(answer)) {
    end_operation(id, transaction);
    co_return std::move(*outcome_of_write(target, answer, reason));
  }
  if (const auto* busy = std::get_if<backend::Busy>(&answer)) {
    end_operation(id, transaction);
    auto refused = refuse(reason);
    refused.retry_after = busy->retry_after;
    co_return refused;
  }
  finish(id, transaction, false);
  co_return lost_on_backend(target, reason);
}

Awaitable<Outcome> TransactionService::commit(TransactionId id, CommitBody body) {
  Reason reason;
  const auto transaction = transactions_.begin_operation(id, reason);
  if (!transaction) {
    if (reason.code != ReasonCode::kTransactionLost) co_return refuse(reason);
    co_return co_await resolve_unknown_commit(id, std::move(body));
  }
  // The transaction is still open here, so no copy of its commit has run.
  if (!state_.serving.check_lease("admit_commit", reason)) {
    end_operation(id, transaction);
    co_return refuse(reason);
  }
  const TimePoint asked_at = state_.runtime.now();
  auto wanted = requirements(*transaction, body.deadline);
  wanted.request_id = body.request_id;
  wanted.answered_up_to = body.answered_up_to;
  const auto answer = co_await send_commit(transaction, wanted, reason);
  const auto target = transaction->target;
  update_estimates(state_, target, answer, reason, asked_at);
  if (const auto* busy = std::get_if<backend::Busy>(&answer)) {
    end_operation(id, transaction);
    auto refused = refuse(reason);
    refused.retry_after = busy->retry_after;
    co_return refused;
  }
  auto outcome = outcome_of_write(target, answer, reason);
  const bool clean = outcome && !std::holds_alternative<backend::StatementRefused>(answer);
  finish(id, transaction, clean);
  if (outcome) co_return std::move(*outcome);
  const auto* failure = std::get_if<backend::Failed>(&answer);
  const bool proved_not_run = std::holds_alternative<backend::NotPrimary>(answer) ||
                              (failure != nullptr && failure->sent == runtime::SendState::kNotSent);
  if (proved_not_run) co_return lost_on_backend(target, reason);
  co_return co_await resolver_.run(body.request_id, target.group_name(), body.deadline, reason);
}

Awaitable<Outcome> TransactionService::resolve_unknown_commit(TransactionId id, CommitBody body) {
  auto not_open =
      lost(id.value.substr(0, id.value.find('~')),
           "the transaction is not open at this proxy; query the commit's request id with POST /v1/resolve");
  if (body.database.empty()) co_return refuse(not_open, http::RunState::kUnknown);
  const auto view = state_.serving.view();
  routing::Request request;
  request.database = body.database;
  request.partition_key = body.partition_key;
  request.labels = body.labels;
  const auto group = routing::find_group(*view, request);
  if (group == nullptr) co_return refuse(not_open, http::RunState::kUnknown);
  auto outcome = co_await resolver_.run(body.request_id, group->name, body.deadline, not_open);
  auto* refused = std::get_if<Refused>(&outcome);
  if (refused != nullptr && refused->reason.code == ReasonCode::kAborted) {
    not_open.detail = "the transaction is not open at this proxy, and its commit is recorded as aborted";
    co_return refuse(not_open);
  }
  co_return outcome;
}

Awaitable<Outcome> TransactionService::rollback(TransactionId id, TimePoint deadline) {
  Reason reason;
  const auto transaction = transactions_.begin_operation(id, reason);
  if (!transaction) co_return refuse(reason);
  const bool answered =
      co_await transaction->lease->connection().rollback(transaction->backend_transaction, deadline, reason);
  const auto target = transaction->target;
  finish(id, transaction, answered);
  // Without an answer the connection is closed, which rolls the transaction back.
  Done done;
  done.group = target.session_group();
  done.backend = target.backend_name();
  done.backend_is_primary = true;
  co_return done;
}

void TransactionService::abandon(const TransactionId& id, const OpenTransactionPointer& transaction) {
  transaction->abandoned = true;
  if (transaction->busy) return;
  transaction->busy = true;
  state_.runtime.spawn("roll_back_abandoned", roll_back_abandoned(id, transaction));
}

Awaitable<void> TransactionService::roll_back_abandoned(TransactionId id,
                                                        OpenTransactionPointer transaction) {
  Reason reason;
  const TimePoint deadline = state_.runtime.now() + kRollbackLimit;
  const bool answered =
      co_await transaction->lease->connection().rollback(transaction->backend_transaction, deadline, reason);
  finish(id, transaction, answered);
}

void TransactionService::caller_gone(runtime::HttpConnectionId caller) {
  for (const auto& [id, transaction] : transactions_.begun_by(caller)) abandon(id, transaction);
}

void TransactionService::abandon_all() {
  for (const auto& [id, transaction] : transactions_.snapshot()) abandon(id, transaction);
}

TimePoint TransactionService::abandon_idle() {
  const TimePoint now = state_.runtime.now();
  TimePoint next = TimePoint::max();
  for (const auto& [id, transaction] : transactions_.snapshot()) {
    const bool idle = !transaction->busy && transaction->idle_deadline <= now;
    if (idle) abandon(id, transaction);
    const TimePoint next_check =
        transaction->busy ? now + state_.settings.transaction_idle_limit : transaction->idle_deadline;
    next = std::min(next, next_check);
  }
  return next;
}

Awaitable<void> TransactionService::run() {
  while (!stopping_) {
    const TimePoint next = abandon_idle();
    co_await opened_.wait_until(next);
  }
}

void TransactionService::stop() {
  stopping_ = true;
  opened_.notify_all();
}

}  // namespace cairnhollow::declared::proxy
