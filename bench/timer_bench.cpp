// What a deadline and a wait cost.
#include <benchmark/benchmark.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "host/asio_runtime.h"
#include "runtime/asio/asio_timer.h"
#include "runtime/asio/lazy_deadline.h"

namespace cairnhollow::runtime {
namespace {

/// A deadline that is moved for each exchange and never passes.
void move_lazy_deadline(benchmark::State& state) {
  boost::asio::io_context context{1};
  LazyDeadline deadline(context.get_executor(), [] {});
  for (auto _ : state) {
    deadline.set(steady_now() + std::chrono::seconds(5));
    deadline.clear();
  }
}
BENCHMARK(move_lazy_deadline);

Awaitable<void> wait_once(AsioTimer& timer, bool& ended) {
  co_await timer.wait_until(steady_now() + std::chrono::seconds(5));
  ended = true;
}

/// A wait that is cancelled, among `range(0)` others that last.
void cancelled_wait(benchmark::State& state) {
  boost::asio::io_context context{1};
  std::vector<std::unique_ptr<boost::asio::steady_timer>> others;
  for (std::int64_t count = 0; count < state.range(0); ++count) {
    others.push_back(std::make_unique<boost::asio::steady_timer>(context, std::chrono::seconds(60 + count)));
    others.back()->async_wait([](boost::system::error_code) {});
  }
  AsioTimer timer(context.get_executor());
  for (auto _ : state) {
    context.restart();
    bool ended = false;
    boost::asio::co_spawn(context, wait_once(timer, ended), boost::asio::detached);
    context.poll();
    timer.cancel();
    // The coroutine sets `ended`.
    while (!ended) context.poll();  // NOLINT(bugprone-infinite-loop)
  }
}
BENCHMARK(cancelled_wait)->Arg(0)->Arg(1000);

}  // namespace
}  // namespace cairnhollow::runtime
