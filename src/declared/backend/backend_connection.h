// Interface of one connection to a database server, as specified in docs/BACKEND_CONTRACT.md. A driver for
// another database is a further implementation.
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
  std::uint64_t term = 0;  ///< highest term fenced or followed; durable
  BackendRole role = BackendRole::kReplica;
  BackendName primary;  ///< the primary that it follows; empty if none
  Position last;        ///< last entry of its log; durable
  Position committed;
  Position applied;
  bool primary_heard = false;  ///< replica: heard from the primary within its timeout
  std::vector<BackendName> members;
  std::uint32_t slots_in_use = 0;
  std::uint32_t slots = 0;
  std::uint32_t connections_in_use = 0;
  std::uint32_t connections = 0;
};

enum class StatementKind : std::uint8_t { kRead = 1, kWrite = 2 };

/// Opaque to the proxy: `text` is passed to the database unchanged.
struct Statement {
  StatementKind kind = StatementKind::kRead;
  DatabaseName database;
  std::string partition_key;
  std::string text;
};

/// Conditions under which a backend may run a statement.
struct Requirements {
  std::uint64_t term = 0;               ///< writes and transactions: only as primary of exactly this term
  Position minimum_position;            ///< reads: must be applied at least up to here
  bool confirmed_read = false;          ///< reads at the primary: confirm its leadership with a majority
  Duration wait_for_position{0};        ///< how long a replica may wait for minimum_position
  TimePoint deadline;                   ///< on the local clock; sent as the remaining time
  std::optional<RequestId> request_id;  ///< writes and commits: key of the ledger entry
  std::uint64_t answered_up_to = 0;     ///< the session has received its answers up to this number
};

// Answers. Every alternative that is not an outcome means that the statement was not run.
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
/// A write whose request id already has an outcome in the ledger; it did not run again.
struct AlreadyDecided {
  bool committed = false;
  std::string body;
  Position position;
};
/// The database rejected the statement itself (invalid text, missing key); it had no effect.
struct StatementRefused {
  std::string detail;
};
/// No answer. `sent` tells whether the statement may have run.
struct Failed {
  runtime::SendState sent = runtime::SendState::kNotSent;
};

using ExecuteAnswer =
    std::variant<Rows, Written, NotPrimary, TooStale, Busy, AlreadyDecided, StatementRefused, Failed>;

struct FenceAnswer {
  bool granted = false;
  std::uint64_t term = 0;  ///< the highest term it has seen
  Position last;           ///< end of its log; durable
  Position committed;
};

/// The recorded outcome of a request id. After this answer no copy of the request can run.
struct ResolveAnswer {
  bool committed = false;
  std::string body;
  Position position;
};

/// Becomes closed at the first failed exchange and stays closed.
class BackendConnection {
 public:
  virtual ~BackendConnection() = default;

  virtual Awaitable<std::optional<BackendStatus>> status(TimePoint deadline, Reason& reason) = 0;
  /// Runs one statement outside a transaction. `reason` explains every alternative except Rows and Written.
  virtual Awaitable<ExecuteAnswer> execute(Statement statement, Requirements requirements,
                                           Reason& reason) = 0;

  /// Begins a transaction; at most one at a time. It is bound to this connection and ends with it.
  virtual Awaitable<std::optional<TransactionId>> begin(DatabaseName database, Requirements requirements,
                                                        Reason& reason) = 0;
  virtual Awaitable<ExecuteAnswer> execute_in(TransactionId transaction, Statement statement,
                                              Requirements requirements, Reason& reason) = 0;
  virtual Awaitable<ExecuteAnswer> commit(TransactionId transaction, Requirements requirements,
                                          Reason& reason) = 0;
  virtual Awaitable<bool> rollback(TransactionId transaction, TimePoint deadline, Reason& reason) = 0;

  /// Durably adopts `term` if it is higher than any seen, or was adopted for the same `owner` before. From
  /// then on the backend refuses work and replication of lower terms. A term has at most one owner.
  virtual Awaitable<std::optional<FenceAnswer>> fence(std::uint64_t term, std::string owner,
                                                      TimePoint deadline, Reason& reason) = 0;
  /// Makes the backend primary of a term for which `owner` has fenced a majority of the members, including
  /// this one, none of which has a higher last position. It serves once an entry of its own term is
  /// committed.
  virtual Awaitable<bool> promote(std::uint64_t term, std::string owner, TimePoint deadline,
                                  Reason& reason) = 0;
  /// Sets the primary to follow in `term`. The backend truncates the tail of its log that the primary does
  /// not have.
  virtual Awaitable<bool> follow(std::uint64_t term, BackendName primary, Endpoint endpoint,
                                 TimePoint deadline, Reason& reason) = 0;
  /// Asks the primary of `term` for the outcome of a request. A request without an outcome is first durably
  /// recorded as aborted.
  virtual Awaitable<std::optional<ResolveAnswer>> resolve(RequestId request, std::uint64_t term,
                                                          TimePoint deadline, Reason& reason) = 0;

  [[nodiscard]] virtual bool is_open() const = 0;
  virtual void close() = 0;
  [[nodiscard]] virtual std::string peer() const = 0;
};

/// Opens connections. Tests and the simulator substitute their own implementation.
class BackendConnector {
 public:
  virtual ~BackendConnector() = default;
  /// Returns null on failure and sets `reason`.
  virtual Awaitable<std::shared_ptr<BackendConnection>> open(BackendName backend, Endpoint endpoint,
                                                             TimePoint deadline, Reason& reason) = 0;
};

}  // namespace cairnhollow::declared::backend
