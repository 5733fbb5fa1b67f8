// Snapshots: taken, sent to lagging followers, restored at restart, refused when damaged.
#include "consensus/snapshot_file.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/consensus/cluster.h"

namespace cairnhollow::consensus {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSnapshotAfter = 100;

ClusterSettings snapshot_settings(std::uint64_t seed) {
  return ClusterSettings{.seed = seed, .voters = 3, .snapshot_after_entries = kSnapshotAfter};
}

/// Returns any running server other than `name`.
std::string other_than(Cluster& cluster, const std::string& name) {
  for (const std::string& other : cluster.running_names()) {
    if (other != name) return other;
  }
  return "";
}

class SnapshotTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SnapshotTest);
  CPPUNIT_TEST(log_is_compacted_after_snapshots);
  CPPUNIT_TEST(lagging_follower_receives_a_snapshot);
  CPPUNIT_TEST(large_snapshot_is_sent_in_chunks);
  CPPUNIT_TEST(follower_killed_during_install_receives_it_again);
  CPPUNIT_TEST(all_restart_from_snapshot_and_log);
  CPPUNIT_TEST(every_flipped_byte_of_a_snapshot_is_refused);
  CPPUNIT_TEST(server_with_damaged_snapshot_refuses_to_start);
  CPPUNIT_TEST_SUITE_END();

 public:
  void log_is_compacted_after_snapshots() {
    Cluster cluster(snapshot_settings(1));
    const std::string leader = cluster.wait_for_leader();
    const auto last = cluster.propose_many(leader, "command", 1000, 200);
    CPPUNIT_ASSERT(last && cluster.wait_applied(*last));
    cluster.world().run_for(seconds(1));
    for (const std::string& name : cluster.names()) {
      const ConsensusStatus status = cluster.status(name);
      CPPUNIT_ASSERT(status.snapshot_index + kSnapshotAfter >= status.applied_index);
      // The log keeps at most kSnapshotAfter entries before the snapshot, plus those after it.
      const std::size_t bytes = cluster.world().disk(name).files.at("raft.log")->content.size();
      CPPUNIT_ASSERT(bytes < std::size_t{3} * kSnapshotAfter * 400);
    }
    assert_no_violations(cluster);
  }

  void lagging_follower_receives_a_snapshot() {
    Cluster cluster(snapshot_settings(2));
    const std::string leader = cluster.wait_for_leader();
    CPPUNIT_ASSERT(cluster.propose(leader, "first").succeeded());
    const std::string behind = other_than(cluster, leader);
    cluster.world().kill(behind);
    CPPUNIT_ASSERT(cluster.propose_many(leader, "missed", 600));
    cluster.world().restart(behind);
    const CallResult last = cluster.propose(leader, "last");
    CPPUNIT_ASSERT(last.succeeded() && cluster.wait_applied(*last.index));
    CPPUNIT_ASSERT(cluster.machine(behind).restores() > 0);
    CPPUNIT_ASSERT(cluster.machine(behind).commands() == cluster.machine(leader).commands());
    CPPUNIT_ASSERT_EQUAL(std::size_t{602}, cluster.machine(behind).commands().size());
    assert_no_violations(cluster);
  }

  void large_snapshot_is_sent_in_chunks() {
    Cluster cluster(snapshot_settings(3));
    const std::string leader = cluster.wait_for_leader();
    const std::string behind = other_than(cluster, leader);
    cluster.world().kill(behind);
    const auto last = cluster.propose_many(leader, "missed", 400, 4096);  // a snapshot of 25 chunks
    CPPUNIT_ASSERT(last);
    cluster.world().restart(behind);
    CPPUNIT_ASSERT(cluster.wait_applied(*last));
    CPPUNIT_ASSERT(cluster.machine(behind).restores() > 0);
    CPPUNIT_ASSERT(cluster.machine(behind).commands() == cluster.machine(leader).commands());
    assert_no_violations(cluster);
  }

  void follower_killed_during_install_receives_it_again() {
    for (std::uint64_t seed = 10; seed < 18; ++seed) {
      Cluster cluster(snapshot_settings(seed));
      const std::string leader = cluster.wait_for_leader();
      const std::string behind = other_than(cluster, leader);
      cluster.world().kill(behind);
      const auto last = cluster.propose_many(leader, "missed", 300, 2048);
      CPPUNIT_ASSERT(last);
      cluster.world().restart(behind);
      // The kills interrupt the transfer, the write of the snapshot or the reset of the log.
      for (int kill = 0; kill < 3; ++kill) {
        const auto wait = cluster.world().random().between(Duration{0}, std::chrono::milliseconds(60));
        cluster.world().run_for(wait);
        cluster.world().kill(behind);
        cluster.world().restart(behind);
      }
      CPPUNIT_ASSERT(cluster.wait_applied(*last));
      CPPUNIT_ASSERT(cluster.machine(behind).commands() == cluster.machine(leader).commands());
      assert_no_violations(cluster);
    }
  }

  void all_restart_from_snapshot_and_log() {
    Cluster cluster(snapshot_settings(4));
    const std::string leader = cluster.wait_for_leader();
    const auto last = cluster.propose_many(leader, "command", 350);
    CPPUNIT_ASSERT(last && cluster.wait_applied(*last));
    for (const std::string& name : cluster.names()) cluster.world().kill(name);
    for (const std::string& name : cluster.names()) cluster.world().restart(name);
    CPPUNIT_ASSERT(!cluster.wait_for_leader().empty());
    CPPUNIT_ASSERT(cluster.wait_applied(*last));
    for (const std::string& name : cluster.names()) {
      CPPUNIT_ASSERT_EQUAL(1, cluster.machine(name).restores());
      CPPUNIT_ASSERT_EQUAL(std::size_t{350}, cluster.machine(name).commands().size());
      CPPUNIT_ASSERT(cluster.status(name).snapshot_index >= 300);
    }
    CPPUNIT_ASSERT(cluster.propose_to_leader("after"));
    assert_no_violations(cluster);
  }

  void every_flipped_byte_of_a_snapshot_is_refused() {
    Snapshot snapshot;
    snapshot.last = LogBase{7, 2};
    snapshot.state = "state";
    const std::string bytes = SnapshotFile::encode(snapshot);
    Reason reason;
    CPPUNIT_ASSERT(SnapshotFile::decode(bytes, reason)->state == "state");
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      std::string damaged = bytes;
      damaged[at] = static_cast<char>(damaged[at] ^ 4);
      CPPUNIT_ASSERT(!SnapshotFile::decode(damaged, reason));
      CPPUNIT_ASSERT(reason.code == ReasonCode::kCorrupt);
    }
  }

  void server_with_damaged_snapshot_refuses_to_start() {
    Cluster cluster(snapshot_settings(5));
    const std::string leader = cluster.wait_for_leader();
    const auto last = cluster.propose_many(leader, "command", 350);
    CPPUNIT_ASSERT(last && cluster.wait_applied(*last));
    cluster.world().kill("node-3");
    std::string& content = cluster.world().disk("node-3").files.at("raft.snapshot")->content;
    content[content.size() / 2] = static_cast<char>(content[content.size() / 2] ^ 1);
    cluster.world().restart("node-3");
    cluster.world().run_for(seconds(1));
    CPPUNIT_ASSERT(!cluster.role("node-3").started());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.world().faults().size());
    const std::string& fault = cluster.world().faults().front();
    CPPUNIT_ASSERT_MESSAGE(fault, fault.find("raft.snapshot at offset 0") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotTest);

}  // namespace
}  // namespace cairnhollow::consensus
