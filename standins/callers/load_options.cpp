#include "standins/callers/load_options.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <charconv>
#include <map>

#include "cli/settings_reader.h"
#include "standins/callers/load_program.h"

namespace cairnhollow::standins::callers {

namespace {

constexpr const char* kUsage = R"(cairnhollow-load: callers of both deployments, and a judge of what they saw.

Usage:
  cairnhollow-load run --proxy=ADDRESS... [options]
  cairnhollow-load check HISTORY [options]
  cairnhollow-load (-h | --help)
  cairnhollow-load --version

Commands:
  run    Offers operations at a fixed mean rate, whether the system keeps up or not, and checks at the
         end that nothing was lost, doubled or stale.
  check  Checks the history that an earlier run wrote.

Options:
  --proxy=ADDRESS      A proxy's caller endpoint; give several and sessions move between them.
  --profile=NAME       study-card or scooter-fleet [default: study-card].
  --rate=NUMBER        Operations a second, mean of a Poisson process [default: 100].
  --duration=DURATION  How long operations are offered, e.g. 30s [default: 10s].
  --sessions=NUMBER    Callers [default: 60].
  --deadline=DURATION  Of one statement [default: 5s].
  --patience=DURATION  How long a caller tries one operation again [default: 20s].
  --run-name=NAME      Part of every key, so that runs do not meet; else made from the seed.
  --seed=NUMBER        Of the choice of operations; else taken from the system.
  --history=FILE       Write what the callers saw, one JSON object a line.
  --report=FILE        Write the report as JSON.
  --json               Print the report as JSON instead of text.
  -h --help            Show this text.
  --version            Show the version.

Exit codes: 0 passed, 1 a promise was broken or the run could not be judged, 2 wrong flags.
)";

using DocoptValues = std::map<std::string, docopt::value>;

/// Reads options and keeps all faults, one a line.
class OptionReader {
 public:
  explicit OptionReader(const DocoptValues& values) : values_(values) {}

  [[nodiscard]] const std::string& faults() const { return faults_; }

  [[nodiscard]] std::optional<std::string> text(const std::string& name) const {
    const docopt::value& value = values_.at(name);
    if (!value.isString()) return std::nullopt;
    return value.asString();
  }

  template <class Number>
  void number(const std::string& name, Number lowest, Number highest, Number& result) {
    const auto given = text(name);
    if (!given) return;
    Number parsed{};
    const auto [end, error] = std::from_chars(given->data(), given->data() + given->size(), parsed);
    const bool whole = error == std::errc() && end == given->data() + given->size();
    if (whole && parsed >= lowest && parsed <= highest) {
      result = parsed;
    } else {
      fail(name, *given, fmt::format("must be a number from {} to {}", lowest, highest));
    }
  }

  void duration(const std::string& name, Duration& result) {
    const auto given = text(name);
    if (!given) return;
    const auto parsed = cli::parse_duration(*given);
    if (parsed && *parsed > Duration(0)) {
      result = *parsed;
    } else {
      fail(name, *given, "must be a number and a unit, e.g. 30s");
    }
  }

  void endpoints(const std::string& name, std::vector<Endpoint>& result) {
    for (const std::string& given : values_.at(name).asStringList()) {
      const auto endpoint = parse_endpoint(given);
      if (endpoint) {
        result.push_back(*endpoint);
      } else {
        fail(name, given, "must be an IP address and a port, e.g. 127.0.0.1:21031");
      }
    }
  }

  void profile(const std::string& name, Profile& result) {
    const auto given = text(name);
    if (!given) return;
    const auto parsed = parse_profile(*given);
    if (parsed) {
      result = *parsed;
    } else {
      fail(name, *given, "must be study-card or scooter-fleet");
    }
  }

 private:
  void fail(const std::string& name, const std::string& given, const std::string& why) {
    faults_ += fmt::format("{} {}: {}\n", name, given, why);
  }

  const DocoptValues& values_;
  std::string faults_;
};

constexpr double kHighestRate = 1e6;
constexpr std::uint32_t kMostSessions = 100'000;

void read_load_settings(OptionReader& reader, LoadSettings& load) {
  reader.endpoints("--proxy", load.caller.proxies);
  reader.profile("--profile", load.profile);
  reader.number("--rate", 0.01, kHighestRate, load.operations_per_second);
  reader.duration("--duration", load.duration);
  reader.number("--sessions", 1U, kMostSessions, load.sessions);
  reader.duration("--deadline", load.caller.statement_limit);
  reader.duration("--patience", load.caller.operation_limit);
}

LoadOptionsOutcome to_options(const DocoptValues& values) {
  LoadOptions options;
  OptionReader reader(values);
  const bool is_check = values.at("check").asBool();
  options.command = is_check ? LoadCommand::kCheck : LoadCommand::kRun;
  if (!is_check) read_load_settings(reader, options.load);
  options.seed = random_load_seed();
  reader.number("--seed", std::uint64_t{0}, std::numeric_limits<std::uint64_t>::max(), options.seed);
  options.load.run_name = reader.text("--run-name").value_or(fmt::format("run-{:x}", options.seed));
  options.history_file = reader.text(is_check ? "HISTORY" : "--history").value_or("");
  options.report_file = reader.text("--report").value_or("");
  options.json = values.at("--json").asBool();
  if (!reader.faults().empty()) return {std::nullopt, kLoadExitUsage, reader.faults()};
  return {options, kLoadExitPassed, ""};
}

}  // namespace

LoadOptionsOutcome parse_load_options(const std::vector<std::string>& arguments) {
  try {
    return to_options(docopt::docopt_parse(kUsage, arguments, true, true, false));
  } catch (const docopt::DocoptExitHelp&) {
    return {std::nullopt, kLoadExitPassed, kUsage};
  } catch (const docopt::DocoptExitVersion&) {
    return {std::nullopt, kLoadExitPassed, fmt::format("cairnhollow-load {}\n", CAIRNHOLLOW_VERSION)};
  } catch (const docopt::DocoptArgumentError& error) {
    return {std::nullopt, kLoadExitUsage, fmt::format("{}\n\n{}", error.what(), kUsage)};
  }
}

}  // namespace cairnhollow::standins::callers
