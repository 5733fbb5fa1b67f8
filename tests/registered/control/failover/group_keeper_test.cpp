// Tests the order of failover phases: no backend is promoted before the old primary is out of use, and only a
// node that is the leader at that moment promotes.
#include "registered/control/failover/group_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

#include "registered/registry/member_lease.h"
#include "tests/registered/control/control_stand.h"

namespace cairnhollow::registered::control {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const GroupName kGroup("group");

}  // namespace

class GroupKeeperTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupKeeperTest);
  CPPUNIT_TEST(replaces_a_failed_primary);
  CPPUNIT_TEST(keeps_a_primary_at_its_connection_limit);
  CPPUNIT_TEST(replaces_a_primary_that_stays_at_its_connection_limit);
  CPPUNIT_TEST(waits_for_leases_from_control);
  CPPUNIT_TEST(waits_for_member_leases_of_an_unresponsive_proxy);
  CPPUNIT_TEST(does_not_promote_an_unpaused_member);
  CPPUNIT_TEST(does_not_promote_without_a_quorum);
  CPPUNIT_TEST(does_not_promote_after_losing_the_quorum);
  CPPUNIT_TEST(does_not_promote_after_a_stale_read_barrier);
  CPPUNIT_TEST(does_not_promote_after_losing_leadership);
  CPPUNIT_TEST(does_not_promote_for_a_superseded_close);
  CPPUNIT_TEST(does_not_query_members_for_a_close_that_ended_while_waiting);
  CPPUNIT_TEST(retries_a_rejected_promotion_after_a_delay);
  CPPUNIT_TEST(new_leader_relies_on_recorded_evidence);
  CPPUNIT_TEST(new_leader_does_not_rely_on_elapsed_time);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { start_keeper(0); }
  void tearDown() override { stand_.reset(); }

  void replaces_a_failed_primary() {
    kill_primary();
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT(stand_->first("promote") != nullptr);
    CPPUNIT_ASSERT(stand_->term().open);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, stand_->term().term);
    CPPUNIT_ASSERT_MESSAGE("every proxy answered, so no member is paused", stand_->first("pause") == nullptr);
  }

  void keeps_a_primary_at_its_connection_limit() {
    stand_->members["primary"].is_full = true;
    for (int second = 0; second < 3; ++second) {
      // A reused connection would not meet the limit.
      stand_->prober().close_idle(BackendName("primary"));
      suspect_primary();
      stand_->run_for(seconds(1));
    }
    CPPUNIT_ASSERT(stand_->term().open);
    CPPUNIT_ASSERT(stand_->first("promote") == nullptr);
    stand_->members["primary"].is_full = false;
    kill_primary();
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT_MESSAGE("one that does not answer is replaced", stand_->first("promote") != nullptr);
  }

  void replaces_a_primary_that_stays_at_its_connection_limit() {
    stand_->members["primary"].is_full = true;
    const TimePoint begun_at = stand_->now();
    while (stand_->first("promote") == nullptr && stand_->now() < begun_at + 2 * kFullPrimaryTolerance) {
      stand_->prober().close_idle(BackendName("primary"));
      suspect_primary();
      stand_->run_for(seconds(1));
    }
    const auto* promoted = stand_->first("promote");
    CPPUNIT_ASSERT(promoted != nullptr);
    CPPUNIT_ASSERT(promoted->at >= begun_at + kFullPrimaryTolerance);
  }

  void waits_for_leases_from_control() {
    const auto proxy = stand_->connect("proxy");
    report(*proxy);
    const TimePoint reported = stand_->now();
    kill_primary();
    stand_->run_for(seconds(5));
    const auto* promoted = stand_->first("promote");
    CPPUNIT_ASSERT(promoted != nullptr);
    CPPUNIT_ASSERT(promoted->at >= reported + ControlStand::kLease - milliseconds(50));
  }

  void waits_for_member_leases_of_an_unresponsive_proxy() {
    const auto proxy = stand_->connect("proxy");
    report(*proxy, stand_->fleet().revision());
    report(*proxy, stand_->fleet().revision());
    stand_->run_for(ControlStand::kLease + milliseconds(100));
    kill_primary();
    stand_->run_for(seconds(3));
    const auto* paused = stand_->first("pause");
    const auto* promoted = stand_->first("promote");
    CPPUNIT_ASSERT(paused != nullptr && promoted != nullptr);
    CPPUNIT_ASSERT(promoted->at - paused->at >= registry::kMemberLeaseWait);
  }

  void does_not_promote_an_unpaused_member() {
    const auto proxy = stand_->connect("proxy");
    report(*proxy, stand_->fleet().revision());
    report(*proxy, stand_->fleet().revision());
    stand_->run_for(ControlStand::kLease + milliseconds(100));
    for (const char* replica : {"replica-1", "replica-2"}) stand_->members[replica].forgets_pauses = true;
    kill_primary();
    stand_->run_for(seconds(3));
    CPPUNIT_ASSERT(stand_->first("pause") != nullptr);
    CPPUNIT_ASSERT(stand_->first("promote") == nullptr);
  }

  void does_not_promote_without_a_quorum() {
    close_group();
    stand_->consensus().has_quorum = false;
    stand_->run_for(seconds(3));
    CPPUNIT_ASSERT_MESSAGE("proposes to record the attempt", stand_->consensus().proposals > 0);
    CPPUNIT_ASSERT(stand_->first("promote") == nullptr);
    stand_->consensus().has_quorum = true;
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT(stand_->first("promote") != nullptr);
  }

  void does_not_promote_after_losing_the_quorum() {
    close_group();
    stand_->consensus().during_barrier = [this] { stand_->consensus().has_quorum = false; };
    stand_->run_for(seconds(3));
    CPPUNIT_ASSERT_MESSAGE("requests a read barrier", stand_->consensus().barriers > 0);
    CPPUNIT_ASSERT(stand_->first("promote") == nullptr);
  }

  void does_not_promote_after_a_stale_read_barrier() {
    close_group();
    stand_->consensus().barrier_takes = kMaxReadBarrierAge + milliseconds(10);
    stand_->run_for(seconds(3));
    CPPUNIT_ASSERT(stand_->first("promote") == nullptr);
    stand_->consensus().barrier_takes = milliseconds(1);
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT(stand_->first("promote") != nullptr);
  }

  void does_not_promote_after_losing_leadership() {
    close_group();
    stand_->consensus().barrier_takes = milliseconds(20);
    stand_->consensus().during_barrier = [this] { stand_->consensus().is_leader = false; };
    stand_->run_for(seconds(3));
    CPPUNIT_ASSERT(stand_->first("promote") == nullptr);
  }

  /// Meanwhile another leader, which knows of the recorded attempt, opened the group with its backend.
  void does_not_promote_for_a_superseded_close() {
    close_group();
    stand_->consensus().during_barrier = [this] { open_with("replica-1"); };
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT(stand_->first("promote") == nullptr);
    CPPUNIT_ASSERT(stand_->term().open && stand_->term().primary.value == "replica-1");
  }

  void does_not_query_members_for_a_close_that_ended_while_waiting() {
    constexpr double kRate = 0.1;  // the next turn is 20 s away
    start_keeper(kRate);
    close_group();
    stand_->run_for(seconds(1));
    CPPUNIT_ASSERT_MESSAGE("the first turn is used", stand_->first("promote") != nullptr);
    CPPUNIT_ASSERT(stand_->term().open);
    stand_->events.clear();
    stand_->members[stand_->term().primary.value].answers = false;
    stand_->consensus().commit(registry::CloseGroup{kGroup, stand_->term().epoch});
    stand_->run_for(seconds(1));
    CPPUNIT_ASSERT(!stand_->term().open);
    open_with("replica-2");
    const int asked = stand_->members["replica-2"].questions;
    stand_->run_for(seconds(30));
    CPPUNIT_ASSERT(stand_->first("promote") == nullptr);
    CPPUNIT_ASSERT_EQUAL(asked, stand_->members["replica-2"].questions);
    CPPUNIT_ASSERT(stand_->term().open && stand_->term().primary.value == "replica-2");
  }

  void retries_a_rejected_promotion_after_a_delay() {
    stand_->refuses_promotions = true;
    close_group();
    stand_->run_for(seconds(2));
    const auto orders = static_cast<Duration::rep>(stand_->events.size());
    CPPUNIT_ASSERT_MESSAGE("retried", orders > 2);
    CPPUNIT_ASSERT(orders <= seconds(2) / kFailoverRetryDelay);
    stand_->refuses_promotions = false;
    stand_->run_for(seconds(1));
    CPPUNIT_ASSERT(stand_->term().open);
  }

  /// Incarnations are replaced while this node is a follower; it becomes leader after the primary and a proxy
  /// are gone.
  void new_leader_relies_on_recorded_evidence() {
    replace_incarnations_as_follower();
    stand_->consensus().commit(registry::SettleDeparted{kGroup, stand_->fleet().departed().of(kGroup)});
    lead_without_the_primary();
    stand_->run_for(seconds(3));
    CPPUNIT_ASSERT(stand_->first("promote") != nullptr);
    CPPUNIT_ASSERT(stand_->term().open);
  }

  /// The same without evidence of the former leader: time alone is none.
  void new_leader_does_not_rely_on_elapsed_time() {
    replace_incarnations_as_follower();
    stand_->run_for(seconds(60));
    lead_without_the_primary();
    stand_->run_for(seconds(10));
    CPPUNIT_ASSERT(stand_->first("promote") == nullptr);
    CPPUNIT_ASSERT(!stand_->term().open);
  }

 private:
  /// Starts a keeper on the leader, and waits until leases from before have expired and the members have
  /// settled.
  void start_keeper(double promotion_rate) {
    stand_.reset();
    stand_ = std::make_unique<ControlStand>();
    stand_->leases().start();
    stand_->open_group();
    keeper_ = std::make_unique<GroupKeeper>(stand_->runtime(), stand_->consensus(), stand_->fleet(),
                                            stand_->calls(), stand_->leases(), stand_->prober(), *stand_,
                                            GroupKeeperSettings{NodeName("10.0.0.1"), {}, promotion_rate});
    keeper_->start();
    stand_->run_for(seconds(20));
  }

  void replace_incarnations_as_follower() {
    stand_->consensus().is_leader = false;
    std::uint16_t port = 9001;
    for (const char* name : {"primary", "replica-1", "replica-2"}) {
      registry::BackendEntry incarnation = ControlStand::entry(name, port++);
      incarnation.start_time_ms = 1000;
      stand_->consensus().commit(registry::RegisterBackend{incarnation});
    }
    stand_->run_for(seconds(5));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the primary and the replicas; followers leave them to the leader",
                                 std::size_t{2}, stand_->fleet().departed().of(kGroup).size());
  }
  void lead_without_the_primary() {
    stand_->admit("proxy");
    stand_->consensus().commit(registry::ForgetProxy{NodeName("proxy"), 1});
    stand_->consensus().is_leader = true;
    kill_primary();
  }

  void open_with(const char* backend) {
    const registry::GroupTerm closed = stand_->term();
    stand_->consensus().commit(
        registry::OpenGroup{kGroup, closed.epoch, closed.term + 1, BackendName(backend), 0});
  }

  void kill_primary() {
    stand_->members["primary"].answers = false;
    suspect_primary();
  }
  void suspect_primary() {
    registry::PrimarySuspicion suspicion;
    suspicion.group = kGroup;
    suspicion.backend = BackendName("primary");
    suspicion.term = 1;
    for (const char* proxy : {"one", "two"}) keeper_->record_suspicion(NodeName(proxy), suspicion);
  }

  void close_group() {
    stand_->members["primary"].answers = false;
    stand_->consensus().barriers = 0;
    stand_->consensus().commit(registry::CloseGroup{kGroup, stand_->term().epoch});
  }

  void report(ProxyFrames& proxy, std::uint64_t revision = 0) {
    registry::ProxyReport report;
    report.nonce = ++nonce_;
    report.incarnation = 1;
    report.revision = revision;
    report.peer_endpoint = {"10.0.0.9", 7440};
    proxy.report(report);
    stand_->run_for(milliseconds(50));
  }

  std::unique_ptr<ControlStand> stand_;
  std::unique_ptr<GroupKeeper> keeper_;
  std::uint64_t nonce_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupKeeperTest);

}  // namespace cairnhollow::registered::control
