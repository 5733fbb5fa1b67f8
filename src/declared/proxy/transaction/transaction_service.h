// Transactions of callers. Each pins one connection to the group's primary from begin until its commit or
// rollback is answered, so that statements of different transactions never meet on a connection.
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
  /// All outlive the service, and the service lives until the process ends.
  TransactionService(ProxyState& state, RetryBudget& budget, OutcomeResolver& resolver);

  /// Ends transactions that idle too long. Runs until stop().
  Awaitable<void> run();
  void stop();

  Awaitable<BeginOutcome> begin(StatementCall call, runtime::HttpConnectionId caller);
  Awaitable<Outcome> execute(TransactionId id, TransactionStatementBody body);
  /// A transaction that is not here is resolved by the commit's request id when the body names database
  /// and partition key.
  Awaitable<Outcome> commit(TransactionId id, CommitBody body);
  Awaitable<Outcome> rollback(TransactionId id, TimePoint deadline);
  /// Rolls back what this connection began.
  void caller_gone(runtime::HttpConnectionId caller);
  /// Rolls back everything that is still open.
  void abandon_all();

  [[nodiscard]] std::size_t open() const { return transactions_.size(); }
  /// Whether the transaction is open here, or being ended.
  [[nodiscard]] bool knows(const TransactionId& id) const { return transactions_.contains(id); }
  /// Whether this connection began a transaction that is still open.
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

  // A failure with a reason may be tried again; nothing of it is left behind. All arguments outlive them.
  Awaitable<BeginOutcome> choose_and_begin(const StatementCall& call, PrimaryFailure& failure,
                                           runtime::HttpConnectionId caller);
  Awaitable<BeginOutcome> begin_at(AttemptTarget target, const StatementCall& call, PrimaryFailure& failure,
                                   runtime::HttpConnectionId caller);
  /// A transaction begun in a lower term can't commit, and its primary may not answer: it ends at once.
  void close_if_replaced(const OpenTransaction& transaction) const;
  // One call of the transaction, which is given up on when its primary is replaced.
  Awaitable<backend::ExecuteAnswer> send_statement(OpenTransactionPointer transaction,
                                                   backend::Statement statement, backend::Requirements wanted,
                                                   Reason& reason);
  Awaitable<backend::ExecuteAnswer> send_commit(OpenTransactionPointer transaction,
                                                backend::Requirements wanted, Reason& reason);
  /// After an operation that leaves the transaction open.
  void leave(const TransactionId& id, const OpenTransactionPointer& transaction);
  /// After an operation that ended it. `reusable`: the connection is clean.
  void finish(const TransactionId& id, const OpenTransactionPointer& transaction, bool reusable);
  /// Rolls back in the background, now or after the operation in flight.
  void abandon(const TransactionId& id, const OpenTransactionPointer& transaction);
  Awaitable<void> roll_back_abandoned(TransactionId id, OpenTransactionPointer transaction);
  Awaitable<Outcome> resolve_elsewhere(TransactionId id, CommitBody body);
  /// Abandons what has idled too long; returns when to look again.
  TimePoint end_idle();
  /// The time of one operation is limited: an unanswered one is not waited for up to the deadline.
  [[nodiscard]] backend::Requirements requirements(const OpenTransaction& transaction,
                                                   TimePoint deadline) const;
  TransactionId next_id();

  ProxyState& state_;
  OutcomeResolver& resolver_;
  RetryBudget& budget_;
  TransactionTable<OpenTransaction> transactions_;
  runtime::Signal opened_;
  std::uint64_t incarnation_;  ///< tells this process's ids from those before a restart
  std::uint64_t next_number_ = 1;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::proxy
