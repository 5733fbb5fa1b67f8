#include "http/http_transport.h"

#include "http/client_connection.h"
#include "http/server.h"
#include "runtime/asio/tcp.h"

namespace cairnhollow::http {
namespace {

class BeastTransport : public runtime::HttpTransport {
 public:
  BeastTransport(boost::asio::any_io_executor executor, runtime::Runtime& runtime,
                 HttpTransportSettings settings)
      : executor_(std::move(executor)), runtime_(runtime), settings_(settings) {}

  Awaitable<std::shared_ptr<runtime::HttpConnection>> connect(Endpoint endpoint, TimePoint deadline,
                                                              Reason& reason) override;
  std::unique_ptr<runtime::HttpServer> serve(const Endpoint& endpoint, runtime::HttpHandler& handler,
                                             Reason& reason) override;

 private:
  boost::asio::any_io_executor executor_;
  runtime::Runtime& runtime_;
  HttpTransportSettings settings_;
};

Awaitable<std::shared_ptr<runtime::HttpConnection>> BeastTransport::connect(Endpoint endpoint,
                                                                            TimePoint deadline,
                                                                            Reason& reason) {
  auto socket = co_await runtime::connect_tcp(executor_, endpoint, deadline, reason);
  if (!socket) co_return nullptr;
  co_return std::make_shared<ClientConnection>(std::move(*socket), settings_.limits);
}

std::unique_ptr<runtime::HttpServer> BeastTransport::serve(const Endpoint& endpoint,
                                                           runtime::HttpHandler& handler, Reason& reason) {
  auto acceptor = runtime::listen_tcp(executor_, endpoint, reason);
  if (!acceptor) return nullptr;
  return std::make_unique<Server>(runtime_, std::move(*acceptor), handler, settings_);
}

}  // namespace

std::unique_ptr<runtime::HttpTransport> make_http_transport(boost::asio::any_io_executor executor,
                                                            runtime::Runtime& runtime,
                                                            HttpTransportSettings settings) {
  return std::make_unique<BeastTransport>(std::move(executor), runtime, settings);
}

}  // namespace cairnhollow::http
