#include "wire/connection_dispatcher.h"

namespace cairnhollow::wire {

namespace {

/// A connection without a first frame within this time is closed.
constexpr Duration kHelloTimeout = std::chrono::seconds(2);

}  // namespace

void ConnectionDispatcher::route(wire::Conversation conversation, Service service) {
  services_[conversation] = std::move(service);
}

bool ConnectionDispatcher::start(const Endpoint& endpoint, Reason& reason) {
  listener_ = runtime_.network().listen(endpoint, reason);
  if (!listener_) return false;
  runtime_.spawn("control_accept", accept_connections());
  return true;
}

void ConnectionDispatcher::stop() {
  if (listener_) listener_->close();
}

Awaitable<void> ConnectionDispatcher::accept_connections() {
  while (true) {
    Reason reason;
    auto connection = co_await listener_->accept(reason);
    if (!connection) co_return;
    runtime_.spawn("control_greet", perform_handshake(std::move(connection)));
  }
}

Awaitable<void> ConnectionDispatcher::close_on_hello_timeout(
    std::shared_ptr<runtime::FrameConnection> connection, std::shared_ptr<bool> hello_received) {
  co_await runtime_.sleep_for(kHelloTimeout);
  if (!*hello_received) connection->close();
}

Awaitable<void> ConnectionDispatcher::perform_handshake(
    std::shared_ptr<runtime::FrameConnection> connection) {
  const auto hello_received = std::make_shared<bool>(false);
  runtime_.spawn("control_hello_timeout", close_on_hello_timeout(connection, hello_received));
  Reason reason;
  const TimePoint begun = runtime_.now();
  const auto frame = co_await connection->receive(reason);
  *hello_received = true;
  if (!frame && runtime_.now() - begun >= kHelloTimeout) {
    reason = Reason{ReasonCode::kDeadlineExceeded, "hello", connection->peer(),
                    "no complete first frame within the timeout; closing the connection"};
  }
  std::optional<wire::Hello> hello;
  if (frame) hello = co_await negotiate(connection, *frame, reason);
  if (hello) {
    wire::Hello accepted = std::move(*hello);
    co_await dispatch(connection, std::move(accepted));
  } else {
    if (reason.peer.empty()) reason.peer = connection->peer();
    runtime_.logger().log(runtime::LogLevel::kWarning, "connection_refused", reason, {});
  }
  connection->close();
}

Awaitable<std::optional<wire::Hello>> ConnectionDispatcher::negotiate(
    std::shared_ptr<runtime::FrameConnection> connection, std::string frame, Reason& reason) {
  auto hello = wire::decode<wire::Hello>(frame, reason);
  if (!hello) co_return std::nullopt;
  const wire::HelloAnswer answer = wire::answer_hello(hello->versions(), connection->peer());
  const bool refused = answer.version == 0;
  if (refused) reason = answer.refusal;
  if (refused || wire::marked_format(frame)) {
    Reason send_reason;
    co_await connection->send(wire::encode_hello_answer(answer), send_reason);
  }
  if (refused) hello.reset();
  co_return hello;
}

Awaitable<void> ConnectionDispatcher::dispatch(std::shared_ptr<runtime::FrameConnection> connection,
                                               wire::Hello hello) {
  const auto service = services_.find(hello.conversation);
  if (service == services_.end()) {
    const Reason reason{ReasonCode::kUnsupported, "hello", connection->peer(),
                        "this node does not serve the requested conversation"};
    runtime_.logger().log(runtime::LogLevel::kWarning, "connection_refused", reason, {});
    co_return;
  }
  co_await service->second(std::move(connection), std::move(hello));
}

}  // namespace cairnhollow::wire
