#include "standins/database/connection_table.h"

#include <fmt/format.h>

#include <algorithm>

namespace cairnhollow::standins::database {

Awaitable<bool> ConnectionTable::open(runtime::HttpConnectionId connection, Reason& reason) {
  if (is_open(connection)) co_return true;
  if (in_use() >= tunables_.connections) {
    reason = Reason{ReasonCode::kOverloaded, "open_connection", "", "the connection limit is reached"};
    co_return false;
  }
  connections_[connection];
  co_await runtime_.sleep_for(tunables_.connection_opening_delay);
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    reason = Reason{ReasonCode::kConnectionLost, "open_connection", "", "closed while it was opened"};
    co_return false;
  }
  found->second.opened = true;
  co_return true;
}

void ConnectionTable::closed(runtime::HttpConnectionId connection) { connections_.erase(connection); }

bool ConnectionTable::is_open(runtime::HttpConnectionId connection) const {
  const auto found = connections_.find(connection);
  return found != connections_.end() && found->second.opened;
}

std::shared_ptr<Transaction> ConnectionTable::begin(runtime::HttpConnectionId connection,
                                                    const DatabaseName& database, std::uint64_t term) {
  const TransactionId id(fmt::format("{}-{}", connection, ++transactions_begun_));
  auto transaction = std::make_shared<Transaction>(id, database, term);
  connections_.at(connection).transaction = transaction;
  return transaction;
}

std::shared_ptr<Transaction> ConnectionTable::find(runtime::HttpConnectionId connection,
                                                   const TransactionId& id, Reason& reason) const {
  const auto found = connections_.find(connection);
  if (found != connections_.end() && found->second.transaction && found->second.transaction->id() == id) {
    return found->second.transaction;
  }
  reason = Reason{ReasonCode::kTransactionLost, "find_transaction", "",
                  "no such transaction is open on this connection"};
  return nullptr;
}

void ConnectionTable::end_transaction(runtime::HttpConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found != connections_.end()) found->second.transaction.reset();
}

std::size_t ConnectionTable::open_transactions() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& entry) { return entry.second.transaction != nullptr; }));
}

}  // namespace cairnhollow::standins::database
