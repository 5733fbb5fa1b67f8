#include "runtime/asio/asio_network.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include "runtime/asio/read_buffer.h"
#include "runtime/asio/tcp.h"
#include "runtime/discards_on_close.h"

namespace cairnhollow::runtime {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Small frames are read in chunks together with the data after them. The buffer for a large frame grows in
/// steps, so that a false length does not allocate the memory that it claims.
constexpr std::size_t kReadChunkBytes = std::size_t{16} * 1024;
constexpr std::size_t kFrameGrowthBytes = std::size_t{1024} * 1024;

std::uint32_t read_length(std::string_view header) {
  return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(header.data()));
}

class AsioFrameConnection : public FrameConnection,
                            public DiscardsOnClose,
                            public std::enable_shared_from_this<AsioFrameConnection> {
 public:
  AsioFrameConnection(tcp::socket socket, Traffic* traffic)
      : socket_(std::move(socket)), peer_(peer_name(socket_)), traffic_(traffic) {}

  Awaitable<bool> send(std::string frame, Reason& reason) override;
  Awaitable<std::optional<std::string>> receive(Reason& reason) override;
  void close() override {
    error_code ignored;
    socket_.close(ignored);
  }
  bool discard_on_close(Reason& reason) override {
    const error_code error = enable_discard_on_close(socket_);
    if (error) reason = lost("discard_on_close", error.message());
    return !error;
  }
  [[nodiscard]] std::string peer() const override { return peer_; }
  [[nodiscard]] std::uint64_t bytes_received() const override { return bytes_received_; }

 private:
  Awaitable<bool> read_more(Reason& reason);
  Awaitable<bool> read_body(std::string& frame, std::size_t length, Reason& reason);
  Reason lost(std::string step, std::string detail) {
    close();
    return Reason{ReasonCode::kConnectionLost, std::move(step), peer_, std::move(detail)};
  }

  tcp::socket socket_;
  std::string peer_;
  Traffic* traffic_;
  ReadBuffer received_;
  std::uint64_t bytes_received_ = 0;
};

Awaitable<bool> AsioFrameConnection::send(std::string frame, Reason& reason) {
  const auto self = shared_from_this();
  if (frame.size() > kMaximumFrameBytes) {
    reason = Reason{ReasonCode::kInvalidArgument, "send_frame", peer_,
                    "frame exceeds the limit of " + std::to_string(kMaximumFrameBytes) + " bytes"};
    co_return false;
  }
  const auto length = boost::endian::native_to_big(static_cast<std::uint32_t>(frame.size()));
  const std::array<asio::const_buffer, 2> buffers{asio::buffer(&length, sizeof length), asio::buffer(frame)};
  error_code error;
  if (traffic_ != nullptr) traffic_->count_sent(frame.size() + sizeof length);
  co_await asio::async_write(socket_, buffers, asio::redirect_error(asio::use_awaitable, error));
  if (error) reason = lost("send_frame", error.message());
  co_return !error;
}

Awaitable<bool> AsioFrameConnection::read_more(Reason& reason) {
  const auto room = received_.room(kReadChunkBytes);
  error_code error;
  const std::size_t count =
      co_await socket_.async_read_some(room, asio::redirect_error(asio::use_awaitable, error));
  received_.commit(count);
  bytes_received_ += count;
  if (error) {
    const bool truncated = error == asio::error::eof && !received_.unread().empty();
    reason = lost("receive_frame", truncated ? "closed in the middle of a frame" : error.message());
  }
  co_return !error;
}

Awaitable<std::optional<std::string>> AsioFrameConnection::receive(Reason& reason) {
  const auto self = shared_from_this();
  while (received_.unread().size() < kFrameHeaderBytes) {
    const bool more = co_await read_more(reason);
    if (!more) co_return std::nullopt;
  }
  const auto length = read_length(received_.unread());
  if (length > kMaximumFrameBytes) {
    reason = lost("receive_frame", "the peer announced a frame of " + std::to_string(length) +
                                       " bytes; the limit is " + std::to_string(kMaximumFrameBytes));
    co_return std::nullopt;
  }
  received_.consume(kFrameHeaderBytes);
  std::string frame;
  const bool whole = co_await read_body(frame, length, reason);
  if (!whole) co_return std::nullopt;
  co_return frame;
}

Awaitable<bool> AsioFrameConnection::read_body(std::string& frame, std::size_t length, Reason& reason) {
  frame = received_.unread().substr(0, length);
  received_.consume(frame.size());
  while (frame.size() < length) {
    const std::size_t had = frame.size();
    frame.resize(std::min(length, had + kFrameGrowthBytes));
    error_code error;
    const auto room = asio::buffer(frame.data() + had, frame.size() - had);
    const std::size_t count =
        co_await socket_.async_read_some(room, asio::redirect_error(asio::use_awaitable, error));
    frame.resize(had + count);
    bytes_received_ += count;
    if (!error) continue;
    const bool truncated = error == asio::error::eof;
    reason = lost("receive_frame", truncated ? "closed in the middle of a frame" : error.message());
    co_return false;
  }
  co_return true;
}

class AsioFrameListener : public FrameListener {
 public:
  AsioFrameListener(tcp::acceptor acceptor, Traffic* traffic)
      : acceptor_(std::move(acceptor)),
        endpoint_(to_endpoint(acceptor_.local_endpoint())),
        traffic_(traffic) {}

  Awaitable<std::shared_ptr<FrameConnection>> accept(Reason& reason) override;
  void close() override {
    error_code ignored;
    acceptor_.close(ignored);
  }
  [[nodiscard]] Endpoint endpoint() const override { return endpoint_; }

 private:
  tcp::acceptor acceptor_;
  Endpoint endpoint_;
  Traffic* traffic_;
};

Awaitable<std::shared_ptr<FrameConnection>> AsioFrameListener::accept(Reason& reason) {
  auto socket = co_await accept_tcp(acceptor_, reason);
  if (!socket) co_return nullptr;
  co_return std::make_shared<AsioFrameConnection>(std::move(*socket), traffic_);
}

}  // namespace

Awaitable<std::shared_ptr<FrameConnection>> AsioNetwork::connect(Endpoint endpoint, TimePoint deadline,
                                                                 Reason& reason) {
  auto socket = co_await connect_tcp(executor_, endpoint, deadline, reason);
  if (!socket) co_return nullptr;
  co_return std::make_shared<AsioFrameConnection>(std::move(*socket), traffic_);
}

std::unique_ptr<FrameListener> AsioNetwork::listen(const Endpoint& endpoint, Reason& reason) {
  auto acceptor = listen_tcp(executor_, endpoint, reason);
  if (!acceptor) return nullptr;
  return std::make_unique<AsioFrameListener>(std::move(*acceptor), traffic_);
}

}  // namespace cairnhollow::runtime
