// Raft servers elect a leader, replicate, survive the loss of the leader and restart from disk.
#include "consensus/raft.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "tests/consensus/cluster.h"

namespace cairnhollow::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RaftNodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RaftNodeTest);
  CPPUNIT_TEST(three_and_five_servers_replicate);
  CPPUNIT_TEST(a_single_server_replicates);
  CPPUNIT_TEST(a_follower_refuses_proposals_and_names_the_leader);
  CPPUNIT_TEST(survives_loss_of_the_leader);
  CPPUNIT_TEST(restarts_from_disk);
  CPPUNIT_TEST(a_minority_commits_nothing);
  CPPUNIT_TEST(read_barriers_work_on_every_server);
  CPPUNIT_TEST(entries_of_earlier_terms_are_committed_indirectly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void three_and_five_servers_replicate() {
    for (const std::size_t voters : {3, 5}) {
      Cluster cluster(ClusterSettings{.seed = voters, .voters = voters});
      const std::string leader = cluster.wait_for_leader();
      CPPUNIT_ASSERT(!leader.empty());
      std::uint64_t last = 0;
      for (int number = 0; number < 20; ++number) {
        const CallResult result = cluster.propose(leader, fmt::format("command-{}", number));
        CPPUNIT_ASSERT_MESSAGE(result.reason.to_string(), result.succeeded());
        CPPUNIT_ASSERT(*result.index > last);
        last = *result.index;
      }
      CPPUNIT_ASSERT(cluster.wait_applied(last));
      for (const std::string& name : cluster.names()) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, cluster.machine(name).commands().size());
        CPPUNIT_ASSERT(cluster.machine(name).commands() == cluster.machine(leader).commands());
      }
      assert_no_violations(cluster);
    }
  }

  void a_single_server_replicates() {
    Cluster cluster(ClusterSettings{.seed = 4, .voters = 1});
    const std::string leader = cluster.wait_for_leader();
    CPPUNIT_ASSERT_EQUAL(std::string("node-1"), leader);
    CPPUNIT_ASSERT(cluster.propose(leader, "alone").succeeded());
    assert_no_violations(cluster);
  }

  void a_follower_refuses_proposals_and_names_the_leader() {
    Cluster cluster(ClusterSettings{.seed = 5});
    const std::string leader = cluster.wait_for_leader();
    for (const std::string& name : cluster.names()) {
      if (name == leader) continue;
      const CallResult result = cluster.propose(name, "misdirected");
      CPPUNIT_ASSERT(result.done && !result.index);
      CPPUNIT_ASSERT(result.reason.code == ReasonCode::kNotLeader);
      CPPUNIT_ASSERT_EQUAL(leader, result.reason.peer);
    }
  }

  void survives_loss_of_the_leader() {
    for (const std::size_t voters : {3, 5}) {
      Cluster cluster(ClusterSettings{.seed = 10 + voters, .voters = voters});
      std::string leader = cluster.wait_for_leader();
      for (std::size_t round = 0; round < voters / 2; ++round) {
        CPPUNIT_ASSERT(cluster.propose(leader, fmt::format("before-{}", round)).succeeded());
        cluster.world().kill(leader);
        const TimePoint killed = cluster.world().now();
        leader = cluster.wait_for_leader();
        CPPUNIT_ASSERT(!leader.empty());
        CPPUNIT_ASSERT(cluster.world().now() - killed < seconds(4));
        CPPUNIT_ASSERT(cluster.machine(leader).has(fmt::format("before-{}", round)));
        CPPUNIT_ASSERT(cluster.propose(leader, fmt::format("after-{}", round)).succeeded());
      }
      assert_no_violations(cluster);
    }
  }

  void restarts_from_disk() {
    Cluster cluster(ClusterSettings{.seed = 21});
    CPPUNIT_ASSERT(cluster.propose_to_leader("first"));
    CPPUNIT_ASSERT(cluster.propose_to_leader("second"));
    const std::string identity = cluster.node("node-2").identity();
    for (const std::string& name : cluster.names()) cluster.world().kill(name);
    cluster.world().run_for(seconds(1));
    for (const std::string& name : cluster.names()) cluster.world().restart(name);
    const std::string leader = cluster.wait_for_leader();
    CPPUNIT_ASSERT(!leader.empty());
    CPPUNIT_ASSERT(cluster.machine(leader).has("first"));
    CPPUNIT_ASSERT(cluster.machine(leader).has("second"));
    CPPUNIT_ASSERT(cluster.propose(leader, "third").succeeded());
    CPPUNIT_ASSERT_EQUAL(identity, cluster.node("node-2").identity());
    assert_no_violations(cluster);
  }

  void a_minority_commits_nothing() {
    Cluster cluster(ClusterSettings{.seed = 31});
    const std::string leader = cluster.wait_for_leader();
    for (const std::string& name : cluster.names()) {
      if (name != leader) cluster.world().kill(name);
    }
    const CallResult proposal = cluster.propose(leader, "unseen");
    CPPUNIT_ASSERT(proposal.done && !proposal.index);
    CPPUNIT_ASSERT(proposal.reason.code == ReasonCode::kOutcomeUnknown);
    const CallResult barrier = cluster.barrier(leader);
    CPPUNIT_ASSERT(barrier.done && !barrier.index);
    CPPUNIT_ASSERT(!cluster.machine(leader).has("unseen"));
  }

  void read_barriers_work_on_every_server() {
    Cluster cluster(ClusterSettings{.seed = 41, .voters = 5});
    const std::string leader = cluster.wait_for_leader();
    for (int number = 0; number < 10; ++number) {
      const CallResult proposal = cluster.propose(leader, fmt::format("command-{}", number));
      CPPUNIT_ASSERT(proposal.succeeded());
      for (const std::string& name : cluster.names()) {
        const CallResult barrier = cluster.barrier(name);
        CPPUNIT_ASSERT_MESSAGE(barrier.reason.to_string(), barrier.succeeded());
        CPPUNIT_ASSERT(*barrier.index >= *proposal.index);
        CPPUNIT_ASSERT(cluster.machine(name).has(fmt::format("command-{}", number)));
      }
    }
    assert_no_violations(cluster);
  }

  void entries_of_earlier_terms_are_committed_indirectly() {
    // Section 3.6.2, figure 3.7. The old entries exceed one request, so that a follower acknowledges old
    // entries before it has the new leader's own entry.
    constexpr int kOldEntries = 600;
    Cluster cluster(ClusterSettings{.seed = 51});
    const std::string leader = cluster.wait_for_leader();
    const std::uint64_t committed = cluster.status(leader).commit_index;
    for (const std::string& name : cluster.names()) {
      if (name != leader) cluster.world().kill(name);
    }
    for (int number = 0; number < kOldEntries; ++number) {
      cluster.begin_propose(leader, fmt::format("old-{}", number), seconds(1));
    }
    cluster.world().run_for(milliseconds(20));
    cluster.world().kill(leader);
    for (const std::string& name : cluster.names()) cluster.world().restart(name);
    const std::uint64_t own = committed + kOldEntries + 1;
    const TimePoint end = cluster.world().now() + seconds(10);
    while (cluster.status(leader).commit_index < own && cluster.world().now() < end) {
      cluster.world().run_for(std::chrono::microseconds(50));
      const std::uint64_t index = cluster.status(leader).commit_index;
      CPPUNIT_ASSERT_MESSAGE(fmt::format("{} committed", index), index <= committed || index >= own);
    }
    CPPUNIT_ASSERT(cluster.machine(leader).has(fmt::format("old-{}", kOldEntries - 1)));
    assert_no_violations(cluster);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftNodeTest);

}  // namespace
}  // namespace cairnhollow::consensus
