// Accepts the frame connections of one node and dispatches each by the Conversation in its Hello.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "runtime/runtime.h"
#include "wire/hello.h"

namespace cairnhollow::wire {

/// `runtime` must outlive this object, which must live until the process ends.
class ConnectionDispatcher {
 public:
  /// Serves one connection until it ends. `hello` is the Hello already received on it.
  using Service =
      std::function<Awaitable<void>(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello)>;

  explicit ConnectionDispatcher(runtime::Runtime& runtime) : runtime_(runtime) {}

  /// Registers the service for a conversation. Call before start().
  void route(wire::Conversation conversation, Service service);
  /// Returns false if the endpoint cannot be bound.
  bool start(const Endpoint& endpoint, Reason& reason);
  /// Stops accepting connections. Connections already being served continue.
  void stop();

 private:
  Awaitable<void> accept_connections();
  Awaitable<void> perform_handshake(std::shared_ptr<runtime::FrameConnection> connection);
  Awaitable<void> close_on_hello_timeout(std::shared_ptr<runtime::FrameConnection> connection,
                                         std::shared_ptr<bool> hello_received);
  /// Negotiates the protocol version. Answers a Hello that offers a range of versions, or one that is
  /// refused. Returns std::nullopt if the Hello is refused.
  Awaitable<std::optional<wire::Hello>> negotiate(std::shared_ptr<runtime::FrameConnection> connection,
                                                  std::string frame, Reason& reason);
  Awaitable<void> dispatch(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello);

  runtime::Runtime& runtime_;
  std::map<wire::Conversation, Service> services_;
  std::unique_ptr<runtime::FrameListener> listener_;
};

}  // namespace cairnhollow::wire
