// What a freshness probe costs the proxy that asks: the server answers on a thread of its own, so that the
// processor time of the benchmark's thread is the asker's alone.
#include <benchmark/benchmark.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>
#include <vector>

#include "declared/backend/contract_codec.h"
#include "declared/backend/http_backend.h"
#include "host/asio_runtime.h"

namespace cairnhollow::declared::backend {
namespace {

constexpr Duration kProbeLimit = std::chrono::seconds(5);

/// Answers every call with the status of a replica in a group of three.
class StatusHandler : public runtime::HttpHandler {
 public:
  Awaitable<runtime::HttpResponse> handle(runtime::HttpRequest request,
                                          runtime::HttpConnectionId /*connection*/) override {
    BackendStatus status;
    status.backend = BackendName("records-00001-zone-a");
    status.group = GroupName("records-00001");
    status.term = 7;
    status.primary = BackendName("records-00001-zone-b");
    status.last = status.committed = status.applied = Position{7, 1234567};
    status.primary_heard = true;
    for (const char* member : {"records-00001-zone-a", "records-00001-zone-b", "records-00001-zone-c"}) {
      status.members.emplace_back(member);
    }
    runtime::HttpResponse response;
    response.headers.fields["content-type"] = "application/json";
    const auto exchange = request.headers.find(kExchangeHeader);
    if (exchange) response.headers.fields[kExchangeHeader] = *exchange;
    response.body = encode_answer(StatusAnswer(std::move(status)), Reason{});
    co_return response;
  }
};

/// A database's status call on a thread of its own.
class StatusServer {
 public:
  StatusServer() {
    Reason reason;
    server_ = runtime_->http().serve({"127.0.0.1", 0}, handler_, reason);
    endpoint_ = server_->endpoint();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~StatusServer() {
    context_.stop();
    thread_.join();
  }
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;
  [[nodiscard]] const Endpoint& endpoint() const { return endpoint_; }

 private:
  boost::asio::io_context context_{1};
  std::unique_ptr<runtime::Runtime> runtime_ = host::make_asio_runtime(context_, {});
  StatusHandler handler_;
  std::unique_ptr<runtime::HttpServer> server_;
  Endpoint endpoint_;
  std::thread thread_;
};

/// Connections of one proxy, opened once and kept, as the prober keeps them.
class Asker {
 public:
  Asker(const Endpoint& endpoint, std::int64_t count) {
    for (std::int64_t number = 0; number < count; ++number) {
      boost::asio::co_spawn(context_, open(endpoint), boost::asio::detached);
    }
    while (connections_.size() < static_cast<std::size_t>(count)) context_.run_one();
  }

  /// One probe on each connection, all at once as in a round; returns how many were answered.
  std::size_t ask_all() {
    finished_ = answered_ = 0;
    for (const auto& connection : connections_) {
      boost::asio::co_spawn(context_, ask(connection), boost::asio::detached);
    }
    while (finished_ < connections_.size()) context_.run_one();
    return answered_;
  }

 private:
  Awaitable<void> open(Endpoint endpoint) {
    Reason reason;
    const TimePoint deadline = runtime_->now() + kProbeLimit;
    const BackendName name("records-00001-zone-a");
    connections_.push_back(co_await connector_->open(name, endpoint, deadline, reason));
  }
  Awaitable<void> ask(std::shared_ptr<BackendConnection> connection) {
    Reason reason;
    const TimePoint deadline = runtime_->now() + kProbeLimit;
    const auto status = co_await connection->status(deadline, reason);
    if (status) ++answered_;
    ++finished_;
  }

  boost::asio::io_context context_{1};
  std::unique_ptr<runtime::Runtime> runtime_ = host::make_asio_runtime(context_, {});
  std::unique_ptr<BackendConnector> connector_ =
      make_http_backend_connector(*runtime_, ConnectionPurpose::kControl);
  std::vector<std::shared_ptr<BackendConnection>> connections_;
  std::size_t finished_ = 0;
  std::size_t answered_ = 0;
};

/// A round of `range(0)` probes. CPU time is the asker's; items are probes.
void freshness_probes(benchmark::State& state) {
  StatusServer server;
  Asker asker(server.endpoint(), state.range(0));
  std::size_t answered = 0;
  for (auto _ : state) answered += asker.ask_all();
  state.SetItemsProcessed(static_cast<std::int64_t>(answered));
}
BENCHMARK(freshness_probes)->Arg(1)->Arg(9)->Arg(50)->Arg(132);

}  // namespace
}  // namespace cairnhollow::declared::backend
