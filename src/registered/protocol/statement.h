// Defines the statements of a session and their answers, independent of the wire protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"

namespace cairnhollow::registered {

enum class StatementKind : std::uint8_t {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSetValue,
  kPrepare,
  kExecute,  ///< of a prepared statement, which determines whether it reads or writes
  kDeallocate,
  kUnknown,  ///< not a statement of the protocol
};

/// One statement as a caller sent it.
struct Statement {
  StatementKind kind = StatementKind::kUnknown;
  std::string id;    ///< assigned by the caller; sent to the backend with the statement
  std::string text;  ///< complete and unmodified
  std::string name;  ///< of the session value or the prepared statement
  /// kSetValue: the value; kPrepare: the prepared text; kExecute: what follows the name.
  std::string argument;
  bool writes = false;  ///< true for kWrite, and for kPrepare of a statement that writes
};

/// Transaction state of a session or of a backend connection.
enum class TransactionState : std::uint8_t { kIdle, kOpen, kFailed };

/// Why a statement was refused or failed. The values before kInDoubt, and kOverLimit, guarantee that the
/// attempt has no lasting effect.
enum class Refusal : std::uint8_t {
  kBusy,             ///< not run: no free slot, queue full, or abandoned while waiting
  kAborted,          ///< the transaction was rolled back
  kTooStale,         ///< the replica has not reached the required position
  kNotPrimary,       ///< a write was sent to a replica
  kWrongBackend,     ///< another backend is at this address
  kConnectionLimit,  ///< the backend accepts no more connections
  // The following give no such guarantee, except kOverLimit.
  kInDoubt,           ///< sent, outcome unknown
  kTimedOut,          ///< started, but not finished before the deadline
  kFailed,            ///< run, and failed
  kMalformed,         ///< not a statement, or not valid in this state
  kUnknownStatement,  ///< no prepared statement of this name
  kUnknownDatabase,   ///< no route for this database
  kUnauthorized,      ///< not run: no tenant has the key, or none has it any more
  kOverLimit,         ///< not run: the tenant's rate limit is exhausted; no lasting effect, as with kBusy
};
inline constexpr std::size_t kRefusalCount = static_cast<std::size_t>(Refusal::kOverLimit) + 1;

/// Returns the stable lower-case name for logs and metrics, e.g. "in_doubt".
const char* refusal_name(Refusal refusal);
/// Returns whether the refusal guarantees that the attempt has no lasting effect.
bool guarantees_no_effect(Refusal refusal);
/// Returns whether a backend that answers with this refusal has certainly not run the statement.
bool guarantees_not_run(Refusal refusal);

/// The answer to one statement, from a backend or from the proxy itself.
struct Answer {
  std::vector<std::string> rows;
  std::string signature;  ///< of the backend that ran the statement; "-" if none did
  std::optional<Refusal> refusal;
  std::string detail;  ///< human-readable detail of the refusal
  TransactionState state = TransactionState::kIdle;
  std::optional<Position> position;  ///< of the backend's log after the statement
  [[nodiscard]] bool succeeded() const { return !refusal; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(rows, signature, refusal, detail, state, position);
  }
};

}  // namespace cairnhollow::registered
