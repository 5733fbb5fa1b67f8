#include "http/server.h"

#include "http/problem.h"
#include "runtime/asio/tcp.h"

namespace cairnhollow::http {

using boost::asio::ip::tcp;
using runtime::HttpConnectionId;
using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

constexpr unsigned kInternalServerError = 500;

}  // namespace

Awaitable<void> ServerCore::accept_connections(std::shared_ptr<ServerCore> core,
                                               std::shared_ptr<tcp::acceptor> acceptor) {
  while (!core->stopping_) {
    Reason reason;
    auto socket = co_await runtime::accept_tcp(*acceptor, reason);
    if (!socket) break;
    if (!core->stopping_) core->start_connection(std::move(*socket));
  }
}

void ServerCore::start_connection(tcp::socket socket) {
  const HttpConnectionId id = ++last_id_;
  auto connection = std::make_shared<ServerConnection>(std::move(socket), shared_from_this(), id, settings_);
  connections_.emplace(id, connection);
  runtime_.spawn("http_connection", connection->run());
}

void ServerCore::close_connections() {
  while (!connections_.empty()) {
    // Closing takes it out of the map, by connection_ended().
    const auto connection = connections_.begin()->second;
    connection->close();
  }
}

Awaitable<HttpResponse> ServerCore::answer(HttpRequest request, HttpConnectionId id) {
  const auto self = shared_from_this();
  Problem problem;
  try {
    HttpResponse response = co_await handler_.handle(std::move(request), id);
    co_return response;
  } catch (const std::exception& error) {
    problem.reason = Reason{ReasonCode::kInternal, "handle_request", "", error.what()};
  } catch (...) {
    problem.reason = Reason{ReasonCode::kInternal, "handle_request", "", "an unknown exception"};
  }
  // The handler may have done some of its work.
  problem.run_state = RunState::kUnknown;
  runtime_.logger().log(runtime::LogLevel::kError, "http_handler_failed", problem.reason, {});
  co_return make_problem_response(kInternalServerError, problem);
}

void ServerCore::connection_ended(HttpConnectionId id) {
  if (connections_.erase(id) > 0) handler_.connection_closed(id);
}

Server::Server(runtime::Runtime& runtime, tcp::acceptor acceptor, runtime::HttpHandler& handler,
               HttpTransportSettings settings)
    : acceptor_(std::make_shared<tcp::acceptor>(std::move(acceptor))),
      core_(std::make_shared<ServerCore>(runtime, handler, settings)),
      endpoint_(runtime::to_endpoint(acceptor_->local_endpoint())) {
  runtime.spawn("http_accept", ServerCore::accept_connections(core_, acceptor_));
}

Server::~Server() { close(); }

void Server::stop_accepting() {
  core_->stop_accepting();
  boost::system::error_code ignored;
  acceptor_->close(ignored);
}

void Server::close() {
  stop_accepting();
  core_->close_connections();
}

}  // namespace cairnhollow::http
