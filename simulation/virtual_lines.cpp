#include "simulation/virtual_lines.h"

#include <string_view>
#include <utility>

#include "runtime/discards_on_close.h"
#include "simulation/virtual_stream_listener.h"

namespace cairnhollow::simulation {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

/// What is written in one step travels as one message of the stream.
class VirtualLineConnection : public runtime::LineConnection, public runtime::DiscardsOnClose {
 public:
  explicit VirtualLineConnection(std::shared_ptr<StreamEnd> stream) : stream_(std::move(stream)) {}
  ~VirtualLineConnection() override { stream_->close(); }

  Awaitable<std::optional<std::string>> read_line(TimePoint deadline, Reason& reason) override;
  Awaitable<bool> write(std::string lines, Reason& reason) override;
  void close() override { stream_->close(); }
  bool discard_on_close(Reason& reason) override {
    if (stream_->is_open()) {
      stream_->discard_on_close();
      return true;
    }
    reason = Reason{ReasonCode::kConnectionLost, "discard_on_close", stream_->peer_name(),
                    "the connection is closed"};
    return false;
  }
  [[nodiscard]] bool is_open() const override { return stream_->is_open(); }
  [[nodiscard]] std::string peer() const override { return stream_->peer_name(); }

 private:
  std::optional<std::string> take_line();

  std::shared_ptr<StreamEnd> stream_;
  std::string unread_;
};

std::optional<std::string> VirtualLineConnection::take_line() {
  const std::size_t end = unread_.find(kLineEnd);
  if (end == std::string::npos) return std::nullopt;
  std::string line = unread_.substr(0, end);
  unread_.erase(0, end + kLineEnd.size());
  return line;
}

Awaitable<std::optional<std::string>> VirtualLineConnection::read_line(TimePoint deadline, Reason& reason) {
  const auto stream = stream_;
  const TimePoint world_deadline = stream->process().to_world(deadline);
  while (true) {
    std::optional<std::string> line = take_line();
    if (line) co_return line;
    if (unread_.size() > runtime::kMaximumLineBytes + kLineEnd.size()) {
      reason = Reason{ReasonCode::kInvalidArgument, "read_line", stream->peer_name(), "the line is too long"};
      stream->close();
      co_return std::nullopt;
    }
    bool timed_out = false;
    std::optional<StreamMessage> message = co_await stream->receive_until(world_deadline, timed_out);
    if (!message) {
      const ReasonCode code = timed_out ? ReasonCode::kDeadlineExceeded : ReasonCode::kConnectionLost;
      reason = Reason{code, "read_line", stream->peer_name(), "no whole line came"};
      stream->close();
      co_return std::nullopt;
    }
    if (const auto* text = std::get_if<std::string>(&*message)) unread_ += *text;
  }
}

Awaitable<bool> VirtualLineConnection::write(std::string lines, Reason& reason) {
  if (stream_->send(std::move(lines))) co_return true;
  reason =
      Reason{ReasonCode::kConnectionLost, "write_lines", stream_->peer_name(), "the connection is closed"};
  co_return false;
}

class VirtualLineListener : public runtime::LineListener {
 public:
  explicit VirtualLineListener(std::unique_ptr<VirtualStreamListener> streams)
      : streams_(std::move(streams)) {}

  Awaitable<std::shared_ptr<runtime::LineConnection>> accept(Reason& reason) override {
    auto stream = co_await streams_->accept(reason);
    if (!stream) co_return nullptr;
    co_return std::make_shared<VirtualLineConnection>(std::move(stream));
  }
  void close() override { streams_->close(); }
  [[nodiscard]] Endpoint endpoint() const override { return streams_->endpoint(); }

 private:
  std::unique_ptr<VirtualStreamListener> streams_;
};

}  // namespace

Awaitable<std::shared_ptr<runtime::LineConnection>> VirtualLineTransport::connect(Endpoint endpoint,
                                                                                  TimePoint deadline,
                                                                                  Reason& reason) {
  auto stream = co_await network_.connect(process_, std::move(endpoint), process_.to_world(deadline), reason);
  if (!stream) co_return nullptr;
  co_return std::make_shared<VirtualLineConnection>(std::move(stream));
}

std::unique_ptr<runtime::LineListener> VirtualLineTransport::listen(const Endpoint& endpoint,
                                                                    Reason& reason) {
  auto streams = VirtualStreamListener::listen(network_, process_, endpoint, reason);
  if (!streams) return nullptr;
  return std::make_unique<VirtualLineListener>(std::move(streams));
}

}  // namespace cairnhollow::simulation
