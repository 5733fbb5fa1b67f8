// Defines the interface between sessions and the wire protocol of their callers.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/reason.h"
#include "registered/protocol/statement.h"
#include "runtime/awaitable.h"
#include "runtime/lines.h"

namespace cairnhollow::registered {

/// The first message of a caller.
struct SessionStart {
  DatabaseName database;
  ApiKey key;  ///< ignored unless the document requires keys
};

/// The connection of one caller. One statement runs at a time; the caller waits for its answer.
class CallerConnection {
 public:
  virtual ~CallerConnection() = default;
  /// Returns std::nullopt if the caller disconnected, sent no message by `deadline`, or sent another one
  /// first.
  virtual Awaitable<std::optional<SessionStart>> read_start(TimePoint deadline, Reason& reason) = 0;
  /// Tells the caller that its session is open. Returns false on a write error.
  virtual Awaitable<bool> accept(Reason& reason) = 0;
  /// Sends the reason why no session is opened, and closes the connection.
  virtual Awaitable<void> refuse(Refusal refusal, std::string detail) = 0;
  /// Returns std::nullopt if the caller ended the session (`reason` then holds no failure), sent a malformed
  /// line, or disconnected.
  virtual Awaitable<std::optional<Statement>> read_statement(Reason& reason) = 0;
  virtual Awaitable<bool> answer(const Answer& answer, Reason& reason) = 0;
  virtual void close() = 0;
  [[nodiscard]] virtual bool is_open() const = 0;
  [[nodiscard]] virtual std::string peer() const = 0;
};

class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;
  virtual std::shared_ptr<CallerConnection> wrap(std::shared_ptr<runtime::LineConnection> lines) = 0;
};

}  // namespace cairnhollow::registered
