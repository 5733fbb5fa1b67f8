// Simulates planned changes of a primary: operator switchovers, and backends that are drained or reclaimed.
#include <cppunit/extensions/HelperMacros.h>

#include "tests/declared/control/control_fleet.h"

namespace cairnhollow::declared::control::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 4;
/// A planned switchover blocks writes for only a few round trips.
constexpr Duration kMaxSwitchoverGap = milliseconds(150);

class LeavingSimulationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeavingSimulationTest);
  CPPUNIT_TEST(switches_over_to_selected_member);
  CPPUNIT_TEST(refuses_switchover_if_selector_matches_no_member);
  CPPUNIT_TEST(drained_primary_hands_over);
  CPPUNIT_TEST(primary_on_reclaimed_machine_hands_over);
  CPPUNIT_TEST(switchover_to_dead_member_keeps_primary);
  CPPUNIT_TEST(drain_with_lost_member_blocks_no_writes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void switches_over_to_selected_member() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ControlFleet fleet(seed);
      fleet.start();
      for (const std::string zone : {"1", "2", "3", "1"}) {
        const TimePoint at = fleet.world().now();
        Reason reason;
        const auto outcome = fleet.switch_over(zone_selector("zone-" + zone), reason);
        CPPUNIT_ASSERT_MESSAGE(reason.to_string(), outcome.has_value());
        CPPUNIT_ASSERT_EQUAL("decks-" + zone, outcome->primary.value);
        CPPUNIT_ASSERT(fleet.run_until_acknowledged(20, seconds(5)));
        CPPUNIT_ASSERT_EQUAL("decks-" + zone, fleet.primary());
        const Duration gap = fleet.writer().longest_gap_after(at);
        CPPUNIT_ASSERT_MESSAGE("write gap of " + std::to_string(gap.count() / 1'000'000) + " ms",
                               gap <= kMaxSwitchoverGap);
      }
      CPPUNIT_ASSERT(fleet.world().faults().empty());
    }
  }

  void refuses_switchover_if_selector_matches_no_member() {
    ControlFleet fleet(1);
    fleet.start();
    const auto before = fleet.known();
    Reason reason;
    CPPUNIT_ASSERT(!fleet.switch_over(zone_selector("zone-9"), reason));
    CPPUNIT_ASSERT(reason.code == ReasonCode::kNotFound);
    fleet.world().run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(before.term, fleet.known().term);
  }

  void drained_primary_hands_over() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ControlFleet fleet(seed);
      fleet.start();
      const std::string leaving = fleet.primary();
      const auto zone = static_cast<std::size_t>(std::stoi(leaving.substr(leaving.size() - 1)));
      const TimePoint at = fleet.world().now();
      const auto outcome = fleet.apply({fleet.backend_object(zone, true)});
      CPPUNIT_ASSERT(outcome && outcome->accepted);
      CPPUNIT_ASSERT(fleet.world().run_until([&] { return fleet.primary() != leaving; }, seconds(3)));
      CPPUNIT_ASSERT(fleet.run_until_acknowledged(20, seconds(5)));
      CPPUNIT_ASSERT(fleet.writer().longest_gap_after(at) <= kMaxSwitchoverGap);
      // The primary role is not handed back.
      const auto known = fleet.known();
      fleet.world().run_for(seconds(5));
      CPPUNIT_ASSERT_EQUAL(known.term, fleet.known().term);
    }
  }

  void primary_on_reclaimed_machine_hands_over() {
    ControlFleet fleet(3);
    fleet.start();
    fleet.start_platform();
    fleet.world().run_for(seconds(3));
    const std::string leaving = fleet.primary();
    const auto term = fleet.known().term;
    // A list that reports the machine as live changes nothing.
    fleet.set_machine(leaving, "live");
    fleet.world().run_for(seconds(4));
    CPPUNIT_ASSERT_EQUAL(term, fleet.known().term);
    const TimePoint at = fleet.world().now();
    fleet.set_machine(leaving, "leaving");
    CPPUNIT_ASSERT(fleet.world().run_until([&] { return fleet.primary() != leaving; }, seconds(5)));
    // Each control node polls the platform itself, so the one that the writer follows may learn it a little
    // later.
    const auto& leaving_now = fleet.writer().follower().current().leaving;
    CPPUNIT_ASSERT(fleet.world().run_until([&] { return leaving_now.contains(leaving); }, seconds(2)));
    CPPUNIT_ASSERT(fleet.run_until_acknowledged(20, seconds(5)));
    CPPUNIT_ASSERT(fleet.writer().longest_gap_after(at) <= kMaxSwitchoverGap);
    // A machine that disappears from the list is still considered leaving.
    fleet.set_machine(leaving, "gone");
    fleet.world().run_for(seconds(4));
    CPPUNIT_ASSERT(leaving_now.contains(leaving));
  }

  void switchover_to_dead_member_keeps_primary() {
    ControlFleet fleet(2);
    fleet.start();
    const std::string primary = fleet.primary();
    const std::string dead = primary == "decks-1" ? "decks-2" : "decks-1";
    fleet.world().kill(dead);
    fleet.world().run_for(seconds(1));
    const auto before = fleet.known();
    const TimePoint at = fleet.world().now();
    Reason reason;
    CPPUNIT_ASSERT(!fleet.switch_over(zone_selector("zone-" + dead.substr(dead.size() - 1)), reason));
    CPPUNIT_ASSERT(reason.failed());
    fleet.world().run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(before.primary.value, fleet.primary());
    CPPUNIT_ASSERT(fleet.writer().longest_gap_after(at) <= kMaxSwitchoverGap);
  }

  /// Too few members remain to fence a majority without the primary, so the primary must keep its role.
  void drain_with_lost_member_blocks_no_writes() {
    ControlFleet fleet(2);
    fleet.start();
    const std::string primary = fleet.primary();
    const std::string dead = primary == "decks-1" ? "decks-2" : "decks-1";
    const std::string left = primary == "decks-3" ? "decks-2" : "decks-3";
    fleet.world().kill(dead);
    fleet.world().run_for(seconds(1));
    const auto before = fleet.known();
    const TimePoint at = fleet.world().now();
    const auto zone = static_cast<std::size_t>(std::stoi(primary.substr(primary.size() - 1)));
    const auto outcome = fleet.apply({fleet.backend_object(zone, true)});
    CPPUNIT_ASSERT(outcome && outcome->accepted);
    fleet.world().run_for(seconds(5));
    Reason reason;
    CPPUNIT_ASSERT(!fleet.switch_over(zone_selector("zone-" + left.substr(left.size() - 1)), reason));
    CPPUNIT_ASSERT_MESSAGE(reason.to_string(), reason.code == ReasonCode::kNoBackend);
    fleet.world().run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(before.term, fleet.known().term);
    CPPUNIT_ASSERT(fleet.writer().longest_gap_after(at) <= kMaxSwitchoverGap);
  }

 private:
  static config::Selector zone_selector(const std::string& zone) {
    config::Selector selector;
    selector.match_labels.entries["zone"] = zone;
    return selector;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingSimulationTest);

}  // namespace
}  // namespace cairnhollow::declared::control::testing
