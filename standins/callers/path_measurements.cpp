#include "standins/callers/path_measurements.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <cstdio>

#include "standins/callers/load_program.h"
#include "standins/callers/statement_meter.h"

namespace cairnhollow::standins::callers {

namespace {

double milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

/// The one record that all reads of a measurement read: short, and held by one database group.
RecordKey measured_record(const LoadOptions& options) {
  const bool study_card = options.load.profile == Profile::kStudyCard;
  return {study_card ? "deck" : "vehicle", options.load.run_name, "measured"};
}

/// Writes the record once; empty when it failed, which is printed.
Awaitable<std::optional<RoutedStatement>> prepare(runtime::Runtime& runtime, const LoadOptions& options) {
  Reason reason;
  const SessionName session(options.load.run_name);
  RoutedStatement statement;
  statement.kind = options.statements;
  statement.key = measured_record(options);
  const Endpoint proxy = options.load.caller.proxies.front();
  statement.session_token = co_await write_record(runtime, proxy, statement.key, session, reason);
  if (statement.session_token.empty()) {
    fmt::print(stderr, "the record could not be written: {}\n", reason.to_string());
    co_return std::nullopt;
  }
  // Writes go to a record of their own, so that a read's answer stays short.
  if (statement.kind == declared::backend::StatementKind::kWrite) statement.key.record = "measured-writes";
  co_return statement;
}

/// One of each connection. A run that is repeated under its name must not meet its old request ids.
SessionName session_of(const LoadOptions& options, const char* way, std::uint32_t index) {
  return SessionName(fmt::format("{}-{}-{:x}-{}", options.load.run_name, way, options.seed, index));
}

std::vector<std::unique_ptr<StatementRoute>> proxy_routes(runtime::Runtime& runtime,
                                                          const LoadOptions& options,
                                                          const RoutedStatement& statement) {
  const auto& proxies = options.load.caller.proxies;
  std::vector<std::unique_ptr<StatementRoute>> routes;
  for (std::uint32_t index = 0; index < options.connections; ++index) {
    const SessionName session = session_of(options, "proxy", index);
    routes.push_back(make_proxy_route(runtime, proxies[index % proxies.size()], statement, session));
  }
  return routes;
}

std::vector<std::unique_ptr<StatementRoute>> direct_routes(runtime::Runtime& runtime,
                                                           const LoadOptions& options,
                                                           const RoutedStatement& statement) {
  std::vector<std::unique_ptr<StatementRoute>> routes;
  for (std::uint32_t index = 0; index < options.connections; ++index) {
    const Endpoint& backend = options.backends[index % options.backends.size()];
    const SessionName session = session_of(options, "direct", index);
    routes.push_back(make_direct_route(runtime, backend, statement, session));
  }
  return routes;
}

Awaitable<bool> warm_up(StatementMeter& meter, const char* name) {
  Reason reason;
  const bool ready = co_await meter.warm_up(reason);
  if (!ready) fmt::print(stderr, "{}: a first statement was refused: {}\n", name, reason.to_string());
  co_return ready;
}

boost::json::object to_json(const RouteMeasurement& measurement) {
  return {{"served", measurement.served},
          {"refused", measurement.refused},
          {"p50_ms", milliseconds(measurement.latencies.quantile(0.50))},
          {"p99_ms", milliseconds(measurement.latencies.quantile(0.99))},
          {"max_ms", milliseconds(measurement.latencies.max())}};
}

void print_line(const char* name, const RouteMeasurement& measurement) {
  const LatencyHistogram& latencies = measurement.latencies;
  fmt::print("{:<10} {:>8} served {:>5} refused   p50 {:>8.3f} ms   p99 {:>8.3f} ms   max {:>8.3f} ms\n",
             name, measurement.served, measurement.refused, milliseconds(latencies.quantile(0.50)),
             milliseconds(latencies.quantile(0.99)), milliseconds(latencies.max()));
  if (measurement.refused > 0) fmt::print("  last refusal: {}\n", measurement.last_refusal.to_string());
}

void print_added(const RouteMeasurement& direct, const RouteMeasurement& proxied) {
  const auto added = [&](double share) {
    return milliseconds(proxied.latencies.quantile(share) - direct.latencies.quantile(share));
  };
  fmt::print("added by the proxy: p50 {:.3f} ms, p99 {:.3f} ms\n", added(0.50), added(0.99));
}

int verdict(const RouteMeasurement& measurement) {
  return measurement.refused == 0 && measurement.served > 0 ? kLoadExitPassed : kLoadExitFailed;
}

/// Lets one coroutine wait for the end of another.
class Completion {
 public:
  explicit Completion(runtime::Runtime& runtime) : changed_(runtime) {}
  void complete() {
    completed_ = true;
    changed_.notify_all();
  }
  Awaitable<void> wait() {
    while (!completed_) co_await changed_.wait();
  }

