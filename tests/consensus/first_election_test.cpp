// First election timeout: servers started together elect quickly, then use the usual timeout once there is a
// leader.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "tests/consensus/cluster.h"

namespace cairnhollow::consensus {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FirstElectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FirstElectionTest);
  CPPUNIT_TEST(first_leader_after_a_group_restart_is_not_deposed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void first_leader_after_a_group_restart_is_not_deposed() {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      ClusterSettings settings;
      settings.seed = seed;
      settings.voters = 5;
      // Shorter than the heartbeat interval, as on registered fleets.
      settings.first_election_timeout = milliseconds(60);
      settings.heartbeat_interval = milliseconds(100);
      Cluster cluster(settings);
      CPPUNIT_ASSERT(!cluster.wait_for_leader().empty());
      for (const std::string& name : cluster.names()) cluster.world().kill(name);
      cluster.world().run_for(milliseconds(500));
      for (const std::string& name : cluster.names()) cluster.world().restart(name);
      const std::string leader = cluster.wait_for_leader();
      CPPUNIT_ASSERT(!leader.empty());
      const std::uint64_t term = cluster.status(leader).term;
      cluster.world().run_for(seconds(5));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}", seed), leader, cluster.leader());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}", seed), term, cluster.status(leader).term);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FirstElectionTest);

}  // namespace cairnhollow::consensus
