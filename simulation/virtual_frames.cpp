#include "simulation/virtual_frames.h"

#include "simulation/virtual_runtime.h"

namespace cairnhollow::simulation {

Awaitable<bool> VirtualFrameConnection::send(std::string frame, Reason& reason) {
  if (stream_->send(std::move(frame))) co_return true;
  reason =
      Reason{ReasonCode::kConnectionLost, "send_frame", stream_->peer_name(), "the connection is closed"};
  co_return false;
}

Awaitable<std::optional<std::string>> VirtualFrameConnection::receive(Reason& reason) {
  const auto stream = stream_;
  std::optional<StreamMessage> message = co_await stream->receive();
  if (message && std::holds_alternative<std::string>(*message)) {
    co_return std::get<std::string>(std::move(*message));
  }
  reason = Reason{ReasonCode::kConnectionLost, "receive_frame", stream->peer_name(), "the connection ended"};
  co_return std::nullopt;
}

bool VirtualFrameConnection::discard_on_close(Reason& reason) {
  if (stream_->is_open()) {
    stream_->discard_on_close();
    return true;
  }
  reason = Reason{ReasonCode::kConnectionLost, "discard_on_close", stream_->peer_name(),
                  "the connection is closed"};
  return false;
}

Awaitable<std::shared_ptr<runtime::FrameConnection>> VirtualFrameListener::accept(Reason& reason) {
  auto stream = co_await streams_->accept(reason);
  if (!stream) co_return nullptr;
  co_return std::make_shared<VirtualFrameConnection>(std::move(stream));
}

Awaitable<std::shared_ptr<runtime::FrameConnection>> VirtualFrameNetwork::connect(Endpoint endpoint,
                                                                                  TimePoint deadline,
                                                                                  Reason& reason) {
  auto stream = co_await network_.connect(process_, std::move(endpoint), process_.to_world(deadline), reason);
  if (!stream) co_return nullptr;
  co_return std::make_shared<VirtualFrameConnection>(std::move(stream));
}

std::unique_ptr<runtime::FrameListener> VirtualFrameNetwork::listen(const Endpoint& endpoint,
                                                                    Reason& reason) {
  auto streams = VirtualStreamListener::listen(network_, process_, endpoint, reason);
  if (!streams) return nullptr;
  return std::make_unique<VirtualFrameListener>(std::move(streams));
}

}  // namespace cairnhollow::simulation
