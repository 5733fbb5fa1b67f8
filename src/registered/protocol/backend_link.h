// How a backend that keeps state per connection is met: one link is one connection.
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

/// A caller's read, write or commit, passed on with its id and text.
struct PassOn {
  std::string id;
  std::string text;
  std::optional<Position> required;  ///< refused as too stale by a backend whose log lacks it
};
/// A caller's execution of a prepared statement, under the name that it has on this link.
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
/// Drops values and prepared statements.
struct ResetState {};
/// Asks a backend what it is; answered with one row, see BackendStatus.
struct AskStatus {};
/// Makes a primary of a lower term a replica; answered with one row, see BackendStatus.
struct Demote {
  std::uint64_t term = 0;
};

/// Keeps a replica from receiving until Resume, its promotion or its restart; `term` is above any that it
/// knows. Answered with one row, see BackendStatus.
struct Pause {
  std::uint64_t term = 0;
};
/// Ends a Pause; answered with one row, see BackendStatus.
struct Resume {};

using BackendRequest = std::variant<PassOn, Execute, Begin, Rollback, SetValue, Prepare, ResetState,
                                    AskStatus, Demote, Pause, Resume>;

struct BackendStatus {
  bool is_primary = false;
  std::uint64_t term = 0;
  Position received;
  std::uint64_t pause_term = 0;  ///< of the Pause that holds it; 0: none does
};

/// One exchange at a time. A link whose answer is missing, late or out of order is closed for good.
class BackendLink {
 public:
  virtual ~BackendLink() = default;
  /// Empty when no whole answer came; `sent` says whether the backend may have seen the request.
  virtual Awaitable<std::optional<Answer>> run(BackendRequest request, TimePoint deadline,
                                               runtime::SendState& sent, Reason& reason) = 0;
  /// What the row of an answer to AskStatus or Demote says; empty with kCorrupt.
  virtual std::optional<BackendStatus> read_status(const Answer& answer, Reason& reason) = 0;
  /// Ends an exchange in flight; the backend rolls back what is open.
  virtual void close() = 0;
  [[nodiscard]] virtual bool is_open() const = 0;
  [[nodiscard]] virtual std::string peer() const = 0;
};

struct BackendAddress {
  Endpoint endpoint;
  GroupName group;
  BackendName backend;  ///< expected there
  TenantName tenant{};  ///< whose statements the link is for; empty: nobody's, or callers without a key
};

class BackendDialer {
 public:
  virtual ~BackendDialer() = default;
  /// Null on failure; `refusal` is set when the backend itself refused.
  virtual Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress address, TimePoint deadline,
                                                       std::optional<Refusal>& refusal, Reason& reason) = 0;
};

}  // namespace cairnhollow::registered
