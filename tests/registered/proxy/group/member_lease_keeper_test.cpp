// Guards against member leases unless all members answer as unpaused replicas of the known term, and against
// leases long after control was lost.
#include "registered/proxy/group/member_lease_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

#include "registered/registry/member_lease.h"
#include "tests/registered/proxy/session_stand.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

class MemberLeaseRenewerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberLeaseRenewerTest);
  CPPUNIT_TEST(replicas_of_term_grant_lease);
  CPPUNIT_TEST(unfit_member_prevents_lease);
  CPPUNIT_TEST(member_joining_during_query_prevents_lease);
  CPPUNIT_TEST(lease_is_bound_to_epoch);
  CPPUNIT_TEST(no_member_lease_without_prior_control_lease);
  CPPUNIT_TEST(no_member_lease_after_long_control_outage);
  CPPUNIT_TEST(lease_starts_at_query);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { start(); }
  void tearDown() override { stand_.reset(); }

  void replicas_of_term_grant_lease() {
    lose_control();
    CPPUNIT_ASSERT(serves());
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT_MESSAGE("the lease is renewed", serves());
  }

  void unfit_member_prevents_lease() {
    struct Case {
      const char* name;
      void (*change)(SessionStand& stand);
    };
    const std::vector<Case> cases{
        {"the replica was promoted",
         [](SessionStand& stand) { stand.statuses["replica"].is_primary = true; }},
        {"the replica follows a newer term", [](SessionStand& stand) { stand.statuses["replica"].term = 2; }},
        {"the replica follows an older term",
         [](SessionStand& stand) { stand.statuses["replica"].term = 0; }},
        {"the replica is paused", [](SessionStand& stand) { stand.statuses["replica"].pause_term = 2; }},
        {"the replica is silent", [](SessionStand& stand) { stand.silent.insert("replica"); }},
        {"the replica is unreachable", [](SessionStand& stand) { stand.unreachable.insert("replica"); }},
        {"one of two replicas is silent",
         [](SessionStand& stand) {
           stand.update_backend("another", false);
           stand.statuses["another"].term = 1;
           stand.silent.insert("another");
         }},
        {"a leaving replica is paused",
         [](SessionStand& stand) {
           stand.update_backend("another", true);
           stand.statuses["another"].term = 1;
           stand.statuses["another"].pause_term = 2;
         }},
        {"the primary has restarted",
         [](SessionStand& stand) {
           registry::FleetDelta restarted = stand.delta();
           restarted.terms = {stand.group()->term()};
           restarted.terms[0].primary_start_time_ms = 1000;
           restarted.backends = {*stand.view().find_backend(BackendName(SessionStand::kPrimary))};
           restarted.backends[0].start_time_ms = 2000;
           stand.view().apply(restarted);
         }},
        {"the group has no other member",
         [](SessionStand& stand) {
           registry::FleetDelta removed = stand.delta();
           removed.removed_backends = {BackendName("replica")};
           stand.view().apply(removed);
         }},
    };
    for (const Case& test_case : cases) {
      start();
      test_case.change(*stand_);
      lose_control();
      CPPUNIT_ASSERT_MESSAGE(test_case.name, !serves());
      stand_->run_for(seconds(2));
      CPPUNIT_ASSERT_MESSAGE(test_case.name, !serves());
    }
  }

  void member_joining_during_query_prevents_lease() {
    stand_->confirm(milliseconds(500), seconds(4));
    stand_->statuses["another"].term = 2;
    stand_->during(Step::kStatus, [this] { stand_->update_backend("another", false); });
    // Control's lease has expired; a lease from the first query would still be valid.
    stand_->run_for(milliseconds(560));
    CPPUNIT_ASSERT(!stand_->view().lease_valid());
    CPPUNIT_ASSERT(!serves());
  }

  void lease_is_bound_to_epoch() {
    lose_control();
    CPPUNIT_ASSERT(serves());
    stand_->close_group();
    CPPUNIT_ASSERT_MESSAGE("a closed group has no lease", !serves());
    const TimePoint until = stand_->now() + seconds(1);
    GroupAccess& group = *stand_->group();
    const std::uint64_t closed = group.term().epoch;
    stand_->view().extend_member_lease(group, closed, group.leadership.membership(), until);
    CPPUNIT_ASSERT(!serves());
    registry::FleetDelta opened = stand_->delta();
    registry::GroupTerm term = group.term();
    term.open = true;
    ++term.epoch;
    opened.terms = {term};
    stand_->view().apply(opened);
    stand_->view().extend_member_lease(group, closed, group.leadership.membership(), until);
    CPPUNIT_ASSERT_MESSAGE("granted for another epoch", !serves());
    stand_->view().extend_member_lease(group, term.epoch, group.leadership.membership(), until);
    CPPUNIT_ASSERT(serves());
  }

  void no_member_lease_without_prior_control_lease() {
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT(!serves());
  }

  void no_member_lease_after_long_control_outage() {
    lose_control();
    const TimePoint end = stand_->view().lease_until() + registry::kServeWithoutControl;
    stand_->run_for(end - stand_->now() - milliseconds(1));
    CPPUNIT_ASSERT(serves());
    stand_->run_for(milliseconds(2));
    CPPUNIT_ASSERT(!serves());
    GroupAccess& group = *stand_->group();
    stand_->view().extend_member_lease(group, group.term().epoch, group.leadership.membership(),
                                       stand_->now() + registry::kMemberLease);
    CPPUNIT_ASSERT(!serves());
  }

  void lease_starts_at_query() {
    stand_->confirm(milliseconds(500), seconds(4));
    stand_->during(Step::kStatus, [] {});
    const TimePoint started_at = stand_->now();
    // Runs until the first answers have arrived, after kEventStepDuration; no others follow.
    stand_->run_for(kMemberLeaseTick + kEventStepDuration + milliseconds(10));
    stand_->silent.insert("replica");
    stand_->run_for(started_at + kMemberLeaseTick + registry::kMemberLease - milliseconds(10) -
                    stand_->now());
    CPPUNIT_ASSERT(!stand_->view().lease_valid() && serves());
    stand_->run_for(milliseconds(20));
    CPPUNIT_ASSERT(!serves());
  }

 private:
  void start() {
    stand_.reset();
    stand_ = std::make_unique<SessionStand>();
    renewer_ = std::make_unique<MemberLeaseRenewer>(stand_->runtime(), stand_->view(), stand_->metrics());
    renewer_->start();
  }
  /// Control's lease has expired on return.
  void lose_control() {
    stand_->confirm(milliseconds(500), seconds(4));
    stand_->run_for(milliseconds(600));
    CPPUNIT_ASSERT(!stand_->view().lease_valid());
  }
  [[nodiscard]] bool serves() { return stand_->view().holds_lease_for(*stand_->group()); }

  std::unique_ptr<SessionStand> stand_;
  std::unique_ptr<MemberLeaseRenewer> renewer_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberLeaseRenewerTest);

}  // namespace cairnhollow::registered::proxy
