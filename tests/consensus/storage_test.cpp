// Disk faults: power loss, failed or slow writes, damage, and a disk of another node.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "tests/consensus/cluster.h"

namespace cairnhollow::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class StorageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StorageTest);
  CPPUNIT_TEST(power_loss_of_all_servers_keeps_acknowledged_entries);
  CPPUNIT_TEST(power_loss_during_formation_recovers);
  CPPUNIT_TEST(failing_disk_stops_only_its_server);
  CPPUNIT_TEST(failing_leader_disk_causes_an_election);
  CPPUNIT_TEST(server_resumes_when_its_disk_accepts_writes);
  CPPUNIT_TEST(temporarily_full_disks_lose_no_entries);
  CPPUNIT_TEST(a_server_starts_on_a_full_disk);
  CPPUNIT_TEST(snapshot_is_retried_after_a_full_disk);
  CPPUNIT_TEST(slow_follower_disk_does_not_slow_others);
  CPPUNIT_TEST(slow_disks_do_not_cause_elections);
  CPPUNIT_TEST(server_with_damaged_log_refuses_to_start);
  CPPUNIT_TEST(server_without_metadata_refuses_to_start);
  CPPUNIT_TEST_SUITE_END();

 public:
  void power_loss_of_all_servers_keeps_acknowledged_entries() {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      Cluster cluster(ClusterSettings{.seed = seed, .voters = 3, .snapshot_after_entries = 20});
      std::vector<std::string> acknowledged;
      for (int round = 0; round < 3; ++round) {
        const std::string leader = cluster.wait_for_leader();
        CPPUNIT_ASSERT(!leader.empty());
        std::vector<std::pair<std::string, std::shared_ptr<CallResult>>> calls;
        for (int number = 0; number < 30; ++number) {
          const std::string command = fmt::format("command-{}-{}", round, number);
          calls.emplace_back(command, cluster.begin_propose(leader, command, seconds(5)));
          const auto wait = cluster.world().random().between(Duration{0}, milliseconds(1));
          cluster.world().run_for(wait);
        }
        for (const std::string& name : cluster.names()) cluster.world().kill(name);
        for (const auto& [command, call] : calls) {
          if (call->succeeded()) acknowledged.push_back(command);
        }
        for (const std::string& name : cluster.names()) cluster.world().restart(name);
      }
      const std::string leader = cluster.wait_for_leader();
      CPPUNIT_ASSERT(!leader.empty());
      CPPUNIT_ASSERT(acknowledged.size() > 10);
      for (const std::string& command : acknowledged) {
        CPPUNIT_ASSERT_MESSAGE(command, cluster.machine(leader).has(command));
      }
      assert_no_violations(cluster);
    }
  }

  void power_loss_during_formation_recovers() {
    for (std::uint64_t seed = 100; seed < 160; ++seed) {
      Cluster cluster(ClusterSettings{.seed = seed});
      for (int round = 0; round < 3; ++round) {
        const auto wait = cluster.world().random().between(Duration{0}, milliseconds(700));
        cluster.world().run_for(wait);
        for (const std::string& name : cluster.names()) cluster.world().kill(name);
        for (const std::string& name : cluster.names()) cluster.world().restart(name);
      }
      CPPUNIT_ASSERT(cluster.propose_to_leader("after"));
      assert_no_violations(cluster);
    }
  }

  void failing_disk_stops_only_its_server() {
    Cluster cluster(ClusterSettings{.seed = 2});
    const std::string leader = cluster.wait_for_leader();
    const std::string failing = leader == "node-1" ? "node-2" : "node-1";
    cluster.world().disk(failing).failing = true;
    CPPUNIT_ASSERT(cluster.propose(leader, "without it").succeeded());
    cluster.world().run_for(seconds(2));
    CPPUNIT_ASSERT_EQUAL(leader, cluster.leader());
    const CallResult barrier = cluster.barrier(failing);
    CPPUNIT_ASSERT(barrier.done && !barrier.index && barrier.reason.code == ReasonCode::kStorage);
    CPPUNIT_ASSERT(!cluster.machine(failing).has("without it"));
    cluster.world().kill(failing);
    cluster.world().disk(failing).failing = false;
    cluster.world().restart(failing);
    const CallResult proposal = cluster.propose(leader, "with it");
    CPPUNIT_ASSERT(proposal.succeeded() && cluster.wait_applied(*proposal.index));
    CPPUNIT_ASSERT(cluster.machine(failing).has("without it"));
    assert_no_violations(cluster);
  }

  void failing_leader_disk_causes_an_election() {
    Cluster cluster(ClusterSettings{.seed = 3});
    const std::string leader = cluster.wait_for_leader();
    cluster.world().disk(leader).failing = true;
    const CallResult proposal = cluster.propose(leader, "maybe");
    CPPUNIT_ASSERT(proposal.done && !proposal.index);
    CPPUNIT_ASSERT(proposal.reason.code == ReasonCode::kOutcomeUnknown);
    CPPUNIT_ASSERT(cluster.propose_to_leader("after"));
    CPPUNIT_ASSERT(cluster.leader() != leader);
    assert_no_violations(cluster);
  }

  void server_resumes_when_its_disk_accepts_writes() {
    Cluster cluster(ClusterSettings{.seed = 11});
    const std::string leader = cluster.wait_for_leader();
    cluster.world().disk(leader).full = true;
    CPPUNIT_ASSERT(!cluster.propose(leader, "maybe").succeeded());
    CPPUNIT_ASSERT(cluster.propose_to_leader("meanwhile"));
    cluster.world().disk(leader).full = false;
    cluster.world().run_for(seconds(2));
    // Without the server whose disk was full there is now no quorum.
    const std::string other = cluster.leader() == "node-3" ? "node-2" : "node-3";
    const std::string lost = other == leader ? "node-1" : other;
    cluster.world().kill(lost);
    CPPUNIT_ASSERT(cluster.propose_to_leader("after"));
    cluster.world().run_for(seconds(1));
    CPPUNIT_ASSERT(cluster.machine(leader).has("meanwhile"));
    CPPUNIT_ASSERT(cluster.machine(leader).has("after"));
    assert_no_violations(cluster);
  }

  void temporarily_full_disks_lose_no_entries() {
    for (std::uint64_t seed = 200; seed < 230; ++seed) {
      Cluster cluster(ClusterSettings{.seed = seed, .voters = 3, .snapshot_after_entries = 15});
      std::vector<std::string> acknowledged;
      // A group that is not formed yet needs all of its disks.
      CPPUNIT_ASSERT(!cluster.wait_for_leader().empty());
      for (int round = 0; round < 6; ++round) {
        const std::size_t place = cluster.world().random().below(cluster.names().size());
        const std::string& affected = cluster.names()[place];
        cluster.world().disk(affected).full = true;
        for (int number = 0; number < 8; ++number) {
          const std::string command = fmt::format("command-{}-{}", round, number);
          if (cluster.propose_to_leader(command)) acknowledged.push_back(command);
        }
        // In some rounds power is lost while the disk is full.
        if (round % 2 == 1) cluster.world().kill(affected);
        cluster.world().disk(affected).full = false;
        if (round % 2 == 1) cluster.world().restart(affected);
        cluster.world().run_for(milliseconds(700));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}: {}", seed, cluster.describe()), std::size_t{48},
                                   acknowledged.size());
      const std::string leader = cluster.wait_for_leader();
      for (const std::string& command : acknowledged)
        CPPUNIT_ASSERT_MESSAGE(command, cluster.machine(leader).has(command));
      assert_no_violations(cluster);
    }
  }

  void a_server_starts_on_a_full_disk() {
    Cluster cluster(ClusterSettings{.seed = 12});
    const std::string leader = cluster.wait_for_leader();
    const std::string affected = leader == "node-1" ? "node-2" : "node-1";
    cluster.world().kill(affected);
    cluster.world().disk(affected).full = true;
    cluster.world().restart(affected);
    CPPUNIT_ASSERT(cluster.propose(leader, "meanwhile").succeeded());
    CPPUNIT_ASSERT(cluster.role(affected).started());
    cluster.world().disk(affected).full = false;
    const CallResult proposal = cluster.propose(leader, "after");
    CPPUNIT_ASSERT(proposal.succeeded() && cluster.wait_applied(*proposal.index));
    CPPUNIT_ASSERT(cluster.machine(affected).has("meanwhile"));
    assert_no_violations(cluster);
  }

  void snapshot_is_retried_after_a_full_disk() {
    Cluster cluster(ClusterSettings{.seed = 13, .voters = 3, .snapshot_after_entries = 20});
    const std::string leader = cluster.wait_for_leader();
    const std::string affected = leader == "node-1" ? "node-2" : "node-1";
    CPPUNIT_ASSERT(cluster.propose_many(leader, "first", 15));
    cluster.world().disk(affected).full = true;
    CPPUNIT_ASSERT(cluster.propose_many(leader, "second", 30));
    cluster.world().disk(affected).full = false;
    const auto last = cluster.propose_many(leader, "third", 30);
    CPPUNIT_ASSERT(last && cluster.wait_applied(*last));
    cluster.world().run_for(seconds(1));
    CPPUNIT_ASSERT(cluster.status(affected).snapshot_index > 0);
    assert_no_violations(cluster);
  }

  void slow_follower_disk_does_not_slow_others() {
    Cluster cluster(ClusterSettings{.seed = 4});
    const std::string leader = cluster.wait_for_leader();
    const std::string slow = leader == "node-1" ? "node-2" : "node-1";
    cluster.world().disk(slow).sync_delay = seconds(2);
    const TimePoint begun = cluster.world().now();
    CPPUNIT_ASSERT(cluster.propose_many(leader, "command", 300));
    CPPUNIT_ASSERT(cluster.world().now() - begun < seconds(1));
    cluster.world().run_for(seconds(20));
    CPPUNIT_ASSERT_EQUAL(leader, cluster.leader());
    CPPUNIT_ASSERT(cluster.machine(slow).commands() == cluster.machine(leader).commands());
    assert_no_violations(cluster);
  }

  void slow_disks_do_not_cause_elections() {
    Cluster cluster(ClusterSettings{.seed = 5});
    const std::string leader = cluster.wait_for_leader();
    const std::uint64_t term = cluster.status(leader).term;
    for (const std::string& name : cluster.names()) cluster.world().disk(name).sync_delay = seconds(1);
    for (int number = 0; number < 5; ++number) {
      const CallResult proposal = cluster.propose(leader, fmt::format("slow-{}", number), seconds(5));
      CPPUNIT_ASSERT_MESSAGE(proposal.reason.to_string(), proposal.succeeded());
    }
    CPPUNIT_ASSERT_EQUAL(term, cluster.status(leader).term);
    assert_no_violations(cluster);
  }

  void server_with_damaged_log_refuses_to_start() {
    Cluster cluster(ClusterSettings{.seed = 6});
    const std::string leader = cluster.wait_for_leader();
    CPPUNIT_ASSERT(cluster.propose_many(leader, "command", 50));
    // Later entries prove that the earlier ones had been synced.
    const CallResult last = cluster.propose(leader, "last");
    CPPUNIT_ASSERT(last.succeeded() && cluster.wait_applied(*last.index));
    cluster.world().kill("node-2");
    std::string& content = cluster.world().disk("node-2").files.at("raft.log")->content;
    content[content.size() / 2] = static_cast<char>(content[content.size() / 2] ^ 1);
    expect_refusal(cluster, "node-2", "raft.log at offset ");
  }

  void server_without_metadata_refuses_to_start() {
    Cluster cluster(ClusterSettings{.seed = 7});
    const std::string leader = cluster.wait_for_leader();
    const auto last = cluster.propose_many(leader, "command", 50);
    CPPUNIT_ASSERT(last && cluster.wait_applied(*last));
    cluster.world().kill("node-2");
    cluster.world().disk("node-2").files.erase("raft.metadata");
    expect_refusal(cluster, "node-2", "raft.metadata is missing");
  }

 private:
  static void expect_refusal(Cluster& cluster, const std::string& name, const std::string& detail) {
    cluster.world().restart(name);
    cluster.world().run_for(seconds(1));
    CPPUNIT_ASSERT(!cluster.role(name).started());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.world().faults().size());
    const std::string& fault = cluster.world().faults().front();
    CPPUNIT_ASSERT_MESSAGE(fault, fault.find(detail) != std::string::npos);
    CPPUNIT_ASSERT(cluster.propose_to_leader("the others go on"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StorageTest);

}  // namespace
}  // namespace cairnhollow::consensus
