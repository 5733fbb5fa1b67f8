// The statement connections of one server, each with the transaction that is open on it.
#pragma once

#include <map>
#include <memory>

#include "base/reason.h"
#include "runtime/runtime.h"
#include "standins/database/transaction.h"
#include "standins/database/tunables.h"

namespace cairnhollow::standins::database {

class ConnectionTable {
 public:
  /// Both arguments outlive the table.
  ConnectionTable(runtime::Runtime& runtime, const Tunables& tunables)
      : runtime_(runtime), tunables_(tunables) {}

  /// Makes `connection` a statement connection, after the opening delay. False with kOverloaded when the
  /// limit is reached; connections being opened count.
  Awaitable<bool> open(runtime::HttpConnectionId connection, Reason& reason);
  /// Forgets the connection; its transaction is rolled back.
  void closed(runtime::HttpConnectionId connection);

  [[nodiscard]] bool is_open(runtime::HttpConnectionId connection) const;
  [[nodiscard]] std::uint32_t in_use() const { return static_cast<std::uint32_t>(connections_.size()); }

  /// Replaces a transaction that is open on the connection (its end was lost).
  std::shared_ptr<Transaction> begin(runtime::HttpConnectionId connection, const DatabaseName& database,
                                     std::uint64_t term);
  /// Null with kTransactionLost when `id` is not the transaction open on this connection.
  [[nodiscard]] std::shared_ptr<Transaction> find(runtime::HttpConnectionId connection,
                                                  const TransactionId& id, Reason& reason) const;
  void end_transaction(runtime::HttpConnectionId connection);
  [[nodiscard]] std::size_t open_transactions() const;

 private:
  struct Connection {
    bool opened = false;
    std::shared_ptr<Transaction> transaction;
  };

  runtime::Runtime& runtime_;
  const Tunables& tunables_;
  std::map<runtime::HttpConnectionId, Connection> connections_;
  std::uint64_t transactions_begun_ = 0;
};

}  // namespace cairnhollow::standins::database
