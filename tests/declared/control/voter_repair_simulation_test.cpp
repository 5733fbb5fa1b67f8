// Simulates the replacement of lost voters by standbys, followed by the loss of a second voter.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "tests/declared/control/control_fleet.h"

namespace cairnhollow::declared::control::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class VoterRepairSimulationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VoterRepairSimulationTest);
  CPPUNIT_TEST(standby_replaces_lost_voter);
  CPPUNIT_TEST(briefly_lost_voter_keeps_its_place);
  CPPUNIT_TEST(wiped_voter_rejoins_under_its_old_name);
  CPPUNIT_TEST(groups_of_wiped_voter_get_another_supervisor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void standby_replaces_lost_voter() {
    ControlFleet fleet(1);
    fleet.start();
    for (const auto& name : fleet.databases()) fleet.world().kill(name);
    fleet.start_standby(4);
    fleet.world().run_for(seconds(3));
    CPPUNIT_ASSERT(!is_voter(fleet, "control-4"));
    fleet.world().vanish("control-3");
    CPPUNIT_ASSERT(
        fleet.world().run_until([&] { return is_voter(fleet, "control-4"); }, seconds(60), seconds(1)));
    CPPUNIT_ASSERT(!is_voter(fleet, "control-3"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.count_events("voter_replaced"));
    // After the repair, a second voter may fail: two of the three current voters form a quorum.
    fleet.world().vanish("control-2");
    fleet.world().run_for(seconds(5));
    const auto outcome = fleet.apply({fleet.backend_object(1, false)});
    CPPUNIT_ASSERT(outcome && outcome->accepted);
    CPPUNIT_ASSERT(fleet.world().faults().empty());
  }

  void briefly_lost_voter_keeps_its_place() {
    ControlFleet fleet(2);
    fleet.start();
    for (const auto& name : fleet.databases()) fleet.world().kill(name);
    fleet.start_standby(4);
    fleet.world().run_for(seconds(3));
    fleet.world().kill("control-3");
    fleet.world().run_for(seconds(15));
    fleet.world().restart("control-3");
    fleet.world().run_for(seconds(40));
    CPPUNIT_ASSERT(is_voter(fleet, "control-3"));
    CPPUNIT_ASSERT(!is_voter(fleet, "control-4"));
  }

  void wiped_voter_rejoins_under_its_old_name() {
    ControlFleet fleet(3);
    fleet.start();
    for (const auto& name : fleet.databases()) fleet.world().kill(name);
    wipe(fleet, "control-3");
    CPPUNIT_ASSERT(fleet.world().run_until([&] { return fleet.count_events("voter_replaced") > 0; },
                                           seconds(20), seconds(1)));
    CPPUNIT_ASSERT(is_voter(fleet, "control-3"));
    // The replaced voter counts towards the quorum, so another voter may fail.
    fleet.world().vanish("control-2");
    fleet.world().run_for(seconds(5));
    const auto outcome = fleet.apply({fleet.backend_object(1, false)});
    CPPUNIT_ASSERT(outcome && outcome->accepted);
    CPPUNIT_ASSERT(fleet.world().faults().empty());
  }

  /// A wiped voter is live but has no configuration. If it kept its groups, nobody would replace their
  /// primaries.
  void groups_of_wiped_voter_get_another_supervisor() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      ControlFleet fleet(seed);
      fleet.start();
      const auto status = fleet.status("control-1");
      CPPUNIT_ASSERT(status && status->groups.size() == 1);
      const NodeName supervisor = status->groups.front().supervisor;
      wipe(fleet, supervisor.value);
      fleet.world().run_for(milliseconds(300));
      const std::string primary = fleet.primary();
      fleet.world().kill(primary);
      CPPUNIT_ASSERT(fleet.world().run_until([&] { return fleet.primary() != primary; }, seconds(2)));
    }
  }

 private:
  static void wipe(ControlFleet& fleet, const std::string& node) {
    fleet.world().vanish(node);
    fleet.world().disk(node).wipe();
    fleet.world().run_for(seconds(1));
    fleet.world().restart(node);
  }

  static bool is_voter(ControlFleet& fleet, const std::string& node) {
    const auto status = fleet.status("control-1");
    if (!status) return false;
    return std::any_of(status->members.begin(), status->members.end(), [&](const MemberStatus& member) {
      return member.member.node.value == node && member.member.role == consensus::MemberRole::kVoter;
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VoterRepairSimulationTest);

}  // namespace
}  // namespace cairnhollow::declared::control::testing
