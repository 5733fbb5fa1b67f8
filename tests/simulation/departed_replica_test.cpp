// A registered fleet whose replica leaves with commits that no other member has received, in the simulator:
// what callers saw is judged at the end of each run.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "tests/support/registered_scenario.h"

namespace cairnhollow::simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<std::string> kProxies{"proxy-1", "proxy-2", "proxy-3"};
const std::vector<std::string> kControlNodes{"control-1", "control-2", "control-3"};
const BackendName kDeaf("g1-b2");
constexpr const char* kLeaving = "g1-b3";

void check(const std::function<void(RegisteredFleet&)>& scenario) {
  tests::play_registered(nullptr, scenario);
}

void restart_all(RegisteredFleet& fleet, const std::vector<std::string>& nodes) {
  for (const std::string& node : nodes) fleet.kill(node);
  fleet.run_for(milliseconds(500));
  for (const std::string& node : nodes) fleet.restart(node);
}

/// One replica receives nothing from now on, and the other leaves as planned.
void lose_the_replica_that_receives(RegisteredFleet& fleet) {
  fleet.run_for(seconds(4));
  fleet.database(kLeaving).leave();
  fleet.run_for(seconds(1));
  fleet.group().member(kDeaf).deaf = true;
  fleet.run_for(seconds(1));
  fleet.database(kLeaving).deregister();
  fleet.run_for(milliseconds(300));
  fleet.kill(kLeaving);
  fleet.run_for(milliseconds(200));
}

/// Nobody is promoted until the primary is back, which then serves again.
void expect_the_primary_is_waited_for(RegisteredFleet& fleet, const std::string& primary) {
  fleet.run_for(seconds(6));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.group().promotions());
  fleet.group().member(kDeaf).deaf = false;
  fleet.restart(primary);
  const std::uint64_t acknowledged = fleet.acknowledged();
  fleet.run_for(seconds(6));
  CPPUNIT_ASSERT(fleet.acknowledged() > acknowledged);
}

}  // namespace

class DepartedReplicaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DepartedReplicaTest);
  CPPUNIT_TEST(a_lagging_replica_is_not_promoted_after_another_left_and_the_proxies_were_killed);
  CPPUNIT_TEST(a_lagging_replica_is_not_promoted_after_another_left_and_control_restarted);
  CPPUNIT_TEST(a_deregistered_replica_that_serves_on_counts_until_it_ends);
  CPPUNIT_TEST(commits_of_an_earlier_term_count_when_their_proxies_are_gone);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against counting what the remaining proxies acknowledged as a bound on what the killed ones did.
  void a_lagging_replica_is_not_promoted_after_another_left_and_the_proxies_were_killed() {
    check([](RegisteredFleet& fleet) {
      lose_the_replica_that_receives(fleet);
      const std::string primary = fleet.primary();
      fleet.kill(primary);
      restart_all(fleet, kProxies);
      expect_the_primary_is_waited_for(fleet, primary);
    });
  }

  /// Guards against control nodes that forget a departure, or take it for settled after some time.
  void a_lagging_replica_is_not_promoted_after_another_left_and_control_restarted() {
    check([](RegisteredFleet& fleet) {
      lose_the_replica_that_receives(fleet);
      restart_all(fleet, kControlNodes);
      fleet.run_for(seconds(5));
      const std::string primary = fleet.primary();
      fleet.kill(primary);
      restart_all(fleet, kProxies);
      expect_the_primary_is_waited_for(fleet, primary);
    });
  }

  /// Guards against taking a deregistration for the end: until it ends, the backend receives and
  /// acknowledges.
  void a_deregistered_replica_that_serves_on_counts_until_it_ends() {
    check([](RegisteredFleet& fleet) {
      fleet.run_for(seconds(4));
      fleet.database(kLeaving).deregister();
      fleet.run_for(seconds(4));
      fleet.group().member(kDeaf).deaf = true;
      fleet.run_for(seconds(1));
      const std::string primary = fleet.primary();
      fleet.kill(kLeaving);
      fleet.kill(primary);
      restart_all(fleet, kProxies);
      expect_the_primary_is_waited_for(fleet, primary);
    });
  }

  /// Guards against a replica that lacks commits of earlier terms, which no remaining proxy has acknowledged.
  void commits_of_an_earlier_term_count_when_their_proxies_are_gone() {
    check([](RegisteredFleet& fleet) {
      fleet.run_for(seconds(4));
      fleet.group().member(kDeaf).deaf = true;
      fleet.run_for(seconds(1));
      fleet.kill("g1-b1");
      restart_all(fleet, kProxies);
      fleet.run_for(seconds(4));
      CPPUNIT_ASSERT_EQUAL(std::string(kLeaving), fleet.primary());
      fleet.kill(kLeaving);
      fleet.run_for(seconds(6));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("nobody follows", std::uint64_t{1}, fleet.group().promotions());
      fleet.group().member(kDeaf).deaf = false;
      fleet.restart(kLeaving);
      fleet.restart("g1-b1");
      const std::uint64_t acknowledged = fleet.acknowledged();
      fleet.run_for(seconds(6));
      CPPUNIT_ASSERT(fleet.acknowledged() > acknowledged);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartedReplicaTest);

}  // namespace cairnhollow::simulation
