// Membership changes: learners, one change at a time, replacement of lost voters, identities.
#include "consensus/membership.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>

#include "tests/consensus/cluster.h"

namespace cairnhollow::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::string> voters_of(Cluster& cluster, const std::string& name) {
  std::vector<std::string> voters;
  for (const Member& member : cluster.status(name).members) {
    if (member.role == MemberRole::kVoter) voters.push_back(member.node.value);
  }
  std::sort(voters.begin(), voters.end());
  return voters;
}

/// Returns a running server that is not the leader.
std::string follower_of(Cluster& cluster, const std::string& leader) {
  for (const std::string& name : cluster.running_names()) {
    if (name != leader) return name;
  }
  return "";
}

using Names = std::vector<std::string>;

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(learner_replicates_but_is_not_counted_in_the_quorum);
  CPPUNIT_TEST(new_voter_is_promoted_after_catching_up);
  CPPUNIT_TEST(lagging_learner_is_not_promoted);
  CPPUNIT_TEST(concurrent_changes_are_refused);
  CPPUNIT_TEST(invalid_changes_are_refused_with_reasons);
  CPPUNIT_TEST(repeated_changes_succeed);
  CPPUNIT_TEST(member_endpoint_can_be_changed);
  CPPUNIT_TEST(removed_follower_does_not_disrupt_the_group);
  CPPUNIT_TEST(removed_leader_transfers_leadership);
  CPPUNIT_TEST(group_recovers_from_an_interrupted_leader_removal);
  CPPUNIT_TEST(grows_from_one_to_five_and_shrinks_to_one);
  CPPUNIT_TEST(lost_voter_is_replaced_by_another_machine);
  CPPUNIT_TEST(survives_a_second_loss_after_replacement);
  CPPUNIT_TEST(recovers_from_a_second_loss_during_replacement);
  CPPUNIT_TEST(leader_killed_during_replacement_leaves_no_joint_configuration);
  CPPUNIT_TEST(wiped_voter_is_not_counted_under_its_old_identity);
  CPPUNIT_TEST(wiped_voter_can_replace_itself);
  CPPUNIT_TEST_SUITE_END();

 public:
  void learner_replicates_but_is_not_counted_in_the_quorum() {
    Cluster cluster(ClusterSettings{.seed = 1});
    const std::string leader = cluster.wait_for_leader();
    cluster.start_nonmember(4);
    cluster.world().run_for(milliseconds(100));
    CPPUNIT_ASSERT(cluster.add_member(cluster.member("node-4", MemberRole::kLearner)));
    const CallResult proposal = cluster.propose(leader, "command");
    CPPUNIT_ASSERT(proposal.succeeded() && cluster.wait_applied(*proposal.index));
    CPPUNIT_ASSERT(cluster.barrier("node-4").succeeded());
    for (const std::string& name : cluster.names()) {
      if (name != leader && name != "node-4") cluster.world().kill(name);
    }
    // Leader and learner are two of four members but only one of three voters.
    CPPUNIT_ASSERT(!cluster.propose(leader, "unseen").index);
    cluster.world().run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::string(), cluster.leader());
    assert_no_violations(cluster);
  }

  void new_voter_is_promoted_after_catching_up() {
    Cluster cluster(ClusterSettings{.seed = 2, .voters = 3, .snapshot_after_entries = 100});
    const std::string leader = cluster.wait_for_leader();
    CPPUNIT_ASSERT(cluster.propose_many(leader, "command", 500));
    cluster.start_nonmember(4);
    cluster.world().run_for(milliseconds(100));
    CPPUNIT_ASSERT(cluster.add_member(cluster.member("node-4", MemberRole::kVoter)));
    CPPUNIT_ASSERT(cluster.machine("node-4").restores() > 0);
    CPPUNIT_ASSERT(cluster.status("node-4").last_index + 16 >= cluster.status(leader).last_index);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, voters_of(cluster, leader).size());
    // With four voters a majority is three.
    cluster.world().kill(follower_of(cluster, leader));
    CPPUNIT_ASSERT(cluster.propose_to_leader("three of four"));
    assert_no_violations(cluster);
  }

  void lagging_learner_is_not_promoted() {
    Cluster cluster(ClusterSettings{.seed = 3});
    const std::string leader = cluster.wait_for_leader();
    cluster.start_nonmember(4);
    cluster.world().run_for(milliseconds(100));
    const Member member = cluster.member("node-4", MemberRole::kVoter);
    cluster.world().kill("node-4");
    const auto added = cluster.begin_add(leader, member, seconds(3));
    cluster.world().run_for(seconds(4));
    CPPUNIT_ASSERT(added->done && !added->index);
    CPPUNIT_ASSERT(added->reason.code == ReasonCode::kDeadlineExceeded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, voters_of(cluster, leader).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cluster.status(leader).members.size());
    cluster.world().restart("node-4");
    CPPUNIT_ASSERT(cluster.add_member(member));  // continues from the learner
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, voters_of(cluster, leader).size());
    assert_no_violations(cluster);
  }

  void concurrent_changes_are_refused() {
    Cluster cluster(ClusterSettings{.seed = 4});
    const std::string leader = cluster.wait_for_leader();
    for (const std::size_t number : {4, 5}) cluster.start_nonmember(number);
    cluster.world().run_for(milliseconds(100));
    const Member fourth = cluster.member("node-4", MemberRole::kVoter);
    const Member fifth = cluster.member("node-5", MemberRole::kVoter);
    const auto first = cluster.begin_add(leader, fourth, seconds(5));
    const auto second = cluster.begin_add(leader, fifth, seconds(5));
    cluster.world().run_for(seconds(2));
    CPPUNIT_ASSERT(first->succeeded());
    CPPUNIT_ASSERT(second->done && !second->index && second->reason.code == ReasonCode::kConflict);
    CPPUNIT_ASSERT(cluster.add_member(fifth));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, voters_of(cluster, leader).size());
  }

  void invalid_changes_are_refused_with_reasons() {
    Cluster cluster(ClusterSettings{.seed = 5});
    const std::string leader = cluster.wait_for_leader();
    cluster.start_nonmember(4);
    cluster.world().run_for(milliseconds(100));
    const auto code_of = [&](const std::shared_ptr<CallResult>& result) {
      cluster.world().run_for(seconds(2));
      CPPUNIT_ASSERT(result->done && !result->index);
      return result->reason.code;
    };
    const Member fourth = cluster.member("node-4", MemberRole::kVoter);
    const std::string follower = follower_of(cluster, leader);
    CPPUNIT_ASSERT(code_of(cluster.begin_add(follower, fourth, seconds(1))) == ReasonCode::kNotLeader);
    CPPUNIT_ASSERT(code_of(cluster.begin_remove(leader, "node-9", seconds(1))) == ReasonCode::kNotFound);
    CPPUNIT_ASSERT(code_of(cluster.begin_replace(leader, "node-9", fourth, seconds(1))) ==
                   ReasonCode::kNotFound);
    Member same_name = fourth;
    same_name.node = NodeName(follower);
    CPPUNIT_ASSERT(code_of(cluster.begin_add(leader, same_name, seconds(1))) == ReasonCode::kConflict);
    Member same_endpoint = fourth;
    same_endpoint.endpoint = cluster.member(follower, MemberRole::kVoter).endpoint;
    CPPUNIT_ASSERT(code_of(cluster.begin_add(leader, same_endpoint, seconds(1))) == ReasonCode::kConflict);
    const Member present = cluster.member(follower, MemberRole::kVoter);
    CPPUNIT_ASSERT(code_of(cluster.begin_replace(leader, leader, present, seconds(1))) ==
                   ReasonCode::kInvalidArgument);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.status(leader).members.size());
  }

  void repeated_changes_succeed() {
    Cluster cluster(ClusterSettings{.seed = 6});
    const std::string leader = cluster.wait_for_leader();
    cluster.start_nonmember(4);
    cluster.world().run_for(milliseconds(100));
    const Member fourth = cluster.member("node-4", MemberRole::kVoter);
    const std::string lost = follower_of(cluster, leader);
    cluster.world().kill(lost);
    for (int attempt = 0; attempt < 2; ++attempt) {
      CPPUNIT_ASSERT(cluster.replace_member(lost, fourth));
      CPPUNIT_ASSERT(cluster.add_member(fourth));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.status(leader).members.size());
    // An empty identity means that of the disk at the endpoint.
    Member unknown = fourth;
    unknown.identity.clear();
    CPPUNIT_ASSERT(cluster.add_member(unknown));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.status(leader).members.size());
  }

  void member_endpoint_can_be_changed() {
    Cluster cluster(ClusterSettings{.seed = 7});
    const std::string leader = cluster.wait_for_leader();
    const std::string follower = follower_of(cluster, leader);
    Member moved = cluster.member(follower, MemberRole::kVoter);
    moved.endpoint.address = "10.0.9.9";
    CPPUNIT_ASSERT(cluster.add_member(moved));
    const auto members = cluster.status(leader).members;
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, members.size());
    CPPUNIT_ASSERT(std::find(members.begin(), members.end(), moved) != members.end());
  }

  void removed_follower_does_not_disrupt_the_group() {
    Cluster cluster(ClusterSettings{.seed = 8, .voters = 5});
    const std::string leader = cluster.wait_for_leader();
    const std::string removed = follower_of(cluster, leader);
    const std::uint64_t term = cluster.status(leader).term;
    CPPUNIT_ASSERT(cluster.remove_member(removed));
    cluster.world().run_for(seconds(10));
    CPPUNIT_ASSERT_EQUAL(term, cluster.status(leader).term);
    CPPUNIT_ASSERT(cluster.status(leader).state == ServerState::kLeader);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, voters_of(cluster, leader).size());
    CPPUNIT_ASSERT(cluster.propose(leader, "after").succeeded());
    CPPUNIT_ASSERT(!cluster.machine(removed).has("after"));
    CPPUNIT_ASSERT(!cluster.barrier(removed).index);
  }

  void removed_leader_transfers_leadership() {
    Cluster cluster(ClusterSettings{.seed = 9});
    const std::string leader = cluster.wait_for_leader();
    CPPUNIT_ASSERT(cluster.remove_member(leader));
    const TimePoint removed = cluster.world().now();
    CPPUNIT_ASSERT(cluster.propose_to_leader("after"));
    CPPUNIT_ASSERT(cluster.world().now() - removed < milliseconds(200));  // no election timeout elapsed
    CPPUNIT_ASSERT(cluster.leader() != leader);
    CPPUNIT_ASSERT(cluster.status(leader).state != ServerState::kLeader);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, voters_of(cluster, cluster.leader()).size());
    assert_no_violations(cluster);
  }

  void group_recovers_from_an_interrupted_leader_removal() {
    // The leader of two removes itself and stops before the other server has the entry. Only it has the
    // longest log, so it must still be able to win an election, although its latest configuration excludes
    // it.
    Cluster cluster(ClusterSettings{.seed = 14, .voters = 2});
    const std::string leader = cluster.wait_for_leader();
    const std::string other = follower_of(cluster, leader);
    cluster.world().kill(other);
    const auto removed = cluster.begin_remove(leader, leader, seconds(1));
    cluster.world().run_for(milliseconds(20));
    CPPUNIT_ASSERT(!removed->done);
    CPPUNIT_ASSERT(voters_of(cluster, leader) == Names{other});
    cluster.world().kill(leader);
    for (const std::string& name : cluster.names()) cluster.world().restart(name);
    CPPUNIT_ASSERT(cluster.propose_to_leader("after"));
    CPPUNIT_ASSERT(voters_of(cluster, cluster.leader()) == Names{other});
    assert_no_violations(cluster);
  }

  void grows_from_one_to_five_and_shrinks_to_one() {
    Cluster cluster(ClusterSettings{.seed = 10, .voters = 1});
    CPPUNIT_ASSERT(!cluster.wait_for_leader().empty());
    for (std::size_t number = 2; number <= 5; ++number) {
      cluster.start_nonmember(number);
      cluster.world().run_for(milliseconds(100));
      CPPUNIT_ASSERT(cluster.add_member(cluster.member(cluster.names().back(), MemberRole::kVoter)));
      CPPUNIT_ASSERT(cluster.propose_to_leader(fmt::format("grown-{}", number)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, voters_of(cluster, cluster.leader()).size());
    CPPUNIT_ASSERT(!cluster.remove_member("node-9", seconds(1)));
    for (std::size_t number = 1; number <= 4; ++number) {
      CPPUNIT_ASSERT(cluster.remove_member(fmt::format("node-{}", number)));
      CPPUNIT_ASSERT(cluster.propose_to_leader(fmt::format("shrunk-{}", number)));
    }
    CPPUNIT_ASSERT(voters_of(cluster, "node-5") == Names{"node-5"});
    const auto last = cluster.begin_remove("node-5", "node-5", seconds(1));
    cluster.world().run_for(seconds(2));
    CPPUNIT_ASSERT(last->done && last->reason.code == ReasonCode::kInvalidArgument);
    assert_no_violations(cluster);
  }

  void lost_voter_is_replaced_by_another_machine() {
    Cluster cluster(ClusterSettings{.seed = 11, .voters = 3, .snapshot_after_entries = 100});
    const std::string leader = cluster.wait_for_leader();
    CPPUNIT_ASSERT(cluster.propose_many(leader, "command", 300));
    const std::string lost = follower_of(cluster, leader);
    cluster.world().vanish(lost);
    cluster.start_nonmember(4);
    cluster.world().run_for(milliseconds(100));
    const Member fourth = cluster.member("node-4", MemberRole::kVoter);
    const auto replaced = cluster.begin_replace(leader, lost, fourth, seconds(10));
    std::size_t most_voters = 0;
    while (!replaced->done) {
      cluster.world().run_for(milliseconds(1));
      most_voters = std::max(most_voters, voters_of(cluster, leader).size());
    }
    CPPUNIT_ASSERT_MESSAGE(replaced->reason.to_string(), replaced->succeeded());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, voters_of(cluster, leader).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.status(leader).members.size());
    CPPUNIT_ASSERT(most_voters <= 4);  // old and new lists combined; each has three
    CPPUNIT_ASSERT(cluster.propose(leader, "after").succeeded());
    assert_no_violations(cluster);
  }

  void survives_a_second_loss_after_replacement() {
    for (std::uint64_t seed = 20; seed < 30; ++seed) {
      Cluster cluster(ClusterSettings{.seed = seed});
      const std::string leader = cluster.wait_for_leader();
      const std::string lost = follower_of(cluster, leader);
      cluster.world().vanish(lost);
      cluster.start_nonmember(4);
      cluster.world().run_for(milliseconds(100));
      CPPUNIT_ASSERT(cluster.replace_member(lost, cluster.member("node-4", MemberRole::kVoter)));
      // Immediately after the answer, before the replacement may have learned of the commit.
      const std::string second = seed % 2 == 0 ? leader : follower_of(cluster, leader);
      if (second != "node-4") cluster.world().vanish(second);
      CPPUNIT_ASSERT(cluster.propose_to_leader("after"));
      assert_no_violations(cluster);
    }
  }

  void recovers_from_a_second_loss_during_replacement() {
    for (std::uint64_t seed = 40; seed < 60; ++seed) {
      Cluster cluster(ClusterSettings{.seed = seed});
      const std::string leader = cluster.wait_for_leader();
      CPPUNIT_ASSERT(cluster.propose(leader, "before").succeeded());
      const std::string lost = follower_of(cluster, leader);
      cluster.world().vanish(lost);
      cluster.start_nonmember(4);
      cluster.world().run_for(milliseconds(100));
      const Member fourth = cluster.member("node-4", MemberRole::kVoter);
      const auto replaced = cluster.begin_replace(leader, lost, fourth, seconds(3));
      const auto wait = cluster.world().random().between(Duration{0}, milliseconds(40));
      cluster.world().run_for(wait);
      std::string second = leader;
      if (seed % 2 == 1) {
        for (const std::string& name : cluster.running_names()) {
          if (name != leader && name != "node-4") second = name;
        }
      }
      cluster.world().kill(second);
      cluster.world().run_for(seconds(2));
      // Whatever step was reached, the machine's return restores service and the repair can be completed.
      cluster.world().restart(second);
      CPPUNIT_ASSERT(cluster.propose_to_leader("after"));
      CPPUNIT_ASSERT(cluster.replace_member(lost, fourth));
      CPPUNIT_ASSERT(cluster.propose_to_leader("repaired"));
      const std::string new_leader = cluster.wait_for_leader();
      CPPUNIT_ASSERT(cluster.machine(new_leader).has("before"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.status(new_leader).members.size());
      assert_no_violations(cluster);
    }
  }

  void leader_killed_during_replacement_leaves_no_joint_configuration() {
    for (std::uint64_t seed = 80; seed < 100; ++seed) {
      Cluster cluster(ClusterSettings{.seed = seed, .voters = 5});
      const std::string leader = cluster.wait_for_leader();
      const std::string lost = follower_of(cluster, leader);
      cluster.world().vanish(lost);
      cluster.start_nonmember(6);
      cluster.world().run_for(milliseconds(100));
      const Member sixth = cluster.member("node-6", MemberRole::kVoter);
      cluster.begin_replace(leader, lost, sixth, seconds(3));
      const auto wait = cluster.world().random().between(Duration{0}, milliseconds(40));
      cluster.world().run_for(wait);
      cluster.world().kill(leader);
      CPPUNIT_ASSERT(cluster.propose_to_leader("after"));
      cluster.world().run_for(seconds(1));
      const Names voters = voters_of(cluster, cluster.leader());
      CPPUNIT_ASSERT_EQUAL(std::size_t{5}, voters.size());
      assert_no_violations(cluster);
    }
  }

  void wiped_voter_is_not_counted_under_its_old_identity() {
    Cluster cluster(ClusterSettings{.seed = 12});
    const std::string leader = cluster.wait_for_leader();
    CPPUNIT_ASSERT(cluster.propose(leader, "before").succeeded());
    const std::string wiped = follower_of(cluster, leader);
    const std::string old_identity = cluster.node(wiped).identity();
    cluster.world().kill(wiped);
    cluster.wipe(wiped);
    cluster.world().restart(wiped);
    cluster.world().run_for(seconds(2));
    CPPUNIT_ASSERT(cluster.node(wiped).identity() != old_identity);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cluster.status(wiped).last_index);
    for (const std::string& name : cluster.names()) {
      if (name != leader && name != wiped) cluster.world().kill(name);
    }
    // A vote from the wiped server would be the second of three.
    CPPUNIT_ASSERT(!cluster.propose(leader, "unseen").index);
    cluster.world().run_for(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string(), cluster.leader());
    cluster.world().kill(leader);
    cluster.world().restart(leader);
    cluster.world().run_for(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string(), cluster.leader());
  }

  void wiped_voter_can_replace_itself() {
    Cluster cluster(ClusterSettings{.seed = 13});
    const std::string leader = cluster.wait_for_leader();
    CPPUNIT_ASSERT(cluster.propose(leader, "before").succeeded());
    const std::string wiped = follower_of(cluster, leader);
    cluster.world().kill(wiped);
    cluster.wipe(wiped);
    cluster.world().restart(wiped);
    cluster.world().run_for(seconds(1));
    const Member fresh = cluster.member(wiped, MemberRole::kVoter);
    CPPUNIT_ASSERT(!cluster.add_member(fresh, milliseconds(500)));  // it must be replaced instead
    CPPUNIT_ASSERT(cluster.replace_member(wiped, fresh));
    CPPUNIT_ASSERT(cluster.machine(wiped).has("before"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.status(leader).members.size());
    for (const std::string& name : cluster.names()) {
      if (name != leader && name != wiped) cluster.world().kill(name);
    }
    CPPUNIT_ASSERT(cluster.propose_to_leader("after"));
    assert_no_violations(cluster);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace cairnhollow::consensus
