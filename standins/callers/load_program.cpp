#include "standins/callers/load_program.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <random>
#include <sstream>

#include "host/asio_runtime.h"
#include "standins/callers/history_file.h"
#include "standins/callers/load_generator.h"
#include "standins/callers/load_options.h"
#include "standins/callers/load_report.h"

namespace cairnhollow::standins::callers {

namespace {

constexpr Duration kFinalReadLimit = std::chrono::seconds(60);

bool write_file(const std::string& name, const std::string& text) {
  if (name.empty()) return true;
  std::ofstream file(name, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  if (!file) fmt::print(stderr, "{}: could not be written\n", name);
  return static_cast<bool>(file);
}

std::optional<std::string> read_file(const std::string& name) {
  const std::ifstream file(name, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Prints and writes the report; the exit code.
int conclude(const LoadOptions& options, const LoadReport& report) {
  const std::string json = report_as_json(report) + "\n";
  fmt::print("{}", options.json ? json : report_as_text(report));
  std::fflush(stdout);
  const bool written = write_file(options.report_file, json);
  return report.passed() && written ? kLoadExitPassed : kLoadExitFailed;
}

int check_recorded_history(const LoadOptions& options) {
  const auto text = read_file(options.history_file);
  if (!text) {
    fmt::print(stderr, "{}: cannot be read\n", options.history_file);
    return kLoadExitFailed;
  }
  Reason reason;
  const auto history = read_history(*text, reason);
  if (!history) {
    fmt::print(stderr, "{}: {}\n", options.history_file, reason.to_string());
    return kLoadExitFailed;
  }
  return conclude(options, make_load_report(*history, statistics_of(*history)));
}

/// The workload, its history and its judgement.
Awaitable<int> run_workload(runtime::Runtime& runtime, const LoadOptions& options) {
  fmt::print(stderr, "seed {}, run {}\n", options.seed, options.load.run_name);
  // Ends with the process: sessions that still run refer to it.
  auto& generator = *new LoadGenerator(runtime, options.load);
  co_await generator.run();
  Reason reason;
  const bool settled = co_await generator.read_final_records(kFinalReadLimit, reason);
  if (!settled) fmt::print(stderr, "a final record could not be read: {}\n", reason.to_string());
  const bool written = write_file(options.history_file, write_history(generator.history()));
  const LoadReport report = make_load_report(generator.history(), generator.statistics());
  const int exit_code = conclude(options, report);
  co_return settled&& written ? exit_code : kLoadExitFailed;
}

Awaitable<void> run_to_the_end(runtime::Runtime& runtime, const LoadOptions& options) {
  const int exit_code = co_await run_workload(runtime, options);
  std::fflush(nullptr);
  // Without unwinding: coroutines in flight refer to the runtime.
  std::_Exit(exit_code);
}

[[noreturn]] void run_on_sockets(const LoadOptions& options) {
  // A peer that closes while it is written to is an error of that write, not of the process.
  std::signal(SIGPIPE, SIG_IGN);
  host::AsioRuntimeSettings settings;
  settings.program = "cairnhollow-load";
  settings.random_seed = options.seed;
  settings.log_level = runtime::LogLevel::kWarning;
  boost::asio::io_context context{1};
  const auto runtime = host::make_asio_runtime(context, settings);
  runtime->spawn("load", run_to_the_end(*runtime, options));
  context.run();
  std::_Exit(kLoadExitFailed);
}

}  // namespace

std::uint64_t random_load_seed() {
  std::random_device device;
  return device();
}

int run_load_program(const std::vector<std::string>& arguments) {
  const LoadOptionsOutcome outcome = parse_load_options(arguments);
  if (!outcome.options) {
    fmt::print(outcome.exit_code == kLoadExitPassed ? stdout : stderr, "{}", outcome.output);
    return outcome.exit_code;
  }
  if (outcome.options->command == LoadCommand::kCheck) return check_recorded_history(*outcome.options);
  run_on_sockets(*outcome.options);
}

}  // namespace cairnhollow::standins::callers
