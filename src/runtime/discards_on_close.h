// Connections whose end on this side can discard what the peer has not received.
#pragma once

#include "base/reason.h"

namespace cairnhollow::runtime {

/// Implemented by the line and frame connections of a transport, beside the interface of the stream.
class DiscardsOnClose {
 public:
  virtual ~DiscardsOnClose() = default;
  /// From now on, however the connection ends on this side (close(), destruction, a passed deadline, the end
  /// of the process, kResetUnacknowledgedAfter without acknowledgement), what the peer's machine has not
  /// received is discarded instead of delivered later, and the connection is reset. Returns false and closes
  /// the connection if that cannot be arranged or the connection is closed already.
  virtual bool discard_on_close(Reason& reason) = 0;
};

/// Calls DiscardsOnClose::discard_on_close() of `connection`. Fails if the transport does not implement it.
template <class Connection>
bool discard_on_close(Connection& connection, Reason& reason) {
  if (auto* discards = dynamic_cast<DiscardsOnClose*>(&connection)) return discards->discard_on_close(reason);
  reason = Reason{ReasonCode::kInternal, "discard_on_close", connection.peer(),
                  "the transport always delivers what was sent"};
  connection.close();
  return false;
}

}  // namespace cairnhollow::runtime
