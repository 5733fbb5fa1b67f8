// Streams of text lines, for protocols with lines terminated by CR LF.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "base/reason.h"
#include "base/types.h"
#include "runtime/awaitable.h"

namespace cairnhollow::runtime {

/// Maximum length of a received line in bytes. The connection is closed if the peer sends a longer one.
inline constexpr std::size_t kMaximumLineBytes = std::size_t{1} << 20;

/// An ordered stream of lines. At most one read and one write may be in flight at a time. A broken connection
/// stays broken. A close by the peer is noticed even if no read is in flight.
class LineConnection {
 public:
  virtual ~LineConnection() = default;
  /// Returns the next line without its terminator, or std::nullopt if the connection has ended or broken, or
  /// `deadline` has passed. Passing the deadline closes the connection, so that a late line is never taken
  /// for the answer to a later request.
  virtual Awaitable<std::optional<std::string>> read_line(TimePoint deadline, Reason& reason) = 0;
  /// Passes `lines`, including their terminators, to the transport. Success does not mean that the peer
  /// received them.
  virtual Awaitable<bool> write(std::string lines, Reason& reason) = 0;
  /// Ends reads and writes in flight. May be called more than once.
  virtual void close() = 0;
  [[nodiscard]] virtual bool is_open() const = 0;
  [[nodiscard]] virtual std::string peer() const = 0;
};

class LineListener {
 public:
  virtual ~LineListener() = default;
  /// Returns the next connection, or null once the listener is closed.
  virtual Awaitable<std::shared_ptr<LineConnection>> accept(Reason& reason) = 0;
  virtual void close() = 0;
  [[nodiscard]] virtual Endpoint endpoint() const = 0;
};

class LineTransport {
 public:
  virtual ~LineTransport() = default;
  /// Returns null on failure.
  virtual Awaitable<std::shared_ptr<LineConnection>> connect(Endpoint endpoint, TimePoint deadline,
                                                             Reason& reason) = 0;
  /// Returns null on failure.
  virtual std::unique_ptr<LineListener> listen(const Endpoint& endpoint, Reason& reason) = 0;
};

}  // namespace cairnhollow::runtime
