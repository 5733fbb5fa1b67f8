#include "tests/support/registered_scenario.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cstdlib>
#include <string>
#include <utility>

namespace cairnhollow::tests {

namespace {

/// CAIRNHOLLOW_REGISTERED_SEEDS=first-last chooses others than the short list.
std::pair<std::uint64_t, std::uint64_t> seeds() {
  const char* text = std::getenv("CAIRNHOLLOW_REGISTERED_SEEDS");
  if (text == nullptr) return {1, 3};
  const std::string range(text);
  const auto dash = range.find('-');
  return {std::stoull(range.substr(0, dash)), std::stoull(range.substr(dash + 1))};
}

}  // namespace

void play_registered(const std::function<void(simulation::RegisteredFleetSettings&)>& set,
                     const std::function<void(simulation::RegisteredFleet&)>& scenario) {
  const auto [first, last] = seeds();
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    simulation::RegisteredFleetSettings settings;
    settings.seed = seed;
    settings.print_log = std::getenv("CAIRNHOLLOW_PRINT_LOG") != nullptr;
    if (set) set(settings);
    simulation::RegisteredFleet fleet(settings);
    CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: did not start", seed), fleet.start());
    scenario(fleet);
    const auto violations = fleet.finish();
    if (std::getenv("CAIRNHOLLOW_PRINT_HASHES") != nullptr) {
      fmt::print("seed {} trace {:016x}\n", seed, fleet.world().trace().hash());
    }
    const std::string first_violation = violations.empty() ? "" : violations.front();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}: {} violations", seed, violations.size()),
                                 std::string(), first_violation);
  }
}

}  // namespace cairnhollow::tests
