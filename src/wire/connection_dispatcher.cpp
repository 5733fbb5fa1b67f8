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
    runtime_.spawn("control_greet", greet(std::move(connection)));
  }
}

Awaitable<void> ConnectionDispatcher::close_unless_greeted(
    std::shared_ptr<runtime::FrameConnection> connection, std::shared_ptr<bool> greeted) {
  co_await runtime_.sleep_for(kHelloTimeout);
  if (!*greeted) connection->close();
}

Awaitable<void> ConnectionDispatcher::greet(std::shared_ptr<runtime::FrameConnection> connection) {
  const auto greeted = std::make_shared<bool>(false);
  runtime_.spawn("control_hello_timeout", close_unless_greeted(connection, greeted));
  Reason reason;
  const TimePoint begun = runtime_.now();
  const auto frame = co_await connection->receive(reason);
  *greeted = true;
  if (!frame && runtime_.now() - begun >= kHelloTimeout) {
    reason = Reason{ReasonCode::kDeadlineExceeded, "hello", connection->peer(),
                    "no complete first frame within the timeout; closing the connection"};
  }
  std::optional<wire::Hello> hello;
  if (frame) hello = co_await agree(connection, *frame, reason);
  if (hello) {
    wire::Hello accepted = std::move(*hello);
    co_await pass_on(connection, std::move(accepted));
  } else {
    if (reason.peer.empty()) reason.peer = connection->peer();
    runtime_.logger().log(runtime::LogLevel::kWarning, "connection_refused", reason, {});
  }
  connection->close();
}

Awaitable<std::optional<wire::Hello>> ConnectionDispatcher::agree(
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

Awaitable<void> ConnectionDispatcher::pass_on(std::shared_ptr<runtime::FrameConnection> connection,
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
