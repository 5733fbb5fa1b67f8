// Streams of text lines, for protocols that speak in lines ended by CR LF.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "base/reason.h"
#include "base/types.h"
#include "runtime/awaitable.h"

namespace cairnhollow::runtime {

/// Longest line that is read, in bytes; a peer that sends a longer one is cut off.
inline constexpr std::size_t kMaximumLineBytes = std::size_t{1} << 20;

/// One ordered stream. At most one read and one write are in flight at a time. A broken connection never
/// heals. Closing by the peer is noticed also while nobody reads.
class LineConnection {
 public:
  virtual ~LineConnection() = default;
  /// The next line without its end. Empty when the connection ended or broke, or when `deadline` passed,
  /// which closes it: a late line can never be taken for the answer to another question.
  virtual Awaitable<std::optional<std::string>> read_line(TimePoint deadline, Reason& reason) = 0;
  /// Hands `lines`, their ends included, to the transport; no proof that the peer received them.
  virtual Awaitable<bool> write(std::string lines, Reason& reason) = 0;
  /// Ends reads and writes in flight. May be called more than once.
  virtual void close() = 0;
  [[nodiscard]] virtual bool is_open() const = 0;
  [[nodiscard]] virtual std::string peer() const = 0;
};

class LineListener {
 public:
  virtual ~LineListener() = default;
  /// The next connection; empty once the listener is closed.
  virtual Awaitable<std::shared_ptr<LineConnection>> accept(Reason& reason) = 0;
  virtual void close() = 0;
  [[nodiscard]] virtual Endpoint endpoint() const = 0;
};

class LineTransport {
 public:
  virtual ~LineTransport() = default;
  /// Null on failure.
  virtual Awaitable<std::shared_ptr<LineConnection>> connect(Endpoint endpoint, TimePoint deadline,
                                                             Reason& reason) = 0;
  /// Null on failure.
  virtual std::unique_ptr<LineListener> listen(const Endpoint& endpoint, Reason& reason) = 0;
};

}  // namespace cairnhollow::runtime
