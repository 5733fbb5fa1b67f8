// An open transaction: writes are buffered, reads remembered; the log decides at commit.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/types.h"
#include "standins/database/log_entry.h"
#include "standins/database/record_store.h"

namespace cairnhollow::standins::database {

/// Optimistic: it commits when no record that it read was written since it first read it. Nothing of it
/// can be seen by others before.
class Transaction {
 public:
  Transaction(TransactionId id, DatabaseName database, std::uint64_t term)
      : id_(std::move(id)), database_(std::move(database)), term_(term) {}

  [[nodiscard]] const TransactionId& id() const { return id_; }
  [[nodiscard]] const DatabaseName& database() const { return database_; }
  /// The primary's term in which it began; it can't outlive that.
  [[nodiscard]] std::uint64_t term() const { return term_; }

  /// Reads what is committed now and its own writes on top; writes are buffered.
  OperationResult run(const Operation& operation, const RecordStore& committed);
  /// All its writes as one log entry.
  [[nodiscard]] WriteCommand to_command() const;

 private:
  OperationResult read(const std::string& record, const RecordStore& committed);

  TransactionId id_;
  DatabaseName database_;
  std::uint64_t term_;
  std::vector<Operation> writes_;
  std::map<std::string, std::uint64_t> read_versions_;  ///< at the first read of each record
};

}  // namespace cairnhollow::standins::database
