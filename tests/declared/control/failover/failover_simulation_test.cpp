// Simulates failovers of a database group for each way in which a primary can be lost, with several seeds.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "tests/declared/control/control_fleet.h"

namespace cairnhollow::declared::control::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 4;
constexpr Duration kMaxGapAfterKill = seconds(1);
constexpr Duration kMaxGapAfterPartition = milliseconds(1500);
constexpr Duration kSlowSyncDelay = milliseconds(450);

class FailoverSimulationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailoverSimulationTest);
  CPPUNIT_TEST(elects_first_primary);
  CPPUNIT_TEST(replaces_killed_primary);
  CPPUNIT_TEST(events_name_subject_and_cause);
  CPPUNIT_TEST(records_observations_of_each_attempt);
  CPPUNIT_TEST(records_phases_in_order_with_grants_and_election_causes);
  CPPUNIT_TEST(replaces_frozen_primary_which_returns_as_replica);
  CPPUNIT_TEST(replaces_isolated_primary);
  CPPUNIT_TEST(replaces_primary_cut_off_from_replicas_only);
  CPPUNIT_TEST(fails_over_to_replicas_with_slow_disk_sync);
  CPPUNIT_TEST(restarted_primary_gives_up_its_role);
  CPPUNIT_TEST(fails_over_when_primary_and_supervisor_are_killed);
  CPPUNIT_TEST(replaces_second_primary_killed_after_first);
  CPPUNIT_TEST(keeps_primary_under_message_loss);
  CPPUNIT_TEST(fails_over_while_control_nodes_are_partitioned);
  CPPUNIT_TEST(thawed_control_node_keeps_primary);
  CPPUNIT_TEST(fails_over_without_configuration_quorum);
  CPPUNIT_TEST(isolated_control_node_grants_no_lease);
  CPPUNIT_TEST_SUITE_END();

 public:
  void elects_first_primary() {
    ControlFleet fleet(1);
    fleet.start();
    CPPUNIT_ASSERT(fleet.writer().acknowledged().size() >= 20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.count_events("primary_promoted"));
    CPPUNIT_ASSERT(fleet.world().faults().empty());
  }

  void replaces_killed_primary() {
    for_each_seed([](ControlFleet& fleet) {
      const std::string primary = fleet.primary();
      fleet.world().kill(primary);
      expect_replaced(fleet, primary, kMaxGapAfterKill);
    });
  }

  void events_name_subject_and_cause() {
    ControlFleet fleet(1);
    fleet.start();
    const std::string primary = fleet.primary();
    fleet.world().kill(primary);
    expect_replaced(fleet, primary, kMaxGapAfterKill);
    std::vector<FleetEvent> promotions;
    for (const auto& name : fleet.controls()) {
      std::uint64_t last_number = 0;
      for (const auto& event : fleet.events(name)) {
        CPPUNIT_ASSERT(event.number > last_number);
        CPPUNIT_ASSERT_EQUAL(name, event.node.value);
        last_number = event.number;
        if (event.kind == "primary_promoted") promotions.push_back(event);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, promotions.size());
    const auto failover = std::find_if(promotions.begin(), promotions.end(), [&](const FleetEvent& event) {
      return event.message.find("in place of " + primary) != std::string::npos;
    });
    CPPUNIT_ASSERT(failover != promotions.end());
    CPPUNIT_ASSERT_EQUAL(std::string("decks"), failover->subject);
    CPPUNIT_ASSERT(failover->message.find("cause: primary_silent") != std::string::npos);
    CPPUNIT_ASSERT(failover->message.find("; fence ") != std::string::npos);
  }

  void records_phases_in_order_with_grants_and_election_causes() {
    ControlFleet fleet(1);
    fleet.start();
    const std::string primary = fleet.primary();
    fleet.world().kill(primary);
    expect_replaced(fleet, primary, kMaxGapAfterKill);
    std::vector<std::string> kinds;
    for (const auto& name : fleet.controls()) {
      for (const auto& event : fleet.events(name)) {
        if (event.kind == "leader_elected")
          CPPUNIT_ASSERT(event.message.find("; cause: ") != std::string::npos);
        const bool is_latest = event.message.find("term 2") != std::string::npos;
        if (event.kind == "members_fenced" && is_latest) {
          CPPUNIT_ASSERT_MESSAGE(event.message, event.message.find(primary) == std::string::npos);
          CPPUNIT_ASSERT(event.message.starts_with("term 2 granted by "));
          CPPUNIT_ASSERT(event.message.find("log ends at ") != std::string::npos);
        }
        const bool is_phase = event.kind == "members_fenced" || event.kind == "primary_promoted";
        if (is_phase && is_latest) kinds.push_back(event.kind);
      }
    }
    CPPUNIT_ASSERT(kinds == (std::vector<std::string>{"members_fenced", "primary_promoted"}));
  }

  /// Operators read the detection time of a failover from its events.
  void records_observations_of_each_attempt() {
    ControlFleet fleet(1);
    fleet.start();
    const std::string primary = fleet.primary();
    fleet.world().vanish(primary);
    expect_replaced(fleet, primary, kMaxGapAfterPartition);
    const std::string seen = primary + " last answered ";
    std::size_t announced = 0;
    for (const auto& name : fleet.controls()) {
      for (const auto& event : fleet.events(name)) {
        if (event.kind != "failover_started" || event.message.find(seen) == std::string::npos) continue;
        ++announced;
        CPPUNIT_ASSERT_EQUAL(std::string("decks"), event.subject);
        CPPUNIT_ASSERT(event.message.starts_with("cause: primary_silent, found "));
        // The cause must persist for FailoverLimits::unresponsive_primary; the failover starts then, not at
        // the next tick.
        const auto held =
            std::stoi(event.message.substr(std::string("cause: primary_silent, found ").size()));
        CPPUNIT_ASSERT(held >= 350 && held <= 355);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, announced);
  }

  void replaces_frozen_primary_which_returns_as_replica() {
    for_each_seed([](ControlFleet& fleet) {
      const std::string primary = fleet.primary();
      fleet.world().freeze(primary);
      expect_replaced(fleet, primary, kMaxGapAfterPartition);
      fleet.world().thaw(primary);
      const std::uint64_t term = fleet.known().term;
      expect_settled(fleet, term, 3);
    });
  }

  void replaces_isolated_primary() {
    for_each_seed([](ControlFleet& fleet) {
      const std::string primary = fleet.primary();
      for (const auto& name : fleet.controls()) fleet.cut(primary, name);
      for (const auto& name : fleet.databases()) {
        if (name != primary) fleet.cut(primary, name);
      }
      fleet.cut(primary, "writer");
      expect_replaced(fleet, primary, kMaxGapAfterPartition);
      fleet.world().heal();
      expect_settled(fleet, fleet.known().term, 3);
    });
  }

  void replaces_primary_cut_off_from_replicas_only() {
    for_each_seed([](ControlFleet& fleet) {
      const std::string primary = fleet.primary();
      for (const auto& name : fleet.databases()) {
        if (name != primary) fleet.cut(primary, name);
      }
      expect_replaced(fleet, primary, kMaxGapAfterPartition);
      fleet.world().heal();
      expect_settled(fleet, fleet.known().term, 3);
    });
  }

  /// A fence syncs the term to disk, which here takes longer than the call timeout of the first attempt.
  void fails_over_to_replicas_with_slow_disk_sync() {
    for_each_seed([](ControlFleet& fleet) {
      const std::string primary = fleet.primary();
      for (const auto& name : fleet.databases()) {
        if (name == primary) continue;
        fleet.cut(primary, name);
        fleet.world().disk(name).sync_delay = kSlowSyncDelay;
      }
      const bool replaced = fleet.world().run_until([&] { return fleet.primary() != primary; }, seconds(6));
      const std::size_t failed = fleet.count_events("failover_failed");
      for (const auto& name : fleet.databases()) fleet.world().disk(name).sync_delay = milliseconds(2);
      fleet.world().heal();
      CPPUNIT_ASSERT_MESSAGE(std::to_string(failed) + " failed failover attempts", replaced);
      CPPUNIT_ASSERT(fleet.run_until_acknowledged(20, seconds(10)));
    });
  }

  void restarted_primary_gives_up_its_role() {
    for_each_seed([](ControlFleet& fleet) {
      const std::string primary = fleet.primary();
      const std::uint64_t term = fleet.known().term;
      const TimePoint at = fleet.world().now();
      fleet.world().kill(primary);
      fleet.world().run_for(milliseconds(50));
      fleet.world().restart(primary);
      CPPUNIT_ASSERT(fleet.run_until_acknowledged(20, seconds(10)));
      CPPUNIT_ASSERT(fleet.known().term > term);
      CPPUNIT_ASSERT(fleet.writer().longest_gap_after(at) <= kMaxGapAfterKill);
      expect_settled(fleet, fleet.known().term, 3);
    });
  }

  void fails_over_when_primary_and_supervisor_are_killed() {
    for_each_seed([](ControlFleet& fleet) {
      const std::string primary = fleet.primary();
      const auto status = fleet.status("control-1");
      CPPUNIT_ASSERT(status && !status->groups.empty());
      fleet.world().kill(status->groups[0].supervisor.value);
      fleet.world().kill(primary);
      expect_replaced(fleet, primary, seconds(3));
    });
  }

  void replaces_second_primary_killed_after_first() {
    // With five members, a majority remains after two are lost.
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      ControlFleet fleet(seed, 5);
      fleet.start();
      const std::string first = fleet.primary();
      fleet.world().kill(first);
      CPPUNIT_ASSERT(fleet.world().run_until([&] { return fleet.primary() != first; }, seconds(5)));
      const std::string second = fleet.primary();
      fleet.world().kill(second);
      expect_replaced(fleet, second, seconds(2));
      CPPUNIT_ASSERT(fleet.primary() != first);
    }
  }

  void keeps_primary_under_message_loss() {
    for_each_seed([](ControlFleet& fleet) {
      const auto known = fleet.known();
      fleet.world().network().faults().set_loss(0.05);
      fleet.world().run_for(seconds(20));
      fleet.world().network().faults().set_loss(0);
      CPPUNIT_ASSERT(fleet.run_until_acknowledged(20, seconds(10)));
      CPPUNIT_ASSERT_EQUAL(known.term, fleet.known().term);
    });
  }

  void fails_over_while_control_nodes_are_partitioned() {
    for_each_seed([](ControlFleet& fleet) {
      // Each control node considers itself the supervisor; the databases are reachable from all of them.
      fleet.cut("control-1", "control-2");
      fleet.cut("control-2", "control-3");
      fleet.cut("control-1", "control-3");
      fleet.world().run_for(seconds(5));
      const std::string primary = fleet.primary();
      fleet.world().kill(primary);
      fleet.world().run_for(seconds(5));
      fleet.world().heal();
      CPPUNIT_ASSERT(fleet.run_until_acknowledged(20, seconds(20)));
      CPPUNIT_ASSERT(fleet.primary() != primary);
      expect_settled(fleet, fleet.known().term, 2);
    });
  }

  void thawed_control_node_keeps_primary() {
    for_each_seed([](ControlFleet& fleet) {
      const auto known = fleet.known();
      for (const auto& name : fleet.controls()) {
        fleet.world().freeze(name);
        fleet.world().run_for(seconds(4));
        fleet.world().thaw(name);
        fleet.world().run_for(seconds(2));
      }
      CPPUNIT_ASSERT(fleet.run_until_acknowledged(20, seconds(10)));
      CPPUNIT_ASSERT_EQUAL(known.term, fleet.known().term);
    });
  }

  void fails_over_without_configuration_quorum() {
    for_each_seed([](ControlFleet& fleet) {
      fleet.world().kill("control-2");
      fleet.world().kill("control-3");
      fleet.world().run_for(seconds(2));
      const std::string primary = fleet.primary();
      fleet.world().kill(primary);
      fleet.world().run_for(seconds(3));
      const auto status = fleet.status("control-1");
      CPPUNIT_ASSERT(status && status->groups.size() == 1);
      CPPUNIT_ASSERT(status->groups[0].primary.value != primary);
      CPPUNIT_ASSERT(!status->groups[0].primary.empty());
    });
  }

  void isolated_control_node_grants_no_lease() {
    ControlFleet fleet(1);
    fleet.start();
    // No writes are needed, and ten minutes simulate faster without databases.
    for (const auto& name : fleet.databases()) fleet.world().kill(name);
    // The writer reaches only control-1, which is cut off from the other control nodes.
    for (const auto& name : {"control-2", "control-3"}) {
      fleet.cut("control-1", name);
      fleet.cut("writer", name);
    }
    fleet.world().run_for(seconds(3));
    auto& runtime = fleet.world().runtime("writer");
    for (int minute = 0; minute < 10; ++minute) {
      CPPUNIT_ASSERT(!fleet.writer().follower().lease_valid(runtime.now()));
      fleet.world().run_for(seconds(60));
    }
    fleet.world().heal();
    fleet.world().run_for(seconds(5));
    CPPUNIT_ASSERT(fleet.writer().follower().lease_valid(runtime.now()));
    CPPUNIT_ASSERT(fleet.world().faults().empty());
  }

 private:
  template <class Body>
  static void for_each_seed(Body body) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ControlFleet fleet(seed);
      fleet.start();
      body(fleet);
      CPPUNIT_ASSERT(fleet.world().faults().empty());
    }
  }

  /// Call immediately after the primary `lost` has failed.
  static void expect_replaced(ControlFleet& fleet, const std::string& lost, Duration gap_limit) {
    const std::uint64_t term = fleet.known().term;
    const TimePoint at = fleet.world().now();
    CPPUNIT_ASSERT(fleet.world().run_until([&] { return fleet.primary() != lost; }, seconds(20)));
    CPPUNIT_ASSERT(fleet.run_until_acknowledged(20, seconds(10)));
    CPPUNIT_ASSERT(fleet.known().term > term);
    const Duration gap = fleet.writer().longest_gap_after(at);
    CPPUNIT_ASSERT_MESSAGE("write gap of " + std::to_string(gap.count() / 1'000'000) + " ms",
                           gap <= gap_limit);
  }

  /// Expects that after 4 s every running control node reports the same primary, that `members` members are
  /// in `term`, and that the term has not changed.
  static void expect_settled(ControlFleet& fleet, std::uint64_t term, std::size_t members) {
    fleet.world().run_for(seconds(4));
    CPPUNIT_ASSERT_EQUAL(term, fleet.known().term);
    std::size_t in_term = 0;
    for (const auto& name : fleet.controls()) {
      if (!fleet.world().running(name)) continue;
      const auto status = fleet.status(name);
      CPPUNIT_ASSERT(status && status->groups.size() == 1);
      CPPUNIT_ASSERT_EQUAL(fleet.primary(), status->groups[0].primary.value);
      std::size_t count = 0;
      for (const auto& member : status->groups[0].members) {
        if (member.reachable && member.term == term) ++count;
      }
      in_term = std::max(in_term, count);
    }
    CPPUNIT_ASSERT_EQUAL(members, in_term);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverSimulationTest);

}  // namespace
}  // namespace cairnhollow::declared::control::testing
