#include "runtime/asio/asio_lines.h"

#include <string_view>

#include "runtime/asio/byte_stream.h"
#include "runtime/asio/tcp.h"
#include "runtime/discards_on_close.h"

namespace cairnhollow::runtime {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::string_view kLineEnd = "\r\n";

class AsioLineConnection : public LineConnection, public DiscardsOnClose {
 public:
  AsioLineConnection(tcp::socket socket, Traffic* traffic)
      : stream_(std::make_shared<ByteStream>(std::move(socket))), traffic_(traffic) {
    stream_->start([] {});
  }
  ~AsioLineConnection() override { AsioLineConnection::close(); }

  Awaitable<std::optional<std::string>> read_line(TimePoint deadline, Reason& reason) override;
  Awaitable<bool> write(std::string lines, Reason& reason) override;
  void close() override {
    stream_->close(Reason{ReasonCode::kCancelled, "close", stream_->peer(), "connection closed locally"});
  }
  bool discard_on_close(Reason& reason) override {
    if (stream_->discard_on_close()) return true;
    reason = stream_->close_reason();
    return false;
  }
  [[nodiscard]] bool is_open() const override { return stream_->is_open(); }
  [[nodiscard]] std::string peer() const override { return stream_->peer(); }

 private:
  /// Removes and returns the first complete line, or std::nullopt if there is none.
  std::optional<std::string> take_line();

  std::shared_ptr<ByteStream> stream_;
  Traffic* traffic_;
  std::size_t searched_ = 0;  ///< number of unread bytes known to contain no line end
};

std::optional<std::string> AsioLineConnection::take_line() {
  const std::string_view unread = stream_->unread();
  const std::size_t end = unread.find(kLineEnd, searched_);
  if (end == std::string_view::npos) {
    searched_ = unread.empty() ? 0 : unread.size() - 1;
    return std::nullopt;
  }
  std::string line(unread.substr(0, end));
  stream_->consume(end + kLineEnd.size());
  searched_ = 0;
  return line;
}

Awaitable<std::optional<std::string>> AsioLineConnection::read_line(TimePoint deadline, Reason& reason) {
  const auto stream = stream_;
  std::optional<std::string> line = take_line();
  if (!line && deadline != TimePoint::max()) stream->set_deadline(deadline);
  while (!line && stream->is_open() && stream->unread().size() <= kMaximumLineBytes + kLineEnd.size()) {
    stream->read_beyond(stream->unread().size());
    const bool more = co_await stream->wait_for_bytes();
    if (more) line = take_line();
  }
  stream->read_beyond(0);
  stream->clear_deadline();
  const bool too_long = line ? line->size() > kMaximumLineBytes : stream->is_open();
  if (too_long) {
    line.reset();
    stream->close(Reason{ReasonCode::kInvalidArgument, "read_line", stream->peer(),
                         "received line exceeds " + std::to_string(kMaximumLineBytes) + " bytes"});
  }
  if (!line) reason = stream->close_reason();
  co_return line;
}

Awaitable<bool> AsioLineConnection::write(std::string lines, Reason& reason) {
  const auto stream = stream_;
  bool any_sent = false;
  if (traffic_ != nullptr) traffic_->count_sent(lines.size());
  const bool sent = co_await stream->write(lines, any_sent);
  if (!sent) reason = stream->close_reason();
  co_return sent;
}

class AsioLineListener : public LineListener {
 public:
  AsioLineListener(tcp::acceptor acceptor, Traffic* traffic)
      : acceptor_(std::move(acceptor)),
        endpoint_(to_endpoint(acceptor_.local_endpoint())),
        traffic_(traffic) {}

  Awaitable<std::shared_ptr<LineConnection>> accept(Reason& reason) override {
    auto socket = co_await accept_tcp(acceptor_, reason);
    if (!socket) co_return nullptr;
    co_return std::make_shared<AsioLineConnection>(std::move(*socket), traffic_);
  }
  void close() override {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }
  [[nodiscard]] Endpoint endpoint() const override { return endpoint_; }

 private:
  tcp::acceptor acceptor_;
  Endpoint endpoint_;
  Traffic* traffic_;
};

}  // namespace

Awaitable<std::shared_ptr<LineConnection>> AsioLineTransport::connect(Endpoint endpoint, TimePoint deadline,
                                                                      Reason& reason) {
  auto socket = co_await connect_tcp(executor_, std::move(endpoint), deadline, reason);
  if (!socket) co_return nullptr;
  co_return std::make_shared<AsioLineConnection>(std::move(*socket), traffic_);
}

std::unique_ptr<LineListener> AsioLineTransport::listen(const Endpoint& endpoint, Reason& reason) {
  auto acceptor = listen_tcp(executor_, endpoint, reason);
  if (!acceptor) return nullptr;
  return std::make_unique<AsioLineListener>(std::move(*acceptor), traffic_);
}

}  // namespace cairnhollow::runtime
