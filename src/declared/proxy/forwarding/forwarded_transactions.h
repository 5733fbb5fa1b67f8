// Callers' transactions for groups that other proxies serve. Each pins one connection to another proxy from
// begin until its commit or rollback is answered; if that connection closes, the remote proxy rolls back.
#pragma once

#include <memory>

#include "declared/proxy/calls/caller_request.h"
#include "declared/proxy/forwarding/forwarder.h"
#include "declared/proxy/transaction/transaction_table.h"

namespace cairnhollow::declared::proxy {

enum class TransactionStep : std::uint8_t { kStatement, kCommit, kRollback };

class ForwardedTransactions {
 public:
  /// The arguments are not owned and must outlive this object, which lives until the process ends.
  ForwardedTransactions(ProxyState& state, Forwarder& forwarder)
      : state_(state), forwarder_(forwarder), stopped_(state.runtime) {}

  /// Drops idle transactions and connections periodically. Runs until stop().
  Awaitable<void> run();
  void stop();

  /// Begins a transaction at another proxy. `call.query` must be unset, because a begin has no lasting
  /// effect; `origin` is the caller's begin call.
  Awaitable<HopAnswer> begin(HopCall call, StatementCall origin, runtime::HttpConnectionId caller);
  /// Whether the transaction was begun at another proxy through this one.
  [[nodiscard]] bool knows(const TransactionId& id) const { return transactions_.contains(id); }
  /// Executes a statement or rollback of a known transaction; `request` is as the caller sent it.
  Awaitable<HopAnswer> execute(TransactionId id, runtime::HttpRequest request, TimePoint deadline,
                               TransactionStep step);
  Awaitable<HopAnswer> commit(TransactionId id, runtime::HttpRequest request, CommitBody body);

  /// Rolls back the transactions that this caller connection began, by closing their pinned connections.
  void caller_gone(runtime::HttpConnectionId caller);
  void abandon_all();
  [[nodiscard]] std::size_t open() const { return transactions_.size(); }
  [[nodiscard]] bool has_open(runtime::HttpConnectionId caller) const {
    return transactions_.has_open(caller);
  }

 private:
  struct PinnedTransaction : TransactionState {
    HopPool::HopPointer hop;
    routing::ForwardTarget target;
    GroupName group;
    StatementCall origin;
  };
  using PinnedTransactionPointer = TransactionTable<PinnedTransaction>::Pointer;

  struct ExchangeResult {
    std::optional<runtime::HttpResponse> response;
    runtime::SendState sent = runtime::SendState::kNotSent;
    Reason reason;
  };

  Awaitable<ExchangeResult> exchange(PinnedTransactionPointer pinned, runtime::HttpRequest request,
                                     TimePoint answer_by);
  /// After an answer: keeps the transaction, or removes it if the answer shows that it has ended.
  void apply_answer(const TransactionId& id, const PinnedTransactionPointer& pinned,
                    const runtime::HttpResponse& response, TransactionStep step);
  /// Drops the transaction now, or after the operation in flight.
  void abandon(const TransactionId& id, const PinnedTransactionPointer& pinned);
  /// Closes the pinned connection, so that the remote proxy rolls back if the transaction is still open.
  void drop(const TransactionId& id, const PinnedTransactionPointer& pinned);
  void drop_idle();

  ProxyState& state_;
  Forwarder& forwarder_;
  TransactionTable<PinnedTransaction> transactions_;
  runtime::Signal stopped_;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::proxy
