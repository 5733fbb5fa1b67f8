// Streams of whole frames between the system's own processes (length-prefixed over TCP in production).
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/reason.h"
#include "base/types.h"
#include "runtime/awaitable.h"

namespace cairnhollow::runtime {

/// An ordered, reliable stream of frames. At most one send and one receive may be in flight at a time. Frames
/// arrive complete and in order or the connection breaks; a broken connection stays broken.
class FrameConnection {
 public:
  virtual ~FrameConnection() = default;
  /// Returns true once the frame was passed to the transport, which does not mean that the peer received it.
  virtual Awaitable<bool> send(std::string frame, Reason& reason) = 0;
  /// Returns the next frame, or std::nullopt if the connection was closed or broke.
  virtual Awaitable<std::optional<std::string>> receive(Reason& reason) = 0;
  /// Ends sends and receives in flight with kConnectionLost. May be called more than once.
  virtual void close() = 0;
  [[nodiscard]] virtual std::string peer() const = 0;
  /// Returns the number of bytes received so far, including those of an incomplete frame, so that the
  /// progress of a large frame can be observed. Zero if unknown.
  [[nodiscard]] virtual std::uint64_t bytes_received() const { return 0; }
};

class FrameListener {
 public:
  virtual ~FrameListener() = default;
  /// Returns the next connection, or null once the listener is closed.
  virtual Awaitable<std::shared_ptr<FrameConnection>> accept(Reason& reason) = 0;
  virtual void close() = 0;
  /// The bound endpoint, with the actual port if port 0 was requested.
  [[nodiscard]] virtual Endpoint endpoint() const = 0;
};

class Network {
 public:
  virtual ~Network() = default;
  /// Returns null on failure.
  virtual Awaitable<std::shared_ptr<FrameConnection>> connect(Endpoint endpoint, TimePoint deadline,
                                                              Reason& reason) = 0;
  /// Returns null on failure.
  virtual std::unique_ptr<FrameListener> listen(const Endpoint& endpoint, Reason& reason) = 0;
};

}  // namespace cairnhollow::runtime
