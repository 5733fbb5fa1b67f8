#include "simulation/virtual_http.h"

#include "simulation/virtual_disk.h"

namespace cairnhollow::simulation {

namespace {

class VirtualHttpConnection : public runtime::HttpConnection {
 public:
  explicit VirtualHttpConnection(std::shared_ptr<StreamEnd> stream, std::string peer)
      : stream_(std::move(stream)), peer_(std::move(peer)) {}
  ~VirtualHttpConnection() override { stream_->close(); }

  Awaitable<std::optional<runtime::HttpResponse>> exchange(runtime::HttpRequest request, TimePoint deadline,
                                                           runtime::SendState& sent,
                                                           Reason& reason) override {
    const auto stream = stream_;  // the connection may be destroyed during the exchange
    const std::string peer = peer_;
    sent = runtime::SendState::kNotSent;
    if (!stream->send(std::move(request))) {
      reason = Reason{ReasonCode::kConnectionLost, "exchange", peer, "the connection is closed"};
      co_return std::nullopt;
    }
    sent = runtime::SendState::kMaybeSent;
    bool timed_out = false;
    const TimePoint world_deadline = stream->process().to_world(deadline);
    std::optional<StreamMessage> message = co_await stream->receive_until(world_deadline, timed_out);
    if (message && std::holds_alternative<runtime::HttpResponse>(*message)) {
      runtime::HttpResponse response = std::get<runtime::HttpResponse>(std::move(*message));
      if (response.close_connection) stream->close();
      co_return response;
    }
    stream->close();
    reason = timed_out ? Reason{ReasonCode::kDeadlineExceeded, "exchange", peer, "no answer in time"}
                       : Reason{ReasonCode::kConnectionLost, "exchange", peer, "the connection ended"};
    co_return std::nullopt;
  }

  [[nodiscard]] bool is_open() const override { return stream_->is_open(); }
  void close() override { stream_->close(); }
  bool reset_on_close(Reason& reason) override {
    if (stream_->is_open()) {
      stream_->reset_on_close();
      return true;
    }
    reason = Reason{ReasonCode::kConnectionLost, "reset_on_close", peer_, "the connection is closed"};
    return false;
  }
  [[nodiscard]] std::string peer() const override { return peer_; }

 private:
  std::shared_ptr<StreamEnd> stream_;
  std::string peer_;
};

/// Shared by a server and the coroutines that serve its connections.
struct ServerState {
  ServerState(VirtualNetwork& server_network, VirtualProcess& server_process,
              runtime::HttpHandler& server_handler, Endpoint server_endpoint,
              std::shared_ptr<ResponseFaults> response_faults)
      : network(server_network),
        process(server_process),
        handler(server_handler),
        endpoint(std::move(server_endpoint)),
        faults(std::move(response_faults)) {}
  VirtualNetwork& network;
  VirtualProcess& process;
  runtime::HttpHandler& handler;
  Endpoint endpoint;
  std::shared_ptr<ResponseFaults> faults;
  bool accepting = true;
  runtime::HttpConnectionId next_connection = 1;
  std::map<runtime::HttpConnectionId, std::shared_ptr<StreamEnd>> connections;
  std::string previous_body;  ///< what a crossed response carries
};

/// Sends the response, or what the configured faults make of it.
Awaitable<void> send_response(std::shared_ptr<ServerState> server, std::shared_ptr<StreamEnd> stream,
                              runtime::HttpResponse response) {
  NetworkFaults& random = server->network.faults();
  const ResponseFaults& faults = *server->faults;
  const std::string body = response.body;
  if (faults.late > 0 && random.random_unit() < faults.late) {
    const auto limit = static_cast<std::uint64_t>(faults.late_limit.count());
    co_await pause(server->process, Duration(static_cast<std::int64_t>(random.random_below(limit))));
  }
  if (faults.crossed > 0 && random.random_unit() < faults.crossed && !server->previous_body.empty()) {
    response.body = server->previous_body;
  }
  if (faults.short_body > 0 && random.random_unit() < faults.short_body) {
    response.body.resize(response.body.size() / 2);
  }
  server->previous_body = body;
  stream->send(response);
  if (faults.duplicate > 0 && random.random_unit() < faults.duplicate) stream->send(std::move(response));
}

Awaitable<void> serve_connection(std::shared_ptr<ServerState> server, std::shared_ptr<StreamEnd> stream,
                                 runtime::HttpConnectionId id) {
  while (true) {
    std::optional<StreamMessage> message = co_await stream->receive();
    if (!message || !std::holds_alternative<runtime::HttpRequest>(*message)) break;
    runtime::HttpRequest request = std::get<runtime::HttpRequest>(std::move(*message));
    runtime::HttpResponse response = co_await server->handler.handle(std::move(request), id);
    if (!server->accepting) response.close_connection = true;
    const bool last = response.close_connection;
    co_await send_response(server, stream, std::move(response));
    if (last) break;
  }
  stream->close();
}

class VirtualHttpServer : public runtime::HttpServer {
 public:
  explicit VirtualHttpServer(std::shared_ptr<ServerState> state) : state_(std::move(state)) {}
  ~VirtualHttpServer() override { VirtualHttpServer::close(); }

  void stop_accepting() override {
    if (!state_->accepting) return;
    state_->accepting = false;
    state_->network.stop_listening(state_->process, state_->endpoint);
  }

  void close() override {
    stop_accepting();
    const auto connections = state_->connections;
    for (const auto& [id, stream] : connections) stream->close();
  }

  [[nodiscard]] Endpoint endpoint() const override { return state_->endpoint; }

 private:
  std::shared_ptr<ServerState> state_;
};

}  // namespace

Awaitable<std::shared_ptr<runtime::HttpConnection>> VirtualHttpTransport::connect(Endpoint endpoint,
                                                                                  TimePoint deadline,
                                                                                  Reason& reason) {
  const std::string peer = endpoint.to_string();
  auto stream = co_await network_.connect(process_, std::move(endpoint), process_.to_world(deadline), reason);
  if (!stream) co_return nullptr;
  co_return std::make_shared<VirtualHttpConnection>(std::move(stream), peer);
}

std::unique_ptr<runtime::HttpServer> VirtualHttpTransport::serve(const Endpoint& endpoint,
                                                                 runtime::HttpHandler& handler,
                                                                 Reason& reason) {
  const auto server = std::make_shared<ServerState>(network_, process_, handler, endpoint, response_faults_);
  const auto accept = [server, spawn = spawn_](std::shared_ptr<StreamEnd> stream) {
    const runtime::HttpConnectionId id = server->next_connection++;
    server->connections.emplace(id, stream);
    stream->on_end([server, id] {
      server->connections.erase(id);
      server->handler.connection_closed(id);
    });
    spawn(serve_connection(server, std::move(stream), id));
  };
  if (!network_.listen(process_, endpoint, accept)) {
    reason = Reason{ReasonCode::kAlreadyExists, "listen", endpoint.to_string(), "the endpoint is taken"};
    return nullptr;
  }
  return std::make_unique<VirtualHttpServer>(server);
}

}  // namespace cairnhollow::simulation
