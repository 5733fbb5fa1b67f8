#include "declared/proxy/forwarding/forwarded_transactions.h"

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

constexpr unsigned kOk = 200;

Reason transaction_lost(const routing::ForwardTarget& target, const Reason& cause) {
  return Reason{ReasonCode::kTransactionLost, "forward", target.proxy.value,
                "rolled back: " + cause.to_string()};
}

/// Whether the transaction is still open at the remote proxy after this answer.
bool stays_open(const HttpResponse& response, TransactionStep step) {
  if (response.status == kOk) return step == TransactionStep::kStatement;
  const auto problem = http::parse_problem(response.body);
  if (!problem || problem->reason.code == ReasonCode::kTransactionLost) return false;
  if (step == TransactionStep::kStatement) return true;
  return problem->reason.code == ReasonCode::kOverloaded || problem->reason.code == ReasonCode::kLeaseExpired;
}

}  // namespace

Awaitable<void> ForwardedTransactions::run() {
  while (!stopping_) {
    drop_idle();
    forwarder_.drop_idle();
    co_await stopped_.wait_until(state_.runtime.now() + kHopUpkeepInterval);
  }
}

void ForwardedTransactions::stop() {
  stopping_ = true;
  abandon_all();
  stopped_.notify_all();
}

Awaitable<HopAnswer> ForwardedTransactions::begin(HopCall call, StatementCall origin,
                                                  runtime::HttpConnectionId caller) {
  auto pinned = std::make_shared<PinnedTransaction>();
  pinned->group = call.group;
  pinned->origin = std::move(origin);
  pinned->caller = caller;
  auto forwarded = co_await forwarder_.forward_and_keep(std::move(call));
  const auto* response = std::get_if<HttpResponse>(&forwarded.answer);
  const auto id = response == nullptr ? std::nullopt : parse_transaction_id(*response);
  if (!id) co_return std::move(forwarded.answer);
  pinned->hop = std::move(forwarded.hop);
  pinned->target = std::move(forwarded.target);
  pinned->idle_deadline = state_.runtime.now() + state_.settings.transaction_idle_limit;
  transactions_.insert(*id, pinned);
  co_return std::move(forwarded.answer);
}

Awaitable<ForwardedTransactions::ExchangeResult> ForwardedTransactions::exchange(
    PinnedTransactionPointer pinned, HttpRequest request, TimePoint answer_by) {
  ExchangeResult result;
  result.response = co_await forwarder_.exchange(*pinned->hop, pinned->target, std::move(request), answer_by,
                                                 result.sent, result.reason);
  if (result.response && result.response->status != kOk && !http::parse_problem(result.response->body)) {
    result.response.reset();
    result.reason = Reason{ReasonCode::kConnectionLost, "forward", pinned->target.proxy.value,
                           "the proxy's answer is malformed"};
  }
  if (!result.response) {
    pinned->hop->connection().close();
    forwarder_.count_unanswered();
    forwarder_.avoid(pinned->target);
  }
  co_return result;
}

void ForwardedTransactions::apply_answer(const TransactionId& id, const PinnedTransactionPointer& pinned,
                                         const HttpResponse& response, TransactionStep step) {
  pinned->busy = false;
  pinned->idle_deadline = state_.runtime.now() + state_.settings.transaction_idle_limit;
  const bool ended_cleanly = response.status == kOk && step != TransactionStep::kStatement;
  const bool is_usable = !pinned->abandoned && pinned->hop->connection().is_open();
  if (!is_usable || (!ended_cleanly && !stays_open(response, step))) {
    drop(id, pinned);
  } else if (ended_cleanly) {
    transactions_.erase(id);  // the connection is reused
  }
}

void ForwardedTransactions::drop(const TransactionId& id, const PinnedTransactionPointer& pinned) {
  pinned->hop->connection().close();
  transactions_.erase(id);
}

void ForwardedTransactions::abandon(const TransactionId& id, const PinnedTransactionPointer& pinned) {
  pinned->abandoned = true;
  if (!pinned->busy) drop(id, pinned);
}

Awaitable<HopAnswer> ForwardedTransactions::execute(TransactionId id, HttpRequest request, TimePoint deadline,
                                                    TransactionStep step) {
  Reason reason;
  const auto pinned = transactions_.begin_operation(id, reason);
  if (!pinned) co_return refuse(std::move(reason));
  auto result = co_await exchange(pinned, std::move(request), deadline);
  if (!result.response) {
    drop(id, pinned);
    co_return refuse(transaction_lost(pinned->target, result.reason));
  }
  apply_answer(id, pinned, *result.response, step);
  co_return to_caller_response(std::move(*result.response));
}

Awaitable<HopAnswer> ForwardedTransactions::commit(TransactionId id, HttpRequest request, CommitBody body) {
  Reason reason;
  const auto pinned = transactions_.begin_operation(id, reason);
  if (!pinned) co_return refuse(std::move(reason), http::RunState::kUnknown);
  const TimePoint answer_by = forwarder_.answer_by(body.deadline, false);
  auto result = co_await exchange(pinned, std::move(request), answer_by);
  if (result.response) {
    apply_answer(id, pinned, *result.response, TransactionStep::kCommit);
    co_return to_caller_response(std::move(*result.response));
  }
  drop(id, pinned);
  if (result.sent == runtime::SendState::kNotSent) {
    co_return refuse(transaction_lost(pinned->target, result.reason));
  }
  LedgerQuery query{body.request_id, pinned->origin.statement.database,
                    pinned->origin.statement.partition_key, pinned->origin.labels, body.token};
  co_return co_await forwarder_.resolve(std::move(query), pinned->group, body.deadline, pinned->target,
                                        std::move(result.reason));
}

void ForwardedTransactions::caller_gone(runtime::HttpConnectionId caller) {
  for (const auto& [id, pinned] : transactions_.begun_by(caller)) abandon(id, pinned);
}

void ForwardedTransactions::abandon_all() {
  for (const auto& [id, pinned] : transactions_.snapshot()) abandon(id, pinned);
}

void ForwardedTransactions::drop_idle() {
  const TimePoint now = state_.runtime.now();
  for (const auto& [id, pinned] : transactions_.snapshot()) {
    // The remote proxy also ends idle transactions; this is a second safeguard.
    const bool idle = !pinned->busy && pinned->idle_deadline <= now;
    if (idle || !pinned->hop->connection().is_open()) drop(id, pinned);
  }
}

}  // namespace cairnhollow::declared::proxy
