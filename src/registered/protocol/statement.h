// Statements of a session and answers to them, independent of how they are spoken.
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
  kExecute,  ///< of a prepared statement; reads or writes as that does
  kDeallocate,
  kUnknown,  ///< none of the protocol's texts
};

/// One statement as a caller sent it.
struct Statement {
  StatementKind kind = StatementKind::kUnknown;
  std::string id;        ///< the caller's; goes with the statement to the backend
  std::string text;      ///< whole and unchanged
  std::string name;      ///< of the value or prepared statement
  std::string argument;  ///< the value, the prepared shape, or what follows an executed statement's name
  bool writes = false;   ///< of kPrepare: what is prepared; of kWrite
};

/// Where a session's or a backend connection's transaction is.
enum class TransactionState : std::uint8_t { kIdle, kOpen, kFailed };

/// Why a statement was not answered with success. The first group promises that nothing of the caller's
/// attempt is kept.
enum class Refusal : std::uint8_t {
  kBusy,             ///< not run: no slot, queue full, or given up
  kAborted,          ///< the transaction is rolled back
  kTooStale,         ///< the data asked for is not there yet
  kNotPrimary,       ///< a write met a replica
  kWrongBackend,     ///< another backend is at this address
  kConnectionLimit,  ///< the backend takes no more connections
  // From here on there is no promise.
  kInDoubt,           ///< sent, and the outcome is not known
  kTimedOut,          ///< run, and not finished in time
  kFailed,            ///< run, and failed
  kMalformed,         ///< not a statement, or not possible in this state
  kUnknownStatement,  ///< no prepared statement of this name
  kUnknownDatabase,   ///< no route names the database
  kUnauthorized,      ///< the key proves no tenant, or does not any more; not run
  kOverLimit,         ///< not run: the tenant has begun as many operations as it may; a promise, as kBusy
};
inline constexpr std::size_t kRefusalCount = static_cast<std::size_t>(Refusal::kOverLimit) + 1;

/// Stable lower-case name for logs and metrics, e.g. "in_doubt".
const char* refusal_name(Refusal refusal);
/// Whether the refusal promises that nothing of the attempt is kept.
bool is_promise(Refusal refusal);
/// Whether a backend that answers so has certainly not run the statement.
bool is_not_run(Refusal refusal);

/// The answer to one statement, of a backend or of the proxy itself.
struct Answer {
  std::vector<std::string> rows;
  std::string signature;  ///< of the backend that ran it; "-" where none did
  std::optional<Refusal> refusal;
  std::string detail;  ///< of the refusal, for people
  TransactionState state = TransactionState::kIdle;
  std::optional<Position> position;  ///< of the backend's log, afterwards
  [[nodiscard]] bool succeeded() const { return !refusal; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(rows, signature, refusal, detail, state, position);
  }
};

}  // namespace cairnhollow::registered
