// Leadership transfer by a stopping leader; bounded heartbeat traffic to learners.
#include "consensus/leadership_transfer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "tests/consensus/cluster.h"

namespace cairnhollow::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LeadershipTransferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeadershipTransferTest);
  CPPUNIT_TEST(stopping_leader_transfers_leadership_without_an_election_timeout);
  CPPUNIT_TEST(proposals_in_flight_at_the_stop_are_committed);
  CPPUNIT_TEST(a_stopping_leader_without_followers_stops);
  CPPUNIT_TEST(a_stopping_follower_changes_nothing);
  CPPUNIT_TEST(a_hundred_learners_cost_no_barrier_traffic_and_few_heartbeats);
  CPPUNIT_TEST_SUITE_END();

 public:
  void stopping_leader_transfers_leadership_without_an_election_timeout() {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      Cluster cluster(ClusterSettings{.seed = seed, .voters = 5});
      const std::string leader = cluster.wait_for_leader();
      bool drained = false;
      cluster.world().drain(leader, [&] { drained = true; });
      const TimePoint begun = cluster.world().now();
      const auto other_leads = [&] { return !cluster.leader().empty() && cluster.leader() != leader; };
      CPPUNIT_ASSERT(cluster.world().run_until(other_leads, seconds(2), milliseconds(1)));
      CPPUNIT_ASSERT(cluster.world().now() - begun < milliseconds(60));
      cluster.world().run_for(milliseconds(100));
      CPPUNIT_ASSERT(drained);
      CPPUNIT_ASSERT(cluster.propose_to_leader("after"));
      assert_no_violations(cluster);
    }
  }

  void proposals_in_flight_at_the_stop_are_committed() {
    Cluster cluster(ClusterSettings{.seed = 20});
    const std::string leader = cluster.wait_for_leader();
    constexpr int kCalls = 100;
    std::vector<std::shared_ptr<CallResult>> calls;
    calls.reserve(kCalls);
    for (int number = 0; number < kCalls; ++number) {
      calls.push_back(cluster.begin_propose(leader, fmt::format("command-{}", number), seconds(1)));
    }
    cluster.world().drain(leader, nullptr);
    cluster.world().run_for(milliseconds(1));
    const auto refused = cluster.begin_propose(leader, "late", seconds(1));
    cluster.world().run_for(seconds(1));
    for (const auto& call : calls) CPPUNIT_ASSERT_MESSAGE(call->reason.to_string(), call->succeeded());
    CPPUNIT_ASSERT(refused->done && refused->reason.code == ReasonCode::kCancelled);
    const std::string next = cluster.wait_for_leader();
    CPPUNIT_ASSERT(cluster.machine(next).has("command-99") && !cluster.machine(next).has("late"));
  }

  void a_stopping_leader_without_followers_stops() {
    Cluster cluster(ClusterSettings{.seed = 30});
    const std::string leader = cluster.wait_for_leader();
    for (const std::string& name : cluster.names()) {
      if (name != leader) cluster.world().kill(name);
    }
    bool drained = false;
    cluster.world().drain(leader, [&] { drained = true; });
    cluster.world().run_for(seconds(1));
    CPPUNIT_ASSERT(drained);
  }

  void a_stopping_follower_changes_nothing() {
    Cluster cluster(ClusterSettings{.seed = 31});
    const std::string leader = cluster.wait_for_leader();
    const std::uint64_t term = cluster.status(leader).term;
    cluster.world().drain(leader == "node-1" ? "node-2" : "node-1", nullptr);
    cluster.world().run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(term, cluster.status(leader).term);
    CPPUNIT_ASSERT(cluster.propose(leader, "after").succeeded());
  }

  void a_hundred_learners_cost_no_barrier_traffic_and_few_heartbeats() {
    constexpr std::size_t kLearners = 100;
    Cluster cluster(ClusterSettings{.seed = 40});
    const std::string leader = cluster.wait_for_leader();
    for (std::size_t number = 4; number < 4 + kLearners; ++number) cluster.start_nonmember(number);
    cluster.world().run_for(milliseconds(100));
    for (std::size_t number = 4; number < 4 + kLearners; ++number) {
      CPPUNIT_ASSERT(
          cluster.add_member(cluster.member(fmt::format("node-{}", number), MemberRole::kLearner)));
    }
    const CallResult proposal = cluster.propose(leader, "command");
    CPPUNIT_ASSERT(proposal.succeeded() && cluster.wait_applied(*proposal.index));
    cluster.world().run_for(seconds(1));
    const std::string voter = leader == "node-1" ? "node-2" : "node-1";
    const std::uint64_t idle_to_learner = bytes_during(cluster, leader, "node-50", 0);
    const std::uint64_t idle_to_voter = bytes_during(cluster, leader, voter, 0);
    const std::uint64_t busy_to_learner = bytes_during(cluster, leader, "node-50", 500);
    const std::uint64_t busy_to_voter = bytes_during(cluster, leader, voter, 500);
    fmt::print("bytes in 2 s: learner {} idle, {} busy; voter {} idle, {} busy\n", idle_to_learner,
               busy_to_learner, idle_to_voter, busy_to_voter);
    CPPUNIT_ASSERT(idle_to_learner > 0 && idle_to_learner * 2 < idle_to_voter);
    CPPUNIT_ASSERT(busy_to_learner <= idle_to_learner + idle_to_learner / 5);
    CPPUNIT_ASSERT(busy_to_voter > idle_to_voter * 5);
    assert_no_violations(cluster);
  }

 private:
  /// Returns the bytes sent from `from` to `to` within two seconds, with this many read barriers on the
  /// sender.
  static std::uint64_t bytes_during(Cluster& cluster, const std::string& from, const std::string& to,
                                    std::size_t barriers) {
    const auto sent = [&] { return cluster.world().network().traffic_of(from).at(to); };
    const std::uint64_t before = sent();
    const TimePoint end = cluster.world().now() + seconds(2);
    for (std::size_t number = 0; number < barriers; ++number) {
      CPPUNIT_ASSERT(cluster.begin_barrier(from, seconds(1)) != nullptr);
      cluster.world().run_for(milliseconds(3));
    }
    if (cluster.world().now() < end) cluster.world().run_for(end - cluster.world().now());
    return sent() - before;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeadershipTransferTest);

}  // namespace
}  // namespace cairnhollow::consensus
