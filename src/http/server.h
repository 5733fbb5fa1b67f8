// The server's end of HTTP.
#pragma once

#include <map>
#include <memory>

#include "http/server_connection.h"
#include "runtime/runtime.h"

namespace cairnhollow::http {

/// What the connections of one server share. Lives as long as the last of them.
class ServerCore : public ConnectionOwner, public std::enable_shared_from_this<ServerCore> {
 public:
  ServerCore(runtime::Runtime& runtime, runtime::HttpHandler& handler, HttpTransportSettings settings)
      : runtime_(runtime), handler_(handler), settings_(settings) {}

  /// Accepts until stop_accepting().
  /// Holds the core from the start: a coroutine that was spawned may first run after its server has gone.
  static Awaitable<void> accept_connections(std::shared_ptr<ServerCore> core,
                                            std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor);
  void stop_accepting() { stopping_ = true; }
  void close_connections();

  [[nodiscard]] bool stopping() const override { return stopping_; }
  Awaitable<runtime::HttpResponse> answer(runtime::HttpRequest request,
                                          runtime::HttpConnectionId id) override;
  void connection_ended(runtime::HttpConnectionId id) override;

 private:
  void start_connection(boost::asio::ip::tcp::socket socket);

  runtime::Runtime& runtime_;
  runtime::HttpHandler& handler_;
  HttpTransportSettings settings_;
  std::map<runtime::HttpConnectionId, std::shared_ptr<ServerConnection>> connections_;
  runtime::HttpConnectionId last_id_ = 0;
  bool stopping_ = false;
};

/// An HttpServer; closing it closes its connections.
class Server : public runtime::HttpServer {
 public:
  Server(runtime::Runtime& runtime, boost::asio::ip::tcp::acceptor acceptor, runtime::HttpHandler& handler,
         HttpTransportSettings settings);
  ~Server() override;

  void stop_accepting() override;
  void close() override;
  [[nodiscard]] Endpoint endpoint() const override { return endpoint_; }

 private:
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::shared_ptr<ServerCore> core_;
  Endpoint endpoint_;
};

}  // namespace cairnhollow::http
