// Accepts the frame connections of one node and hands each to the part that its Hello asks for.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "runtime/runtime.h"
#include "wire/hello.h"

namespace cairnhollow::wire {

/// `runtime` outlives it; it lives until the process ends.
class ConnectionDispatcher {
 public:
  /// Serves one connection until it ends; `hello` was received already.
  using Service =
      std::function<Awaitable<void>(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello)>;

  explicit ConnectionDispatcher(runtime::Runtime& runtime) : runtime_(runtime) {}

  /// Set before start().
  void route(wire::Conversation conversation, Service service);
  /// False when the endpoint can't be bound.
  bool start(const Endpoint& endpoint, Reason& reason);
  /// Accepts no more; connections being served go on.
  void stop();

 private:
  Awaitable<void> accept_connections();
  Awaitable<void> greet(std::shared_ptr<runtime::FrameConnection> connection);
  Awaitable<void> close_unless_greeted(std::shared_ptr<runtime::FrameConnection> connection,
                                       std::shared_ptr<bool> greeted);
  /// Answers a Hello that says a range of versions, and one that is refused. Empty when it is refused.
  Awaitable<std::optional<wire::Hello>> agree(std::shared_ptr<runtime::FrameConnection> connection,
                                              std::string frame, Reason& reason);
  Awaitable<void> pass_on(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello);

  runtime::Runtime& runtime_;
  std::map<wire::Conversation, Service> services_;
  std::unique_ptr<runtime::FrameListener> listener_;
};

}  // namespace cairnhollow::wire
