// What HTTP costs a proxy: for each statement it serves one exchange and makes one.
#include <benchmark/benchmark.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <fstream>
#include <vector>

#include "host/asio_runtime.h"
#include "http/message_parser.h"
#include "http/message_writer.h"

namespace cairnhollow::http {
namespace {

using runtime::HttpConnection;
using runtime::HttpRequest;
using runtime::HttpResponse;

constexpr Duration kExchangeLimit = std::chrono::seconds(5);
constexpr std::size_t kStatementBytes = 300;  ///< a statement's JSON body, as callers send it
constexpr std::size_t kAnswerBytes = 300;

HttpRequest statement_request() {
  HttpRequest request{runtime::HttpMethod::kPost, "/v1/statements", {}, std::string(kStatementBytes, 'a')};
  request.headers.fields["content-type"] = "application/json";
  return request;
}

HttpResponse statement_answer() {
  HttpResponse response;
  response.headers.fields["content-type"] = "application/json";
  response.body = std::string(kAnswerBytes, 'b');
  return response;
}

class AnswerHandler : public runtime::HttpHandler {
 public:
  Awaitable<HttpResponse> handle(HttpRequest, runtime::HttpConnectionId) override {
    co_return statement_answer();
  }
};

/// Server and clients on one thread, as in a proxy.
class LoopbackServer {
 public:
  LoopbackServer() {
    Reason reason;
    server_ = runtime_->http().serve({"127.0.0.1", 0}, handler_, reason);
  }

  std::shared_ptr<HttpConnection> connect() {
    std::shared_ptr<HttpConnection> connection;
    const auto open = [](runtime::Runtime& runtime, Endpoint endpoint,
                         std::shared_ptr<HttpConnection>& opened) -> Awaitable<void> {
      Reason reason;
      const TimePoint deadline = runtime.now() + kExchangeLimit;
      opened = co_await runtime.http().connect(endpoint, deadline, reason);
    };
    boost::asio::co_spawn(context_, open(*runtime_, server_->endpoint(), connection), boost::asio::detached);
    while (!connection) context_.run_one();
    return connection;
  }

  boost::asio::io_context& context() { return context_; }
  runtime::Runtime& runtime() { return *runtime_; }

 private:
  boost::asio::io_context context_{1};
  std::unique_ptr<runtime::Runtime> runtime_ = host::make_asio_runtime(context_, {});
  AnswerHandler handler_;
  std::unique_ptr<runtime::HttpServer> server_;
};

Awaitable<void> exchange_once(runtime::Runtime& runtime, std::shared_ptr<HttpConnection> connection,
                              std::size_t& finished) {
  runtime::SendState sent = runtime::SendState::kNotSent;
  Reason reason;
  HttpRequest request = statement_request();
  const TimePoint deadline = runtime.now() + kExchangeLimit;
  const auto response = co_await connection->exchange(std::move(request), deadline, sent, reason);
  if (response) ++finished;
}

/// One served and one made exchange per iteration, `range(0)` of them at a time.
void http_exchange(benchmark::State& state) {
  LoopbackServer server;
  std::vector<std::shared_ptr<HttpConnection>> connections;
  for (std::int64_t count = 0; count < state.range(0); ++count) connections.push_back(server.connect());
  std::size_t total = 0;
  for (auto _ : state) {
    std::size_t finished = 0;
    for (const auto& connection : connections) {
      boost::asio::co_spawn(server.context(), exchange_once(server.runtime(), connection, finished),
                            boost::asio::detached);
    }
    while (finished < connections.size()) server.context().run_one();
    total += finished;
  }
  state.SetItemsProcessed(static_cast<std::int64_t>(total));
}
BENCHMARK(http_exchange)->Arg(1)->Arg(16)->Arg(128);

void write_request(benchmark::State& state) {
  const HttpRequest request = statement_request();
  std::string bytes;
  for (auto _ : state) {
    bytes.clear();
    append_request(bytes, request, "127.0.0.1:7000");
    benchmark::DoNotOptimize(bytes);
  }
}
BENCHMARK(write_request);

void parse_request(benchmark::State& state) {
  std::string bytes;
  append_request(bytes, statement_request(), "127.0.0.1:7000");
  const auto parser = make_request_parser({});
  for (auto _ : state) {
    std::string_view unread = bytes;
    while (!parser->done()) unread.remove_prefix(parser->feed(unread));
    benchmark::DoNotOptimize(parser->take());
  }
}
BENCHMARK(parse_request);

/// Resident memory of this process in bytes.
std::size_t resident_bytes() {
  constexpr std::size_t kPageBytes = 4096;
  std::size_t total = 0;
  std::size_t resident = 0;
  std::ifstream("/proc/self/statm") >> total >> resident;
  return resident * kPageBytes;
}

/// Memory of a connection that has carried an exchange and idles: both ends of it, in this process.
void idle_connection_both_ends(benchmark::State& state) {
  for (auto _ : state) {
    LoopbackServer server;
    server.connect();
    const std::size_t before = resident_bytes();
    std::vector<std::shared_ptr<HttpConnection>> connections;
    std::size_t finished = 0;
    for (std::int64_t count = 0; count < state.range(0); ++count) {
      connections.push_back(server.connect());
      boost::asio::co_spawn(server.context(), exchange_once(server.runtime(), connections.back(), finished),
                            boost::asio::detached);
      while (finished < connections.size()) server.context().run_one();
    }
    const auto used = static_cast<double>(resident_bytes() - before);
    state.counters["bytes_per_connection"] = used / static_cast<double>(connections.size());
  }
}
BENCHMARK(idle_connection_both_ends)->Arg(400)->Iterations(1)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace cairnhollow::http
