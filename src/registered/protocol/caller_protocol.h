// How callers are met: the protocol's side of a caller's connection.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/reason.h"
#include "registered/protocol/statement.h"
#include "runtime/awaitable.h"
#include "runtime/lines.h"

namespace cairnhollow::registered {

/// What a caller says first.
struct SessionStart {
  DatabaseName database;
  ApiKey key;  ///< means something only where the document requires keys
};

/// One caller's connection. One statement is open at a time; the caller waits for its answer.
class CallerConnection {
 public:
  virtual ~CallerConnection() = default;
  /// Empty when the caller went away or said something else first.
  virtual Awaitable<std::optional<SessionStart>> read_start(TimePoint deadline, Reason& reason) = 0;
  /// The session is open.
  virtual Awaitable<bool> accept(Reason& reason) = 0;
  /// Tells why there will be no session, and closes.
  virtual Awaitable<void> refuse(Refusal refusal, std::string detail) = 0;
  /// Empty when the caller ended the session or the connection is gone.
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
