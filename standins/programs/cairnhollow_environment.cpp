// cairnhollow-environment: backends, promotion call, operator and callers around a registered fleet of real
// processes; judges what the callers saw.
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>

#include "host/asio_runtime.h"
#include "standins/registered/environment.h"

namespace json = boost::json;
namespace host = cairnhollow::host;
namespace runtime = cairnhollow::runtime;
namespace registered = cairnhollow::standins::registered;
using cairnhollow::Awaitable;
using cairnhollow::Duration;
using cairnhollow::Endpoint;

namespace {

constexpr const char* kUsage =
    R"(Everything around a registered fleet: stand-in backends, the promotion call, an operator, callers.

Usage:
  cairnhollow-environment --control=ENDPOINT... --proxy=ENDPOINT... --promotion=ENDPOINT [--foreign=ENDPOINT]... [options]
  cairnhollow-environment (-h | --help)

Options:
  --control=ENDPOINT    where a control node takes operators' and backends' calls
  --proxy=ENDPOINT      where a proxy takes sessions
  --promotion=ENDPOINT  where to listen for promotion calls
  --groups=N            database groups, of three backends each [default: 2]
  --seconds=N           how long the callers work [default: 60]
  --databases=NETWORK   group N's backends listen on NETWORK.N [default: 127.0.3]
  --lag-ms=N            from a commit to its appearance at a replica [default: 8]
  --seed=N              of the backends' faults and the callers' choices [default: 1]
  --faults=WHICH        none, primaries (they crash, one after the other) or all [default: all]
  --slow-promotions     for some seconds at random times, promotion orders are held for up to 6 s, then answered
  --tenants             callers have keys, which are removed and given back; the proxies' key_bound is 5 s
  --foreign=ENDPOINT    malformed registrations are sent there
  --report=FILE         writes the report there, too
  -h --help             prints this

Each promotion order, once it is answered, and each promotion, once it takes effect, is logged as a JSON line.

Exit code: 0 when nothing was lost, doubled or stale, no promotion order came with a fencing token that is too low or
another holder's, and the newest acknowledged document is read back; 1 otherwise; 2 for a wrong command line.
)";

constexpr int kPassed = 0;
constexpr int kFailed = 1;
constexpr int kWrongUsage = 2;
constexpr std::size_t kMostViolationsPrinted = 20;

std::optional<std::vector<Endpoint>> read_endpoints(const std::vector<std::string>& texts) {
  std::vector<Endpoint> endpoints;
  for (const std::string& text : texts) {
    const auto endpoint = cairnhollow::parse_endpoint(text);
    if (!endpoint) fmt::print(stderr, "{}: must be an IP address and a port\n", text);
    if (!endpoint) return std::nullopt;
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

std::int64_t milliseconds_of(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string print_report(const registered::EnvironmentReport& report) {
  json::array gaps;
  for (const Duration gap : report.gaps) gaps.emplace_back(milliseconds_of(gap));
  json::array violations;
  for (const std::string& violation : report.violations) {
    if (violations.size() < kMostViolationsPrinted) violations.emplace_back(violation);
  }
  const json::object object{{"writes_acknowledged", report.acknowledged},
                            {"reads", report.reads},
                            {"writes_refused", report.refused},
                            {"writes_in_doubt", report.in_doubt},
                            {"promotions", report.promotions},
                            {"documents_acknowledged", report.documents},
                            {"malformed_registrations", report.foreign},
                            {"gaps_ms", gaps},
                            {"violations_counted", report.violations.size()},
                            {"violations", violations}};
  return json::serialize(object) + "\n";
}

Awaitable<void> run(registered::Environment& environment, std::string report_file) {
  const registered::EnvironmentReport report = co_await environment.run();
  const std::string text = print_report(report);
  fmt::print("{}", text);
  if (!report_file.empty()) std::ofstream(report_file) << text;
  std::fflush(nullptr);
  // Without unwinding: coroutines in flight refer to the environment.
  std::_Exit(report.violations.empty() ? kPassed : kFailed);
}

std::optional<registered::EnvironmentSettings> read_settings(std::map<std::string, docopt::value>& options) {
  registered::EnvironmentSettings settings;
  const auto control = read_endpoints(options["--control"].asStringList());
  const auto proxies = read_endpoints(options["--proxy"].asStringList());
  const auto promotion = read_endpoints({options["--promotion"].asString()});
  const auto foreign = read_endpoints(options["--foreign"].asStringList());
  if (!control || !proxies || !promotion || !foreign) return std::nullopt;
  settings.foreign_endpoints = *foreign;
  settings.control_endpoints = *control;
  settings.proxy_endpoints = *proxies;
  settings.promotion_endpoint = promotion->front();
  settings.groups = static_cast<std::size_t>(std::max(1L, options["--groups"].asLong()));
  settings.database_network = options["--databases"].asString();
  settings.duration = std::chrono::seconds(options["--seconds"].asLong());
  settings.replica_lag = std::chrono::milliseconds(options["--lag-ms"].asLong());
  settings.slow_promotions = options["--slow-promotions"].asBool();
  settings.tenants = options["--tenants"].asBool();
  const std::string faults = options["--faults"].asString();
  if (faults == "none") settings.faults = registered::BackendFaults::kNone;
  if (faults == "primaries") settings.faults = registered::BackendFaults::kPrimaries;
  const bool is_known = faults == "none" || faults == "primaries" || faults == "all";
  if (!is_known) fmt::print(stderr, "--faults: '{}' is none of none, primaries, all\n", faults);
  if (!is_known) return std::nullopt;
  return settings;
}

int run_on_sockets(const registered::EnvironmentSettings& settings, std::uint64_t seed,
                   std::string report_file) {
  // A peer that closes while it is written to is an error of that write, not of the process.
  std::signal(SIGPIPE, SIG_IGN);
  host::AsioRuntimeSettings runtime_settings;
  runtime_settings.program = "cairnhollow-environment";
  runtime_settings.random_seed = seed;
  runtime_settings.log_level = runtime::LogLevel::kInfo;  // promotion orders are logged
  boost::asio::io_context context{1};
  const auto runtime = host::make_asio_runtime(context, runtime_settings);
  registered::Environment environment(*runtime, settings);
  runtime->spawn("environment", run(environment, std::move(report_file)));
  context.run();
  return kFailed;
}

}  // namespace

int main(int argument_count, char** arguments) {
  const std::vector<std::string> words(arguments + 1, arguments + argument_count);
  try {
    auto options = docopt::docopt_parse(kUsage, words, true, false);
    const auto settings = read_settings(options);
    if (!settings) return kWrongUsage;
    const auto seed = static_cast<std::uint64_t>(options["--seed"].asLong());
    const std::string report = options["--report"] ? options["--report"].asString() : "";
    return run_on_sockets(*settings, seed, report);
  } catch (const docopt::DocoptExitHelp&) {
    fmt::print("{}", kUsage);
    return kPassed;
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n{}", error.what(), kUsage);
    return kWrongUsage;
  }
}
