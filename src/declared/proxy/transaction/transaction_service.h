// Runs callers' transactions. Each holds one connection to the group's primary from begin until its commit or
// rollback is answered, so that transactions never share a connection.
#pragma once

#include <memory>
#include <variant>

#include "declared/proxy/calls/caller_request.h"
#include "declared/proxy/statement/outcome_resolver.h"
#include "declared/proxy/statement/primary_wait.h"
#include "declared/proxy/transaction/transaction_table.h"

namespace cairnhollow::declared::proxy {

struct Begun {
  TransactionId transaction;
  BackendName backend;
};
using BeginOutcome = std::variant<Begun, Refused>;

class TransactionService {
 public:
  /// All arguments must outlive the service, which lives until the process ends.
  TransactionService(ProxyState& state, RetryBudget& budget, OutcomeResolver& resolver);

  /// Rolls back transactions that exceed the idle limit. Runs until stop().
  Awaitable<void> run();
  void stop();

  Awaitable<BeginOutcome> begin(StatementCall call, runtime::HttpConnectionId caller);
  Awaitable<Outcome> execute(TransactionId id, TransactionStatementBody body);
  /// If the transaction is not open here, the outcome is resolved by the commit's request id, provided that
  /// the body has a database and partition key.
  Awaitable<Outcome> commit(TransactionId id, CommitBody body);
  Awaitable<Outcome> rollback(TransactionId id, TimePoint deadline);
  /// Rolls back all transactions begun on this caller connection.
  void caller_gone(runtime::HttpConnectionId caller);
  /// Rolls back all open transactions.
  void abandon_all();

  [[nodiscard]] std::size_t open() const { return transactions_.size(); }
  /// Whether the transaction is open here, or is being ended.
  [[nodiscard]] bool knows(const TransactionId& id) const { return transactions_.contains(id); }
  /// Whether this caller connection began a transaction that is still open.
  [[nodiscard]] bool has_open(runtime::HttpConnectionId caller) const {
    return transactions_.has_open(caller);
  }

 private:
  struct OpenTransaction : TransactionState {
    AttemptTarget target;
    TransactionId backend_transaction;
    std::unique_ptr<ConnectionLease> lease;
    backend::Statement origin;  ///< database and partition key
  };
  using OpenTransactionPointer = TransactionTable<OpenTransaction>::Pointer;

  // A failure with a reason may be retried; it leaves no transaction open. All arguments must outlive the
  // coroutines.
  Awaitable<BeginOutcome> choose_and_begin(const StatementCall& call, PrimaryFailure& failure,
                                           runtime::HttpConnectionId caller);
  Awaitable<BeginOutcome> begin_at(AttemptTarget target, const StatementCall& call, PrimaryFailure& failure,
                                   runtime::HttpConnectionId caller);
  /// Closes the connection if the primary was replaced: a transaction begun in an earlier term cannot commit,
  /// and the old primary may not answer.
  void close_if_replaced(const OpenTransaction& transaction) const;
  // Each performs one operation of the transaction, which is abandoned if its primary is replaced.
  Awaitable<backend::ExecuteAnswer> send_statement(OpenTransactionPointer transaction,
                                                   backend::Statement statement, backend::Requirements wanted,
                                                   Reason& reason);
  Awaitable<backend::ExecuteAnswer> send_commit(OpenTransactionPointer transaction,
                                                backend::Requirements wanted, Reason& reason);
  /// Called after an operation that leaves the transaction open.
  void end_operation(const TransactionId& id, const OpenTransactionPointer& transaction);
  /// Called after an operation that ended the transaction. The connection is closed unless it is `reusable`.
  void finish(const TransactionId& id, const OpenTransactionPointer& transaction, bool reusable);
  /// Rolls back in the background, now or after the operation in flight.
  void abandon(const TransactionId& id, const OpenTransactionPointer& transaction);
  Awaitable<void> roll_back_abandoned(TransactionId id, OpenTransactionPointer transaction);
  Awaitable<Outcome> resolve_unknown_commit(TransactionId id, CommitBody body);
  /// Abandons transactions that exceed the idle limit. Returns the time of the next check.
  TimePoint abandon_idle();
  /// Limits the time of one operation, so that an unanswered one is not waited for until the deadline.
  [[nodiscard]] backend::Requirements requirements(const OpenTransaction& transaction,
                                                   TimePoint deadline) const;
  TransactionId next_id();

  ProxyState& state_;
  OutcomeResolver& resolver_;
  RetryBudget& budget_;
  TransactionTable<OpenTransaction> transactions_;
  runtime::Signal opened_;
  std::uint64_t incarnation_;  ///< distinguishes this process's transaction ids from those before a restart
  std::uint64_t next_number_ = 1;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::proxy
