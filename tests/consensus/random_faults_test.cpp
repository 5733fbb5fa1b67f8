// Raft safety under random faults, over many seeds.
//
// CAIRNHOLLOW_CONSENSUS_SEEDS=first-last runs these seeds instead of the short list; _LOG=1 prints the log.
#include "tests/consensus/random_faults.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cstdlib>

namespace cairnhollow::consensus {
namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kLastSeed = 24;

struct SeedRange {
  std::uint64_t first = kFirstSeed;
  std::uint64_t last = kLastSeed;
};

SeedRange chosen_seeds() {
  const char* chosen = std::getenv("CAIRNHOLLOW_CONSENSUS_SEEDS");
  if (chosen == nullptr) return SeedRange{};
  const std::string text = chosen;
  const std::size_t dash = text.find('-');
  const std::uint64_t first = std::stoull(text);
  return SeedRange{first, dash == std::string::npos ? first : std::stoull(text.substr(dash + 1))};
}

class RandomFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RandomFaultsTest);
  CPPUNIT_TEST(safety_and_liveness_hold_for_every_seed);
  CPPUNIT_TEST(same_seed_repeats_the_run);
  CPPUNIT_TEST_SUITE_END();

 public:
  void safety_and_liveness_hold_for_every_seed() {
    const SeedRange seeds = chosen_seeds();
    std::size_t acknowledged = 0;
    std::size_t barriers = 0;
    std::size_t leaders = 0;
    std::size_t changes = 0;
    std::size_t faults = 0;
    std::string broken;
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
      RandomFaultSettings settings;
      settings.seed = seed;
      settings.print_log = std::getenv("CAIRNHOLLOW_CONSENSUS_LOG") != nullptr;
      RandomFaultRun run(settings);
      for (const std::string& failure : run.run()) broken += fmt::format("seed {}: {}\n", seed, failure);
      acknowledged += run.cluster().checks().acknowledged();
      barriers += run.cluster().checks().barriers();
      leaders += run.cluster().checks().leaders();
      changes += run.changes();
      faults += run.faults();
    }
    fmt::print("{} seeds: {} acknowledged, {} barriers, {} leaders, {} member changes, {} faults\n",
               seeds.last - seeds.first + 1, acknowledged, barriers, leaders, changes, faults);
    CPPUNIT_ASSERT_MESSAGE(broken, broken.empty());
    // Guards against vacuous runs: proposals must succeed between the faults.
    const std::uint64_t count = seeds.last - seeds.first + 1;
    CPPUNIT_ASSERT(acknowledged > 20 * count);
    CPPUNIT_ASSERT(barriers > 20 * count);
    CPPUNIT_ASSERT(leaders > 2 * count);
  }

  void same_seed_repeats_the_run() {
    const auto hash_of = [](std::uint64_t seed) {
      RandomFaultSettings settings;
      settings.seed = seed;
      settings.duration = std::chrono::seconds(3);
      RandomFaultRun run(settings);
      run.run();
      return run.cluster().world().trace().hash();
    };
    const std::uint64_t first = hash_of(5);
    CPPUNIT_ASSERT_EQUAL(first, hash_of(5));
    CPPUNIT_ASSERT(first != hash_of(6));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomFaultsTest);

}  // namespace
}  // namespace cairnhollow::consensus
