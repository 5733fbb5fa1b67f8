#include "cli/operator_program.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

#include "cli/process_end.h"
#include "cli/run_command.h"
#include "host/asio_runtime.h"

namespace cairnhollow::cli {

namespace {

std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe): before any thread could start
  return value == nullptr ? "" : value;
}

Environment read_environment() {
  return {environment_variable("CAIRNHOLLOW_SERVERS"), environment_variable("USER")};
}

std::uint64_t random_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

Awaitable<void> run_and_end(CommandContext& context) {
  ExitCode code = ExitCode::kUnavailable;
  try {
    code = co_await run_command(context);
  } catch (const std::exception& error) {
    code = report_failure(context, Reason{ReasonCode::kInternal, "run_command", "", error.what()});
  }
  end_process(static_cast<int>(code));
}

}  // namespace

int run_operator_program(int argument_count, char** arguments) {
  const std::vector<std::string> words(arguments + 1, arguments + argument_count);
  Reason reason;
  const auto parsed = parse_command_line(words, read_environment(), reason);
  if (!parsed) {
    std::cerr << "cairnhollow: " << reason.detail << "\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  if (!parsed->command_line) {
    std::cout << parsed->text;
    return static_cast<int>(ExitCode::kDone);
  }
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io_context{1};
  host::AsioRuntimeSettings settings;
  settings.program = "cairnhollow";
  settings.random_seed = random_seed();
  settings.log_level = runtime::LogLevel::kWarning;
  const auto runtime = host::make_asio_runtime(io_context, settings);
  OperatorClientSettings client_settings;
  client_settings.servers = parsed->command_line->servers;
  OperatorClient client(*runtime, client_settings);
  CommandContext context{*runtime, client, *parsed->command_line, std::cout, std::cerr};
  runtime->spawn("command", run_and_end(context));
  io_context.run();
  return static_cast<int>(ExitCode::kUnavailable);
}

}  // namespace cairnhollow::cli