 private:
  runtime::Signal changed_;
  bool completed_ = false;
};

Awaitable<void> run_open_loop(StatementMeter& meter, double rate, Duration duration, Completion& completion) {
  co_await meter.run_open_loop(rate, duration);
  completion.complete();
}

}  // namespace

Awaitable<int> measure_latency(runtime::Runtime& runtime, const LoadOptions& options) {
  const auto statement = co_await prepare(runtime, options);
  if (!statement) co_return kLoadExitFailed;
  StatementMeter direct(runtime, direct_routes(runtime, options, *statement));
  StatementMeter proxied(runtime, proxy_routes(runtime, options, *statement));
  const bool direct_ready = co_await warm_up(direct, "direct");
  if (!direct_ready) co_return kLoadExitFailed;
  const bool proxied_ready = co_await warm_up(proxied, "proxy");
  if (!proxied_ready) co_return kLoadExitFailed;
  const double rate = options.load.operations_per_second;
  Completion direct_ended(runtime);
  runtime.spawn("direct_statements", run_open_loop(direct, rate, options.load.duration, direct_ended));
  co_await proxied.run_open_loop(rate, options.load.duration);
  co_await direct_ended.wait();
  if (options.json) {
    const boost::json::object document{{"direct", to_json(direct.measurement())},
                                       {"proxy", to_json(proxied.measurement())}};
    fmt::print("{}\n", boost::json::serialize(document));
  } else {
    print_line("direct", direct.measurement());
    print_line("proxy", proxied.measurement());
    print_added(direct.measurement(), proxied.measurement());
  }
  co_return std::max(verdict(direct.measurement()), verdict(proxied.measurement()));
}

Awaitable<int> measure_throughput(runtime::Runtime& runtime, const LoadOptions& options) {
  const auto statement = co_await prepare(runtime, options);
  if (!statement) co_return kLoadExitFailed;
  const bool direct = !options.backends.empty();
  const char* way = direct ? "direct" : "proxy";
  StatementMeter meter(runtime, direct ? direct_routes(runtime, options, *statement)
                                       : proxy_routes(runtime, options, *statement));
  const bool ready = co_await warm_up(meter, way);
  if (!ready) co_return kLoadExitFailed;
  const TimePoint begun = runtime.now();
  co_await meter.run_closed_loop(options.load.duration);
  const double seconds = std::chrono::duration<double>(runtime.now() - begun).count();
  const RouteMeasurement& measurement = meter.measurement();
  const double rate = static_cast<double>(measurement.served) / seconds;
  if (options.json) {
    boost::json::object document = to_json(measurement);
    document["statements_per_second"] = rate;
    fmt::print("{}\n", boost::json::serialize(document));
  } else {
    print_line(way, measurement);
    fmt::print("{:.0f} statements a second\n", rate);
  }
  co_return verdict(measurement);
}

Awaitable<int> hold_idle_connections(runtime::Runtime& runtime, const LoadOptions& options) {
  const auto statement = co_await prepare(runtime, options);
  if (!statement) co_return kLoadExitFailed;
  StatementMeter meter(runtime, proxy_routes(runtime, options, *statement));
  const bool ready = co_await warm_up(meter, "proxy");
  if (!ready) co_return kLoadExitFailed;
  fmt::print("holding {}\n", options.connections);
  std::fflush(stdout);
  co_await runtime.sleep_for(options.load.duration);
  co_return kLoadExitPassed;
}

}  // namespace cairnhollow::standins::callers
