// One connection to a database server, by the contract in docs/BACKEND_CONTRACT.md. A driver for another
// database is one more implementation of this interface.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/reason.h"
#include "base/types.h"
#include "runtime/awaitable.h"
#include "runtime/http.h"

namespace cairnhollow::declared::backend {

enum class BackendRole : std::uint8_t { kReplica = 1, kPrimary = 2 };

struct BackendStatus {
  BackendName backend;
  GroupName group;
  std::uint64_t term = 0;  ///< highest term fenced or followed, durable
  BackendRole role = BackendRole::kReplica;
  BackendName primary;  ///< whom it follows; empty when none
  Position last;        ///< last entry of its log, durable
  Position committed;
  Position applied;
  bool primary_heard = false;  ///< replica: the primary answered within its own timeout
  std::vector<BackendName> members;
  std::uint32_t slots_in_use = 0;
  std::uint32_t slots = 0;
  std::uint32_t connections_in_use = 0;
  std::uint32_t connections = 0;
};

enum class StatementKind : std::uint8_t { kRead = 1, kWrite = 2 };

/// Opaque to the proxy: `text` goes to the database as it came.
struct Statement {
  StatementKind kind = StatementKind::kRead;
  DatabaseName database;
  std::string partition_key;
  std::string text;
};

/// What must hold for a backend to run a statement.
struct Requirements {
  std::uint64_t term = 0;               ///< writes and transactions: only as primary of exactly this term
  Position minimum_position;            ///< reads: applied at least up to here
  bool confirmed_read = false;          ///< reads at the primary: confirm with a majority that it still is
  Duration wait_for_position{0};        ///< how long a replica may wait for minimum_position
  TimePoint deadline;                   ///< on the local clock; sent as the time that is left
  std::optional<RequestId> request_id;  ///< writes and commits: the entry in the request ledger
  std::uint64_t answered_up_to = 0;     ///< the session has its answers up to this number
};

// Answers. Each alternative that is not an outcome says that the statement was not run.
struct Rows {
  std::string body;
  Position position;
  bool truncated = false;
};
struct Written {
  std::string body;
  Position position;
};
struct NotPrimary {
  std::uint64_t term = 0;
  BackendName hint;
};
struct TooStale {
  Position applied;
};
struct Busy {
  Duration retry_after{0};
};
/// A write whose request id already has an outcome in the ledger: it did not run again.
struct AlreadyDecided {
  bool committed = false;
  std::string body;
  Position position;
};
/// The database refused the statement itself (bad text, key missing); it left no trace.
struct StatementRefused {
  std::string detail;
};
/// No answer: `sent` decides whether it may have run.
struct Failed {
  runtime::SendState sent = runtime::SendState::kNotSent;
};

using ExecuteAnswer =
    std::variant<Rows, Written, NotPrimary, TooStale, Busy, AlreadyDecided, StatementRefused, Failed>;

struct FenceAnswer {
  bool granted = false;
  std::uint64_t term = 0;  ///< the highest term it knows
  Position last;           ///< end of its log, durable
  Position committed;
};

/// The recorded outcome of a request id; after this answer no copy of it can run.
struct ResolveAnswer {
  bool committed = false;
  std::string body;
  Position position;
};

/// Moves to a closed state on the first failed exchange and never comes back.
class BackendConnection {
 public:
  virtual ~BackendConnection() = default;

  virtual Awaitable<std::optional<BackendStatus>> status(TimePoint deadline, Reason& reason) = 0;
  /// Runs one statement outside a transaction. The reason explains every alternative but Rows/Written.
  virtual Awaitable<ExecuteAnswer> execute(Statement statement, Requirements requirements,
                                           Reason& reason) = 0;

  /// One transaction at a time; it lives on this connection and dies with it.
  virtual Awaitable<std::optional<TransactionId>> begin(DatabaseName database, Requirements requirements,
                                                        Reason& reason) = 0;
  virtual Awaitable<ExecuteAnswer> execute_in(TransactionId transaction, Statement statement,
                                              Requirements requirements, Reason& reason) = 0;
  virtual Awaitable<ExecuteAnswer> commit(TransactionId transaction, Requirements requirements,
                                          Reason& reason) = 0;
  virtual Awaitable<bool> rollback(TransactionId transaction, TimePoint deadline, Reason& reason) = 0;

  /// Takes `term` durably if it is higher than any seen, or was taken for the same `owner` before: from
  /// then on the backend refuses work and replication of lower terms. At most one owner per term.
  virtual Awaitable<std::optional<FenceAnswer>> fence(std::uint64_t term, std::string owner,
                                                      TimePoint deadline, Reason& reason) = 0;
  /// Makes it primary of a term for which `owner` fenced a majority of the members, this one among them
  /// and none with a higher last position. It serves once an entry of its own term is committed.
  virtual Awaitable<bool> promote(std::uint64_t term, std::string owner, TimePoint deadline,
                                  Reason& reason) = 0;
  /// Tells it whom to follow in `term`; it cuts off its tail that the primary does not have.
  virtual Awaitable<bool> follow(std::uint64_t term, BackendName primary, Endpoint endpoint,
                                 TimePoint deadline, Reason& reason) = 0;
  /// Asks the primary of `term` for the outcome of a request; one without an outcome is durably recorded
  /// as aborted first.
  virtual Awaitable<std::optional<ResolveAnswer>> resolve(RequestId request, std::uint64_t term,
                                                          TimePoint deadline, Reason& reason) = 0;

  [[nodiscard]] virtual bool is_open() const = 0;
  virtual void close() = 0;
  [[nodiscard]] virtual std::string peer() const = 0;
};

/// Opens connections; tests and the simulator may put their own in place.
class BackendConnector {
 public:
  virtual ~BackendConnector() = default;
  /// Null on failure.
  virtual Awaitable<std::shared_ptr<BackendConnection>> open(BackendName backend, Endpoint endpoint,
                                                             TimePoint deadline, Reason& reason) = 0;
};

}  // namespace cairnhollow::declared::backend
