#include "tests/support/byte_peer.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace cairnhollow::tests {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

Awaitable<BytePeer> BytePeer::connect(Endpoint endpoint) {
  const auto executor = co_await asio::this_coro::executor;
  tcp::socket socket(executor);
  const tcp::endpoint target(asio::ip::make_address(endpoint.address), endpoint.port);
  co_await socket.async_connect(target, asio::use_awaitable);
  socket.set_option(tcp::no_delay(true));
  co_return BytePeer(std::move(socket));
}

Awaitable<void> BytePeer::send(std::string_view bytes) {
  co_await asio::async_write(socket_, asio::buffer(bytes.data(), bytes.size()), asio::use_awaitable);
}

Awaitable<void> BytePeer::try_send(std::string_view bytes) {
  error_code ignored;
  co_await asio::async_write(socket_, asio::buffer(bytes.data(), bytes.size()),
                             asio::redirect_error(asio::use_awaitable, ignored));
}

Awaitable<bool> BytePeer::receive_more() {
  std::array<char, 4096> chunk{};
  const std::size_t count =
      co_await socket_.async_read_some(asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, end_));
  unread_.append(chunk.data(), count);
  co_return !end_;
}

Awaitable<std::string> BytePeer::receive_until(std::string_view marker) {
  bool more = true;
  while (more && unread_.find(marker) == std::string::npos) more = co_await receive_more();
  const auto found = unread_.find(marker);
  const std::size_t end = found == std::string::npos ? unread_.size() : found + marker.size();
  std::string received = unread_.substr(0, end);
  unread_.erase(0, end);
  co_return received;
}

Awaitable<std::string> BytePeer::receive_all() {
  bool more = true;
  while (more) more = co_await receive_more();
  co_return std::exchange(unread_, "");
}

Awaitable<error_code> BytePeer::wait_for_end() {
  bool more = true;
  while (more) more = co_await receive_more();
  unread_.clear();
  co_return end_;
}

void BytePeer::shut_down_sending() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void BytePeer::close() {
  error_code ignored;
  socket_.close(ignored);
}

ByteListener::ByteListener(const asio::any_io_executor& executor)
    : acceptor_(executor, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}

Awaitable<BytePeer> ByteListener::accept() {
  tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
  socket.set_option(tcp::no_delay(true));
  co_return BytePeer(std::move(socket));
}

Endpoint ByteListener::endpoint() const { return Endpoint{"127.0.0.1", acceptor_.local_endpoint().port()}; }

}  // namespace cairnhollow::tests
