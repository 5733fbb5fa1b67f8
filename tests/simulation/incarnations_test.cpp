// Databases that start again under their names, in a registered fleet: what callers saw is judged at the end.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tests/support/registered_scenario.h"

namespace cairnhollow::simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void check(const std::function<void(RegisteredFleet&)>& scenario) {
  tests::play_registered([](RegisteredFleetSettings& settings) { settings.backends_tell_birth = true; },
                         scenario);
}

/// A member that does not lead, and is not `other`.
std::string replica_beside(RegisteredFleet& fleet, const std::string& other = "") {
  for (const char* name : {"g1-b1", "g1-b2", "g1-b3"}) {
    if (name != fleet.primary() && name != other) return name;
  }
  return "";
}

/// Primary and replica in turn.
void restart_one_after_the_other(RegisteredFleet& fleet) {
  for (int round = 0; round < 6; ++round) {
    const std::string next = round % 2 == 0 ? fleet.primary() : replica_beside(fleet);
    if (!next.empty()) fleet.restart_empty(next);
    fleet.run_for(seconds(4));
  }
  const std::uint64_t before = fleet.acknowledged();
  fleet.run_for(seconds(2));
  CPPUNIT_ASSERT(fleet.acknowledged() > before + 20);
}

}  // namespace

class IncarnationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IncarnationsTest);
  CPPUNIT_TEST(a_removed_database_serves_again_in_its_next_incarnation);
  CPPUNIT_TEST(late_heartbeats_of_a_former_incarnation_change_nothing_wherever_they_arrive);
  CPPUNIT_TEST(a_primary_that_starts_again_empty_is_replaced);
  CPPUNIT_TEST(a_primary_that_control_has_not_heard_again_of_shows_nothing_old);
  CPPUNIT_TEST(an_empty_replica_is_not_counted_for_a_primary_that_is_cut_off);
  CPPUNIT_TEST(a_member_without_its_log_gives_no_lease);
  CPPUNIT_TEST(a_member_that_was_never_asked_before_gives_none_either);
  CPPUNIT_TEST(databases_start_again_one_after_the_other);
  CPPUNIT_TEST(what_is_about_to_be_sent_does_not_go_to_a_next_incarnation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_removed_database_serves_again_in_its_next_incarnation() {
    check([](RegisteredFleet& fleet) {
      const std::string replica = replica_beside(fleet);
      fleet.database(replica).deregister();
      fleet.run_for(seconds(1));
      CPPUNIT_ASSERT(!fleet.is_registered(BackendName(replica)));
      fleet.restart_empty(replica);
      fleet.run_for(seconds(4));
      CPPUNIT_ASSERT(fleet.is_registered(BackendName(replica)));
      CPPUNIT_ASSERT(fleet.database(replica).statements_run() > 20);
    });
  }

  void late_heartbeats_of_a_former_incarnation_change_nothing_wherever_they_arrive() {
    check([](RegisteredFleet& fleet) {
      const std::string replica = replica_beside(fleet);
      const std::uint64_t former = fleet.registered_birth(BackendName(replica));
      fleet.restart_empty(replica);
      fleet.run_for(seconds(2));
      const std::uint64_t born = fleet.registered_birth(BackendName(replica));
      CPPUNIT_ASSERT(born > former);
      standins::registered::Heartbeat late;
      late.leaving = true;
      late.sequence = 1'000;
      late.born_ms = former;
      for (const char* node : {"control-1", "control-2", "proxy-1", "proxy-2"}) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(node, 200U, fleet.deliver_heartbeat(node, replica, late));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(node, born, fleet.registered_birth(BackendName(replica)));
        CPPUNIT_ASSERT_MESSAGE(node, !fleet.is_leaving(BackendName(replica)));
      }
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.group().promotions());
    });
  }

  void a_primary_that_starts_again_empty_is_replaced() {
    check([](RegisteredFleet& fleet) {
      const std::string old_primary = fleet.primary();
      fleet.run_for(seconds(1));
      fleet.restart_empty(old_primary);
      const std::uint64_t before = fleet.acknowledged();
      fleet.run_for(seconds(5));
      CPPUNIT_ASSERT(fleet.group().promotions() >= 1);
      CPPUNIT_ASSERT(fleet.acknowledged() > before + 50);
      CPPUNIT_ASSERT(fleet.primary() != old_primary);
    });
  }

  /// Its next incarnation can't register, and proxies reach it under a good lease.
  void a_primary_that_control_has_not_heard_again_of_shows_nothing_old() {
    check([](RegisteredFleet& fleet) {
      const std::string old_primary = fleet.primary();
      fleet.run_for(seconds(1));
      fleet.cut_from_all_control(old_primary);
      fleet.restart_empty(old_primary);
      const std::uint64_t before = fleet.acknowledged();
      fleet.run_for(seconds(5));
      CPPUNIT_ASSERT(fleet.acknowledged() > before + 20);
    });
  }

  /// The replica that heard the newest commits starts again empty while the primary is out of reach, and the
  /// other has heard nothing for a while: only the primary still holds them.
  void an_empty_replica_is_not_counted_for_a_primary_that_is_cut_off() {
    check([](RegisteredFleet& fleet) {
      const std::string old_primary = fleet.primary();
      const std::string holder = replica_beside(fleet);
      const std::string deaf = replica_beside(fleet, holder);
      fleet.run_for(seconds(4));
      fleet.group().member(BackendName(deaf)).deaf = true;
      fleet.run_for(seconds(1));
      for (const char* other : {"proxy-1", "proxy-2", "proxy-3"}) fleet.cut(old_primary, other);
      fleet.cut(old_primary, holder);
      fleet.cut(old_primary, deaf);
      fleet.cut_from_all_control(old_primary);
      // The proxies that acknowledged them are gone, too.
      for (const char* proxy : {"proxy-1", "proxy-2", "proxy-3"}) fleet.kill(proxy);
      fleet.restart_empty(holder);
      for (const char* proxy : {"proxy-1", "proxy-2", "proxy-3"}) fleet.restart(proxy);
      fleet.run_for(seconds(6));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.group().promotions());
      fleet.heal();
      fleet.group().member(BackendName(deaf)).deaf = false;
      fleet.run_for(seconds(4));
    });
  }

  /// Its pause, if there was one, is gone with its former incarnation.
  void a_member_without_its_log_gives_no_lease() {
    check([](RegisteredFleet& fleet) {
      const std::string replica = replica_beside(fleet);
      fleet.run_for(seconds(2));
      for (const char* proxy : {"proxy-1", "proxy-2", "proxy-3"}) fleet.cut_from_all_control(proxy);
      fleet.run_for(seconds(3));
      const std::uint64_t served = fleet.acknowledged();
      fleet.run_for(seconds(1));
      CPPUNIT_ASSERT_MESSAGE("by the members' lease", fleet.acknowledged() > served + 20);
      fleet.cut(fleet.primary(), replica);
      fleet.restart_empty(replica);
      fleet.run_for(seconds(1));
      const std::uint64_t before = fleet.acknowledged();
      fleet.run_for(seconds(2));
      CPPUNIT_ASSERT_EQUAL(before, fleet.acknowledged());
      fleet.heal();
      fleet.run_for(seconds(3));
      CPPUNIT_ASSERT(fleet.acknowledged() > before + 20);
    });
  }

  /// No round has seen what its former incarnation held: an empty log is enough.
  void a_member_that_was_never_asked_before_gives_none_either() {
    check([](RegisteredFleet& fleet) {
      const std::string replica = replica_beside(fleet);
      fleet.run_for(seconds(2));
      fleet.cut(fleet.primary(), replica);
      for (const char* proxy : {"proxy-1", "proxy-2", "proxy-3"}) fleet.cut_from_all_control(proxy);
      fleet.restart_empty(replica);
      fleet.run_for(milliseconds(2500));
      const std::uint64_t before = fleet.acknowledged();
      fleet.run_for(seconds(2));
      CPPUNIT_ASSERT_EQUAL(before, fleet.acknowledged());
      fleet.heal();
      fleet.run_for(seconds(3));
      CPPUNIT_ASSERT(fleet.acknowledged() > before + 20);
    });
  }

  void databases_start_again_one_after_the_other() { check(restart_one_after_the_other); }

  /// A read that had its link when the next incarnation of the primary came to be known was sent to that one,
  /// with the knowledge of what the former one showed just forgotten.
  void what_is_about_to_be_sent_does_not_go_to_a_next_incarnation() {
    // Of the first 15 seeds it is 7 in which this happened.
    constexpr std::uint64_t kFirstSeed = 7;
    const auto set = [](RegisteredFleetSettings& settings) {
      settings.seed += kFirstSeed - 1;
      settings.backends_tell_birth = true;
    };
    tests::play_registered(set, restart_one_after_the_other);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IncarnationsTest);

}  // namespace cairnhollow::simulation
