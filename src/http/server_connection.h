// One client's connection to an HTTP server.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

#include "http/http_transport.h"
#include "http/message_parser.h"
#include "runtime/asio/byte_stream.h"
#include "runtime/http.h"

namespace cairnhollow::http {

/// What a connection needs of its server.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  /// True when each answer shall be the last of its connection.
  [[nodiscard]] virtual bool stopping() const = 0;
  /// Never throws; a handler that fails is answered for.
  virtual Awaitable<runtime::HttpResponse> answer(runtime::HttpRequest request,
                                                  runtime::HttpConnectionId id) = 0;
  /// Called once, when the connection has ended.
  virtual void connection_ended(runtime::HttpConnectionId id) = 0;
};

/// Requests are answered one after another; a client may send the next before it has its answer. A request
/// that cannot be read is answered with a problem document and ends the connection.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ConnectionOwner> owner,
                   runtime::HttpConnectionId id, const HttpTransportSettings& settings);

  /// Serves the connection until it ends.
  Awaitable<void> run();
  void close();

 private:
  /// Empty when the connection has ended or the request is not readable.
  Awaitable<std::optional<runtime::HttpRequest>> receive_request();
  Awaitable<void> continue_if_expected(bool& continued);
  Awaitable<bool> send(runtime::HttpResponse response, bool keep_alive);
  /// Answers a request that cannot be read, when it is that, and ends the connection.
  Awaitable<void> refuse_unreadable();

  std::shared_ptr<runtime::ByteStream> stream_;
  std::shared_ptr<ConnectionOwner> owner_;
  runtime::HttpConnectionId id_;
  HttpTransportSettings settings_;
  std::unique_ptr<RequestParser> parser_;
  std::string out_;  ///< reused from response to response
};

}  // namespace cairnhollow::http
