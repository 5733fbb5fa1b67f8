// A TCP peer that speaks plain bytes, right or wrong ones.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <string>
#include <string_view>

#include "base/types.h"
#include "runtime/awaitable.h"

namespace cairnhollow::tests {

class BytePeer {
 public:
  explicit BytePeer(boost::asio::ip::tcp::socket socket) : socket_(std::move(socket)) {}

  /// Throws boost::system::system_error.
  static Awaitable<BytePeer> connect(Endpoint endpoint);

  /// Throws boost::system::system_error when the other end has closed. `bytes` outlives the call.
  Awaitable<void> send(std::string_view bytes);
  /// As send(); the other end may have closed meanwhile.
  Awaitable<void> try_send(std::string_view bytes);
  /// Everything from here to the first `marker`, it included; what came when the other end closed before.
  Awaitable<std::string> receive_until(std::string_view marker);
  /// Everything until the other end closes or resets the connection.
  Awaitable<std::string> receive_all();
  /// Discards everything until the other end closes or resets the connection; the error by which that shows:
  /// end of file or a reset.
  Awaitable<boost::system::error_code> wait_for_end();
  /// Ends this side's stream; the other side's still comes.
  void shut_down_sending();
  void close();

 private:
  /// False at the end of the stream.
  Awaitable<bool> receive_more();

  boost::asio::ip::tcp::socket socket_;
  std::string unread_;
  boost::system::error_code end_;
};

/// Accepts connections on an ephemeral port of 127.0.0.1.
class ByteListener {
 public:
  explicit ByteListener(const boost::asio::any_io_executor& executor);
  Awaitable<BytePeer> accept();
  [[nodiscard]] Endpoint endpoint() const;
  void close() { acceptor_.close(); }

 private:
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace cairnhollow::tests
