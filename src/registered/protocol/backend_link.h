// Defines the interface to backends that keep session state per connection: one link is one connection.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "base/reason.h"
#include "registered/protocol/statement.h"
#include "runtime/http.h"
#include "runtime/runtime.h"

namespace cairnhollow::registered {

/// A caller's read, write or commit, forwarded with its id and text.
struct SimpleQuery {
  std::string id;
  std::string text;
  std::optional<Position> required;  ///< a backend whose log has not reached it answers kTooStale
};
/// A caller's execution of a prepared statement; `name` is the one that it has on this link.
struct Execute {
  std::string id;
  std::string name;
  std::string argument;
  std::optional<Position> required;
};
struct Begin {
  bool read_only = false;
  std::optional<Position> required;
};
struct Rollback {};
struct SetValue {
  std::string name;
  std::string value;
};
struct Prepare {
  std::string name;
  bool writes = false;
  std::string shape;
};
/// Discards the session's values and prepared statements.
struct ResetState {};
/// Requests the backend's role and position; answered with one row, see BackendStatus.
struct GetStatus {};
/// Demotes a primary of a lower term to a replica; answered with one row, see BackendStatus.
struct Demote {
  std::uint64_t term = 0;
};

/// Suspends replication to a replica until Resume, its promotion or its restart; `term` must be higher than
/// any that the replica has seen. Answered with one row, see BackendStatus.
struct Pause {
  std::uint64_t term = 0;
};
/// Ends a Pause; answered with one row, see BackendStatus.
struct Resume {};

using BackendRequest = std::variant<SimpleQuery, Execute, Begin, Rollback, SetValue, Prepare, ResetState,
                                    GetStatus, Demote, Pause, Resume>;

struct BackendStatus {
  bool is_primary = false;
  std::uint64_t term = 0;
  Position received;
  std::uint64_t pause_term = 0;  ///< term of the Pause in effect; 0 if there is none
};

/// Runs one exchange at a time. A link whose answer is missing, late or out of order is closed permanently.
class BackendLink {
 public:
  virtual ~BackendLink() = default;
  /// Returns std::nullopt if no complete answer was received by `deadline`; `sent` is set to whether the
  /// backend may have received the request.
  virtual Awaitable<std::optional<Answer>> run(BackendRequest request, TimePoint deadline,
                                               runtime::SendState& sent, Reason& reason) = 0;
  /// Parses the row of an answer to GetStatus, Demote, Pause or Resume. Returns std::nullopt with
  /// ReasonCode::kCorrupt if it is malformed.
  virtual std::optional<BackendStatus> read_status(const Answer& answer, Reason& reason) = 0;
  /// Aborts any exchange in flight; the backend rolls back an open transaction.
  virtual void close() = 0;
  [[nodiscard]] virtual bool is_open() const = 0;
  [[nodiscard]] virtual std::string peer() const = 0;
};

struct BackendAddress {
  Endpoint endpoint;
  GroupName group;
  BackendName backend;  ///< expected at the endpoint; another backend refuses with kWrongBackend
  TenantName tenant{};  ///< whose statements use the link; empty: the proxy's own, or callers without a key
};

class BackendDialer {
 public:
  virtual ~BackendDialer() = default;
  /// Returns nullptr on failure; `refusal` is set if the backend itself refused the session.
  virtual Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress address, TimePoint deadline,
                                                       std::optional<Refusal>& refusal, Reason& reason) = 0;
};

}  // namespace cairnhollow::registered
