// wait, and the waiting of --wait.
#include <fmt/format.h>

#include "cli/commands.h"

namespace cairnhollow::cli {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(100);
constexpr std::size_t kNamesShown = 5;

std::string names_behind(const declared::control::InForceReport& report) {
  std::string names;
  for (std::size_t i = 0; i < report.behind.size() && i < kNamesShown; ++i) {
    const auto& proxy = report.behind[i];
    const std::string name =
        proxy.proxy.empty() ? fmt::format("followers of {}", proxy.control_node.value) : proxy.proxy.value;
    names += fmt::format("{}{} (has {})", i == 0 ? "" : ", ", name, proxy.revision);
  }
  if (report.behind.size() > kNamesShown) {
    names += fmt::format(" and {} more", report.behind.size() - kNamesShown);
  }
  return names;
}

/// Shows a line when it says something new.
class Progress {
 public:
  explicit Progress(std::ostream& stream) : stream_(stream) {}

  void show(std::uint64_t wanted, const declared::control::InForceReport& report) {
    std::string line =
        fmt::format("waiting for revision {}: {} is in force everywhere", wanted, report.least_revision);
    if (!report.behind.empty()) line += "; behind: " + names_behind(report);
    if (line == last_) return;
    stream_ << line << "\n" << std::flush;
    last_ = std::move(line);
  }

 private:
  std::ostream& stream_;
  std::string last_;
};

}  // namespace

Awaitable<ExitCode> wait_in_force(CommandContext& context, std::uint64_t revision) {
  const TimePoint deadline = context.deadline();
  Progress progress(context.errors);
  Reason reason;
  while (context.runtime.now() < deadline) {
    const auto report = co_await context.client.in_force(deadline, reason);
    if (report) {
      if (revision == 0) revision = report->revision;
      if (report->least_revision >= revision) {
        // Behind a document on the output it would be no part of it.
        auto& stream = context.line.output == OutputFormat::kTable ? context.output : context.errors;
        stream << "revision " << revision << " is in force on every proxy that may serve\n";
        co_return ExitCode::kDone;
      }
      progress.show(revision, *report);
    }
    co_await context.runtime.sleep_for(kPollInterval);
  }
  if (reason.failed()) report_failure(context, reason);
  context.errors << "cairnhollow: revision " << revision << " is not in force everywhere yet\n";
  co_return ExitCode::kNotInForce;
}

Awaitable<ExitCode> run_wait(CommandContext& context) {
  const ExitCode code = co_await wait_in_force(context, context.line.revision);
  co_return code;
}

}  // namespace cairnhollow::cli
