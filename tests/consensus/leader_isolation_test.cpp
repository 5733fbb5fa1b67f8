// An isolated or frozen leader steps down, serves no read barrier and commits nothing stale. Read rounds
// begin after the call and are batched.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "tests/consensus/cluster.h"

namespace cairnhollow::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const Duration kElectionTimeout = RaftSettings{}.election_timeout;
const Duration kHeartbeatInterval = RaftSettings{}.heartbeat_interval;

enum class Direction : std::uint8_t { kBoth, kIn, kOut };

void isolate(Cluster& cluster, const std::string& name, Direction direction) {
  const std::string address = cluster.member(name, MemberRole::kVoter).endpoint.address;
  for (const std::string& other : cluster.names()) {
    if (other == name) continue;
    const std::string other_address = cluster.member(other, MemberRole::kVoter).endpoint.address;
    auto& faults = cluster.world().network().faults();
    if (direction != Direction::kIn) faults.cut_machines(address, other_address);
    if (direction != Direction::kOut) faults.cut_machines(other_address, address);
  }
}

class LeaderIsolationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaderIsolationTest);
  CPPUNIT_TEST(leader_isolated_in_either_direction_steps_down);
  CPPUNIT_TEST(isolated_leader_serves_no_barrier_and_commits_nothing);
  CPPUNIT_TEST(frozen_leader_serves_no_stale_reads);
  CPPUNIT_TEST(isolated_follower_does_not_disrupt_the_leader);
  CPPUNIT_TEST(follower_without_leader_contact_does_not_raise_the_term);
  CPPUNIT_TEST(barriers_are_batched);
  CPPUNIT_TEST(a_barrier_is_not_answered_by_an_earlier_round);
  CPPUNIT_TEST_SUITE_END();

 public:
  void leader_isolated_in_either_direction_steps_down() {
    for (const Direction direction : {Direction::kBoth, Direction::kIn, Direction::kOut}) {
      Cluster cluster(ClusterSettings{.seed = 1});
      const std::string leader = cluster.wait_for_leader();
      isolate(cluster, leader, direction);
      cluster.world().run_for(kElectionTimeout + kHeartbeatInterval * 2);
      CPPUNIT_ASSERT(cluster.status(leader).state != ServerState::kLeader);
      const auto other_leads = [&] { return !cluster.leader().empty() && cluster.leader() != leader; };
      CPPUNIT_ASSERT(cluster.world().run_until(other_leads, seconds(5)));
      cluster.world().heal();
      CPPUNIT_ASSERT(cluster.propose_to_leader("after"));
      assert_no_violations(cluster);
    }
  }

  void isolated_leader_serves_no_barrier_and_commits_nothing() {
    Cluster cluster(ClusterSettings{.seed = 2, .voters = 5});
    const std::string old_leader = cluster.wait_for_leader();
    isolate(cluster, old_leader, Direction::kBoth);
    const auto lost = cluster.begin_propose(old_leader, "lost", seconds(20));
    const auto barrier = cluster.begin_barrier(old_leader, seconds(5));
    const auto other_leads = [&] { return !cluster.leader().empty() && cluster.leader() != old_leader; };
    CPPUNIT_ASSERT(cluster.world().run_until(other_leads, seconds(5)));
    CPPUNIT_ASSERT(cluster.propose(cluster.leader(), "kept").succeeded());
    CPPUNIT_ASSERT(barrier->done && !barrier->index);
    CPPUNIT_ASSERT(!cluster.barrier(old_leader).index);
    CPPUNIT_ASSERT(lost->done && lost->reason.code == ReasonCode::kOutcomeUnknown);
    cluster.world().heal();
    const CallResult after = cluster.propose(cluster.wait_for_leader(), "after");
    CPPUNIT_ASSERT(after.succeeded() && cluster.wait_applied(*after.index));
    CPPUNIT_ASSERT(!cluster.machine(old_leader).has("lost"));
    CPPUNIT_ASSERT(cluster.machine(old_leader).has("kept"));
    assert_no_violations(cluster);
  }

  void frozen_leader_serves_no_stale_reads() {
    for (std::uint64_t seed = 30; seed < 38; ++seed) {
      Cluster cluster(ClusterSettings{.seed = seed});
      const std::string old_leader = cluster.wait_for_leader();
      CPPUNIT_ASSERT(cluster.propose(old_leader, "before").succeeded());
      const auto in_flight = cluster.begin_propose(old_leader, "in-flight", minutes(10));
      const auto early = cluster.begin_barrier(old_leader, minutes(10));
      cluster.world().run_for(cluster.world().random().between(Duration{0}, milliseconds(4)));
      cluster.world().freeze(old_leader);
      const std::string new_leader = cluster.wait_for_leader();
      CPPUNIT_ASSERT(!new_leader.empty());
      const CallResult newer = cluster.propose(new_leader, "newer");
      CPPUNIT_ASSERT(newer.succeeded());
      cluster.world().run_for(minutes(2));
      cluster.world().thaw(old_leader);
      const auto late = cluster.begin_barrier(old_leader, seconds(5));
      const auto stale = cluster.begin_propose(old_leader, "stale", seconds(5));
      cluster.world().run_for(seconds(6));
      CPPUNIT_ASSERT(late->done && stale->done);
      if (late->index) CPPUNIT_ASSERT(*late->index >= *newer.index);
      CPPUNIT_ASSERT(!stale->index);
      if (in_flight->succeeded()) CPPUNIT_ASSERT(cluster.machine(new_leader).has("in-flight"));
      CPPUNIT_ASSERT(!cluster.machine(new_leader).has("stale"));
      CPPUNIT_ASSERT(cluster.machine(old_leader).has("newer"));
      assert_no_violations(cluster);
    }
  }

  void isolated_follower_does_not_disrupt_the_leader() {
    for (const Direction direction : {Direction::kBoth, Direction::kIn, Direction::kOut}) {
      Cluster cluster(ClusterSettings{.seed = 4});
      const std::string leader = cluster.wait_for_leader();
      const std::uint64_t term = cluster.status(leader).term;
      const std::string follower = leader == "node-1" ? "node-2" : "node-1";
      isolate(cluster, follower, direction);
      cluster.world().run_for(seconds(10));
      cluster.world().heal();
      cluster.world().run_for(seconds(3));
      CPPUNIT_ASSERT_EQUAL(leader, cluster.leader());
      CPPUNIT_ASSERT_EQUAL(term, cluster.status(follower).term);
    }
  }

  void follower_without_leader_contact_does_not_raise_the_term() {
    Cluster cluster(ClusterSettings{.seed = 5, .voters = 5});
    const std::string leader = cluster.wait_for_leader();
    const std::uint64_t term = cluster.status(leader).term;
    const std::string follower = leader == "node-1" ? "node-2" : "node-1";
    cluster.world().freeze(follower);
    cluster.world().run_for(minutes(1));
    cluster.world().thaw(follower);
    cluster.world().run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(leader, cluster.leader());
    CPPUNIT_ASSERT_EQUAL(term, cluster.status(leader).term);
  }

  void barriers_are_batched() {
    Cluster cluster(ClusterSettings{.seed = 6});
    const std::string leader = cluster.wait_for_leader();
    const std::string follower = leader == "node-1" ? "node-2" : "node-1";
    const auto bytes = [&] {
      std::uint64_t sum = 0;
      for (const auto& [peer, sent] : cluster.world().network().traffic_of(leader)) sum += sent;
      return sum;
    };
    const auto run = [&](std::size_t count) {
      const std::uint64_t before = bytes();
      std::vector<std::shared_ptr<CallResult>> results;
      for (std::size_t number = 0; number < count; ++number) {
        results.push_back(cluster.begin_barrier(number % 2 == 0 ? leader : follower, seconds(1)));
      }
      cluster.world().run_for(kHeartbeatInterval);
      for (const auto& result : results) CPPUNIT_ASSERT(result->succeeded());
      return bytes() - before;
    };
    const std::uint64_t two = run(2);
    const std::uint64_t thousand = run(1000);
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} and {} bytes", two, thousand), thousand < two * 3);
  }

  void a_barrier_is_not_answered_by_an_earlier_round() {
    Cluster cluster(ClusterSettings{.seed = 7});
    const std::string leader = cluster.wait_for_leader();
    const auto first = cluster.begin_barrier(leader, seconds(5));
    cluster.world().run_for(std::chrono::microseconds(100));  // its heartbeats are in flight
    CPPUNIT_ASSERT(!first->done);
    isolate(cluster, leader, Direction::kOut);  // answers arrive, but nothing is sent
    const auto second = cluster.begin_barrier(leader, seconds(5));
    cluster.world().run_for(seconds(2));
    CPPUNIT_ASSERT(second->done && !second->index);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderIsolationTest);

}  // namespace
}  // namespace cairnhollow::consensus
