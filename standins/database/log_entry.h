// What the replicated log of a database group holds. Encoded by cereal, on disk and between members.
#pragma once

#include <cereal/types/variant.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/types.h"

namespace cairnhollow::standins::database {

enum class OperationKind : std::uint8_t { kGet = 1, kAppend = 2, kPut = 3 };

/// One operation of a statement. `record` is database and record name joined by '/'.
struct Operation {
  OperationKind kind = OperationKind::kGet;
  std::string record;
  std::string value;  ///< unused by kGet

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, record, value);
  }
};

/// A record that a transaction read: it commits only when the record was not written since.
struct ReadVersion {
  std::string record;
  std::uint64_t version = 0;  ///< log index of the record's last write; 0: never written

  template <class Archive>
  void serialize(Archive& archive) {
    archive(record, version);
  }
};

/// The first entry of a primary's term: commits what earlier terms left (Raft, section 5.4.2).
struct NoOperation {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

/// A write statement, or all writes of one transaction.
struct WriteCommand {
  std::vector<Operation> operations;
  std::vector<ReadVersion> reads;
  bool single_operation = false;  ///< the answer is that operation's result, not a list of results
  std::optional<RequestId> request;
  std::uint64_t answered_up_to = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(operations, reads, single_operation, request, answered_up_to);
  }
};

/// Decides a request as aborted, unless an earlier entry decided it.
struct AbortCommand {
  RequestId request;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(request);
  }
};

using Command = std::variant<NoOperation, WriteCommand, AbortCommand>;

struct LogEntry {
  Position position;
  Command command;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(position, command);
  }
};

/// The request that a command decides; empty for one without.
std::optional<RequestId> request_of(const Command& command);

}  // namespace cairnhollow::standins::database
