#include "runtime/asio/byte_stream.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "runtime/asio/tcp.h"

namespace cairnhollow::runtime {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 4096;

}  // namespace

ByteStream::ByteStream(tcp::socket socket)
    : socket_(std::move(socket)), peer_(peer_name(socket_)), deadline_(socket_.get_executor(), [this] {
        close({ReasonCode::kDeadlineExceeded, "exchange", peer_, "the deadline of the connection passed"});
      }) {}

void ByteStream::start(std::function<void()> on_closed) {
  on_closed_ = std::move(on_closed);
  read_ahead();
}

void ByteStream::consume(std::size_t count) {
  buffer_.consume(count);
  read_ahead();
}

void ByteStream::read_beyond(std::size_t unread) {
  read_ahead_limit_ = std::max(kReadAheadBytes, unread + 1);
  read_ahead();
}

void ByteStream::read_ahead() {
  if (reading_ || !is_open() || buffer_.unread().size() >= read_ahead_limit_) return;
  reading_ = true;
  if (!last_read_filled_) buffer_.release(kReadBytes);
  const auto room = buffer_.room(last_read_filled_ ? kReadAheadBytes : kReadBytes);
  socket_.async_read_some(
      room, [self = shared_from_this(), size = room.size()](error_code error, std::size_t count) {
        self->last_read_filled_ = count == size;
        self->on_read(error, count);
      });
}

void ByteStream::on_read(error_code error, std::size_t count) {
  reading_ = false;
  buffer_.commit(count);
  if (error) {
    ended_by_peer_ = is_open() && error == asio::error::eof;
    close({ReasonCode::kConnectionLost, "receive", peer_,
           ended_by_peer_ ? "the peer closed the connection" : error.message()});
    return;
  }
  reader_.notify();
  read_ahead();
}

Awaitable<bool> ByteStream::wait_for_bytes() {
  if (!is_open()) co_return false;
  const auto self = shared_from_this();
  co_await reader_.wait();
  co_return is_open();
}

Awaitable<bool> ByteStream::write(std::string_view bytes, bool& any_sent) {
  const auto self = shared_from_this();
  any_sent = false;
  while (!bytes.empty() && is_open()) {
    error_code error;
    const std::size_t count = co_await socket_.async_write_some(
        asio::buffer(bytes.data(), bytes.size()), asio::redirect_error(asio::use_awaitable, error));
    if (count > 0) any_sent = true;
    bytes.remove_prefix(count);
    if (error) close({ReasonCode::kConnectionLost, "send", peer_, error.message()});
  }
  co_return bytes.empty();
}

Awaitable<void> ByteStream::finish() {
  const auto self = shared_from_this();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  consume(unread().size());
  while (is_open()) {
    const bool more = co_await wait_for_bytes();
    if (more) consume(unread().size());
  }
}

bool ByteStream::reset_on_close() {
  if (!is_open()) return false;
  const error_code error = enable_reset_on_close(socket_);
  if (error) close({ReasonCode::kUnreachable, "reset_on_close", peer_, error.message()});
  return is_open();
}

bool ByteStream::discard_on_close() {
  if (!is_open()) return false;
  const error_code error = enable_discard_on_close(socket_);
  if (error) close({ReasonCode::kUnreachable, "discard_on_close", peer_, error.message()});
  return is_open();
}

void ByteStream::close(Reason why) {
  if (!is_open()) return;
  close_reason_ = std::move(why);
  deadline_.cancel();
  error_code ignored;
  socket_.close(ignored);
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->reader_.notify(); });
  if (const auto on_closed = std::exchange(on_closed_, nullptr)) on_closed();
}

}  // namespace cairnhollow::runtime
