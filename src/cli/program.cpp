#include "cli/program.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <random>

#include "cli/process_end.h"
#include "cli/program_flags.h"
#include "host/asio_runtime.h"

namespace cairnhollow::cli {
namespace {

/// Conventional exit code of a process ended by a signal: this and the signal's number.
constexpr int kSignalExitBase = 128;

/// A plan and the settings that belong to the program rather than to its role.
struct LoadedProgram {
  ProgramPlan plan;
  runtime::LogLevel log_level = runtime::LogLevel::kInfo;
};

runtime::LogLevel read_log_level(SettingsReader& reader) {
  const std::vector<std::string> names{"debug", "info", "warning", "error"};
  const auto choice = reader.read_choice("log_level", names);
  return choice ? static_cast<runtime::LogLevel>(*choice) : runtime::LogLevel::kInfo;
}

/// Empty with at least one fault.
std::optional<LoadedProgram> load_program(const ProgramDefinition& definition, const ProgramFlags& flags,
                                          std::vector<SettingsFault>& faults) {
  const auto root = load_settings_file(flags.settings_file, faults);
  if (!root) return std::nullopt;
  SettingsReader reader(flags.settings_file, *root, faults);
  for (const SettingsOverride& setting : flags.overrides) reader.apply(setting);
  LoadedProgram program;
  program.log_level = read_log_level(reader);
  program.plan = definition.read_settings(reader);
  reader.finish();
  if (!faults.empty()) return std::nullopt;
  return program;
}

std::uint64_t random_seed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Starts a role, drains it at the first signal and ends the process.
class ProgramRun {
 public:
  ProgramRun(const ProgramDefinition& definition, const ProgramFlags& flags, const LoadedProgram& program)
      : definition_(definition),
        flags_(flags),
        signals_(context_, SIGTERM, SIGINT),
        reload_(context_, SIGHUP) {
    host::AsioRuntimeSettings settings;
    settings.program = definition.name;
    settings.node = program.plan.node;
    settings.zone = program.plan.zone;
    settings.data_folder = program.plan.data_folder;
    settings.random_seed = random_seed();
    settings.log_level = program.log_level;
    runtime_ = host::make_asio_runtime(context_, settings);
    role_ = program.plan.make_role(*runtime_);
  }

  [[noreturn]] void run() {
    // A peer that closes while it is written to is an error of that write, not of the process.
    std::signal(SIGPIPE, SIG_IGN);
    await_signal();
    await_reload();
    runtime_->spawn("start", start());
    context_.run();
    end_process(kExitFailure);
  }

 private:
  Awaitable<void> start() {
    Reason reason;
    bool started = false;
    try {
      started = co_await role_->start(reason);
    } catch (const std::exception& error) {
      reason = Reason{ReasonCode::kInternal, "start", "", error.what()};
    }
    if (!started) {
      runtime_->logger().log(runtime::LogLevel::kError, "start_failed", reason, {});
      end_process(kExitFailure);
    }
    runtime_->logger().log(runtime::LogLevel::kInfo, "started", {{"version", CAIRNHOLLOW_VERSION}});
  }

  Awaitable<void> drain() {
    runtime_->logger().log(runtime::LogLevel::kInfo, "draining", {});
    co_await role_->drain();
    runtime_->logger().log(runtime::LogLevel::kInfo, "stopped", {});
    end_process(kExitSuccess);
  }

  void await_signal() {
    signals_.async_wait([this](boost::system::error_code error, int signal_number) {
      if (!error) on_signal(signal_number);
    });
  }

  /// SIGHUP: the settings may have changed. They are checked and the outcome is logged; what they say holds
  /// from the next start on.
  void await_reload() {
    reload_.async_wait([this](boost::system::error_code error, int /*signal_number*/) {
      if (error) return;
      check_settings_again();
      await_reload();
    });
  }

  void check_settings_again() {
    std::vector<SettingsFault> faults;
    const auto program = load_program(definition_, flags_, faults);
    for (const SettingsFault& fault : faults) {
      const Reason reason{ReasonCode::kInvalidArgument, "reload", fault.source, fault.to_string()};
      runtime_->logger().log(runtime::LogLevel::kError, "settings_refused", reason, {});
    }
    if (program)
      runtime_->logger().log(runtime::LogLevel::kInfo, "settings_checked", {{"held_from", "next start"}});
  }

  void on_signal(int signal_number) {
    if (draining_) end_process(kSignalExitBase + signal_number);
    draining_ = true;
    await_signal();
    runtime_->spawn("drain", drain());
  }

  boost::asio::io_context context_{1};
  const ProgramDefinition& definition_;
  const ProgramFlags& flags_;
  boost::asio::signal_set signals_;
  boost::asio::signal_set reload_;
  std::unique_ptr<runtime::Runtime> runtime_;
  std::unique_ptr<runtime::Role> role_;
  bool draining_ = false;
};

}  // namespace

std::string read_data_folder(SettingsReader& reader) {
  std::string folder;
  reader.read("data_folder", folder, Presence::kRequired);
  return folder;
}

int run_program(const ProgramDefinition& definition, int argument_count, char** arguments) {
  const std::vector<std::string> words(arguments + 1, arguments + argument_count);
  const FlagsOutcome outcome = parse_program_flags(definition.name, definition.summary, words);
  if (!outcome.flags) {
    fmt::print(outcome.exit_code == kExitSuccess ? stdout : stderr, "{}", outcome.output);
    return outcome.exit_code;
  }
  std::vector<SettingsFault> faults = outcome.flags->faults;
  const auto program = load_program(definition, *outcome.flags, faults);
  for (const SettingsFault& fault : faults) fmt::print(stderr, "{}\n", fault.to_string());
  if (!program) return kExitUsage;
  if (outcome.flags->check_settings) {
    fmt::print("{}: settings are valid\n", outcome.flags->settings_file);
    return kExitSuccess;
  }
  ProgramRun(definition, *outcome.flags, *program).run();
}

}  // namespace cairnhollow::cli
