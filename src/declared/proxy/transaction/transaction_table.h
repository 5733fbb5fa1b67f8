// Table of the callers' open transactions, at a backend or at another proxy. Each transaction is owned by a
// caller connection, runs one operation at a time and ends when it is idle for too long.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "base/reason.h"
#include "declared/proxy/calls/caller_request.h"

namespace cairnhollow::declared::proxy {

/// State common to both kinds of transactions; each kind derives its own type.
struct TransactionState {
  runtime::HttpConnectionId caller = 0;
  TimePoint idle_deadline;
  bool busy = false;       ///< an operation is in flight
  bool abandoned = false;  ///< to be ended as soon as it is not busy
};

/// `Transaction` must derive from TransactionState.
template <class Transaction>
class TransactionTable {
 public:
  using Pointer = std::shared_ptr<Transaction>;

  /// One transaction of a snapshot.
  struct Entry {
    TransactionId id;
    Pointer transaction;
  };

  void insert(const TransactionId& id, Pointer transaction) {
    transactions_.insert_or_assign(id, std::move(transaction));
  }
  void erase(const TransactionId& id) { transactions_.erase(id); }
  [[nodiscard]] bool contains(const TransactionId& id) const { return transactions_.contains(id); }
  [[nodiscard]] std::size_t size() const { return transactions_.size(); }

  /// Returns the transaction, marked busy. Returns null with kTransactionLost if it is not open here, or with
  /// kConflict while another operation of it is in flight.
  Pointer begin_operation(const TransactionId& id, Reason& reason) {
    const auto found = transactions_.find(id);
    if (found == transactions_.end() || found->second->abandoned) {
      reason = Reason{ReasonCode::kTransactionLost, "find_transaction", "",
                      "the transaction is not open at this proxy"};
      return nullptr;
    }
    if (found->second->busy) {
      reason = Reason{ReasonCode::kConflict, "find_transaction", "",
                      "another operation of the transaction is in flight"};
      return nullptr;
    }
    found->second->busy = true;
    return found->second;
  }

  /// Returns a copy in order of id, so that the table may change during iteration.
  [[nodiscard]] std::vector<Entry> snapshot() const {
    std::vector<Entry> entries;
    entries.reserve(transactions_.size());
    for (const auto& [id, transaction] : transactions_) entries.push_back({id, transaction});
    return entries;
  }

  /// Like snapshot(), for the transactions that this caller connection began.
  [[nodiscard]] std::vector<Entry> begun_by(runtime::HttpConnectionId caller) const {
    auto entries = snapshot();
    std::erase_if(entries, [caller](const Entry& entry) { return entry.transaction->caller != caller; });
    return entries;
  }

  [[nodiscard]] bool has_open(runtime::HttpConnectionId caller) const {
    return std::any_of(transactions_.begin(), transactions_.end(),
                       [caller](const auto& entry) { return entry.second->caller == caller; });
  }

 private:
  std::map<TransactionId, Pointer> transactions_;
};

}  // namespace cairnhollow::declared::proxy
