// An entry written by a newer build: servers halt at it without skipping or losing it, and report the reason.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "tests/consensus/cluster.h"

namespace cairnhollow::consensus {
namespace {

using std::chrono::seconds;

class NewerEntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NewerEntryTest);
  CPPUNIT_TEST(halts_at_the_entry_and_keeps_the_log);
  CPPUNIT_TEST_SUITE_END();

 public:
  void halts_at_the_entry_and_keeps_the_log() {
    Cluster cluster(ClusterSettings{.seed = 8});
    const std::string leader = cluster.wait_for_leader();
    const CallResult before = cluster.propose(leader, "before");
    CPPUNIT_ASSERT(before.succeeded() && cluster.wait_applied(*before.index));
    const std::string newer = wire::encode(std::string("of a newer build"), wire::kNewestFormat + 1);
    CPPUNIT_ASSERT(!cluster.propose(leader, newer).succeeded());
    cluster.world().run_for(seconds(2));
    for (const std::string& name : cluster.names()) {
      CPPUNIT_ASSERT(!cluster.machine(name).has(newer));
      CPPUNIT_ASSERT(cluster.machine(name).has("before"));
    }
    CPPUNIT_ASSERT(cluster.world().faults().empty());

    cluster.world().kill("node-2");
    const std::string kept = log_of(cluster, "node-2");
    CPPUNIT_ASSERT(kept.find(newer) != std::string::npos);
    cluster.world().restart("node-2");
    cluster.world().run_for(seconds(1));
    CPPUNIT_ASSERT(!cluster.role("node-2").started());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.world().faults().size());
    const std::string& fault = cluster.world().faults().front();
    const bool tells =
        fault.find("raft.log at offset ") != std::string::npos &&
        fault.find(fmt::format("written in format {}, and this build reads formats up to {}",
                               wire::kNewestFormat + 1, wire::kNewestFormat)) != std::string::npos;
    CPPUNIT_ASSERT_MESSAGE(fault, tells);
    CPPUNIT_ASSERT(log_of(cluster, "node-2") == kept);
  }

 private:
  static std::string log_of(Cluster& cluster, const std::string& name) {
    return cluster.world().disk(name).files.at("raft.log")->content;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NewerEntryTest);

}  // namespace
}  // namespace cairnhollow::consensus
