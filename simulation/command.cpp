#include "simulation/command.h"

#include <docopt.h>
#include <fmt/format.h>

#include <map>
#include <stdexcept>
#include <thread>

#include "simulation/report.h"
#include "simulation/scenario_runner.h"

namespace cairnhollow::simulation {

namespace {

constexpr int kExitHeld = 0;
constexpr int kExitViolated = 1;
constexpr int kExitUsage = 2;

constexpr const char* kUsage = R"(Deterministic simulation of whole deployments under failure.

Usage:
  cairnhollow-sim list
  cairnhollow-sim run SCENARIO [--seeds=RANGE] [--profile=P] [--workers=N] [--log] [--hashes] [--gaps]
  cairnhollow-sim explore [--seeds=RANGE] [--profile=P] [--workers=N] [--log] [--hashes] [--gaps]
  cairnhollow-sim (-h | --help | --version)

Commands:
  list     The scenarios, a line each.
  run      Runs one scenario, or `all`, with each seed, and checks every promise after each run.
  explore  As run, with random faults, several at once, chosen by the seed.

Options:
  --seeds=RANGE   One seed or a range, e.g. 7 or 1-50 [default: 1-10].
  --profile=P     study-card, scooter-fleet or both [default: both].
  --workers=N     Threads; 0 takes one a hardware thread [default: 0].
  --log           Prints the log lines of every simulated process; for single runs.
  --hashes        Prints the trace's hash of each run.
  --gaps          Prints the longest write gap of each run.
  -h --help       This text.
  --version       The version.

Exit status: 0 when every checker held, 1 on a violation, 2 on wrong arguments.
)";

struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 1;
};

SeedRange parse_seeds(const std::string& text) {
  std::size_t used = 0;
  SeedRange range;
  range.first = range.last = std::stoull(text, &used);
  if (used < text.size() && text[used] == '-') {
    const std::string rest = text.substr(used + 1);
    range.last = std::stoull(rest, &used);
    if (used != rest.size()) throw std::invalid_argument("seeds: " + text);
  } else if (used != text.size()) {
    throw std::invalid_argument("seeds: " + text);
  }
  if (range.first > range.last) throw std::invalid_argument("seeds: " + text);
  return range;
}

std::vector<standins::callers::Profile> parse_profiles(const std::string& text) {
  using standins::callers::Profile;
  if (text == "both") return {Profile::kStudyCard, Profile::kScooterFleet};
  const auto profile = standins::callers::parse_profile(text);
  if (!profile) throw std::invalid_argument("profile: " + text);
  return {*profile};
}

unsigned parse_workers(const std::string& text) {
  const auto workers = static_cast<unsigned>(std::stoul(text));
  return workers == 0 ? std::max(1U, std::thread::hardware_concurrency()) : workers;
}

struct RunOptions {
  SeedRange seeds;
  unsigned workers = 1;
  bool print_log = false;
  bool print_hashes = false;
  bool print_gaps = false;
};

ScenarioReport run_one(const Scenario& scenario, standins::callers::Profile profile,
                       const RunOptions& options) {
  ScenarioReport report(scenario.name, profile);
  const auto run = [&](std::uint64_t seed) {
    return run_scenario(scenario, RunSettings{profile, seed, options.print_log});
  };
  const auto take = [&](const RunResult& result) {
    report.add(result);
    if (options.print_hashes) fmt::print("seed {} trace {:016x}\n", result.seed, result.trace_hash);
    if (options.print_gaps) fmt::print("seed {} {}\n", result.seed, gap_text(result));
    if (!result.violations.empty()) print_violations(scenario.name, profile, result);
  };
  run_seeds(options.seeds.first, options.seeds.last, options.workers, run, take);
  fmt::print("{}\n", report.to_text());
  std::fflush(stdout);
  return report;
}

int list_scenarios() {
  for (const Scenario& scenario : all_scenarios()) {
    fmt::print("{:<34} {}\n", scenario.name, scenario.summary);
  }
  return kExitHeld;
}

std::vector<Scenario> chosen_scenarios(std::map<std::string, docopt::value>& arguments) {
  if (arguments["explore"].asBool()) return {explore_scenario()};
  const std::string name = arguments["SCENARIO"].asString();
  if (name == "all") return all_scenarios();
  const Scenario* scenario = find_scenario(name);
  if (scenario == nullptr) throw std::invalid_argument("no scenario named " + name);
  return {*scenario};
}

int run_scenarios(std::map<std::string, docopt::value>& arguments) {
  RunOptions options;
  options.seeds = parse_seeds(arguments["--seeds"].asString());
  options.workers = parse_workers(arguments["--workers"].asString());
  options.print_log = arguments["--log"].asBool();
  options.print_hashes = arguments["--hashes"].asBool();
  options.print_gaps = arguments["--gaps"].asBool();
  const auto profiles = parse_profiles(arguments["--profile"].asString());
  bool held = true;
  for (const Scenario& scenario : chosen_scenarios(arguments)) {
    for (const auto profile : profiles) {
      held = run_one(scenario, profile, options).violated_seeds() == 0 && held;
    }
  }
  return held ? kExitHeld : kExitViolated;
}

}  // namespace

int run_command(int argument_count, char** argument_values) {
  try {
    const std::vector<std::string> words(argument_values + 1, argument_values + argument_count);
    auto arguments = docopt::docopt(kUsage, words, true, "cairnhollow-sim " CAIRNHOLLOW_VERSION);
    if (arguments["list"].asBool()) return list_scenarios();
    return run_scenarios(arguments);
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitUsage;
  }
}

}  // namespace cairnhollow::simulation
