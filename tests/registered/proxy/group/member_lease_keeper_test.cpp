// When the members of a group lend their proxy a lease: all of them answer, as replicas of the term that it
// knows, and none is paused; and control was not gone for too long.
#include "registered/proxy/group/member_lease_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

#include "registered/registry/member_lease.h"
#include "tests/registered/proxy/session_stand.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

class MemberLeaseKeeperTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberLeaseKeeperTest);
  CPPUNIT_TEST(replicas_of_the_term_lend_a_lease);
  CPPUNIT_TEST(a_member_that_is_no_replica_of_the_term_lends_none);
  CPPUNIT_TEST(a_member_that_joins_while_others_are_asked_counts);
  CPPUNIT_TEST(the_lease_is_the_epochs);
  CPPUNIT_TEST(nobody_lends_to_who_never_had_one);
  CPPUNIT_TEST(nothing_is_lent_after_control_was_gone_for_long);
  CPPUNIT_TEST(a_lease_is_counted_from_the_question);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { start(); }
  void tearDown() override { stand_.reset(); }

  void replicas_of_the_term_lend_a_lease() {
    lose_control();
    CPPUNIT_ASSERT(serves());
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT_MESSAGE("it is renewed", serves());
  }

  void a_member_that_is_no_replica_of_the_term_lends_none() {
    struct Case {
      const char* name;
      void (*change)(SessionStand& stand);
    };
    const std::vector<Case> cases{
        {"it was promoted", [](SessionStand& stand) { stand.statuses["replica"].is_primary = true; }},
        {"it follows a newer term", [](SessionStand& stand) { stand.statuses["replica"].term = 2; }},
        {"it follows an older term", [](SessionStand& stand) { stand.statuses["replica"].term = 0; }},
        {"it is paused", [](SessionStand& stand) { stand.statuses["replica"].pause_term = 2; }},
        {"it is silent", [](SessionStand& stand) { stand.silent.insert("replica"); }},
        {"it can't be reached", [](SessionStand& stand) { stand.unreachable.insert("replica"); }},
        {"one of two is silent",
         [](SessionStand& stand) {
           stand.put_member("another", false);
           stand.statuses["another"].term = 1;
           stand.silent.insert("another");
         }},
        {"one that leaves is paused",
         [](SessionStand& stand) {
           stand.put_member("another", true);
           stand.statuses["another"].term = 1;
           stand.statuses["another"].pause_term = 2;
         }},
        {"the primary has started again",
         [](SessionStand& stand) {
           registry::FleetDelta restarted = stand.delta();
           restarted.terms = {stand.group()->term()};
           restarted.terms[0].primary_start_time_ms = 1000;
           restarted.backends = {*stand.view().find_backend(BackendName(SessionStand::kPrimary))};
           restarted.backends[0].start_time_ms = 2000;
           stand.view().apply(restarted);
         }},
        {"nobody else is there",
         [](SessionStand& stand) {
           registry::FleetDelta removed = stand.delta();
           removed.removed_backends = {BackendName("replica")};
           stand.view().apply(removed);
         }},
    };
    for (const Case& unfit : cases) {
      start();
      unfit.change(*stand_);
      lose_control();
      CPPUNIT_ASSERT_MESSAGE(unfit.name, !serves());
      stand_->run_for(seconds(2));
      CPPUNIT_ASSERT_MESSAGE(unfit.name, !serves());
    }
  }

  void a_member_that_joins_while_others_are_asked_counts() {
    stand_->confirm(milliseconds(500), seconds(4));
    stand_->statuses["another"].term = 2;
    stand_->during(Step::kStatus, [this] { stand_->put_member("another", false); });
    // Control's lease has ended, and one from the first question would not have.
    stand_->run_for(milliseconds(560));
    CPPUNIT_ASSERT(!stand_->view().lease_valid());
    CPPUNIT_ASSERT(!serves());
  }

  void the_lease_is_the_epochs() {
    lose_control();
    CPPUNIT_ASSERT(serves());
    stand_->close_group();
    CPPUNIT_ASSERT_MESSAGE("a closed group has none", !serves());
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
    CPPUNIT_ASSERT_MESSAGE("asked for another epoch", !serves());
    stand_->view().extend_member_lease(group, term.epoch, group.leadership.membership(), until);
    CPPUNIT_ASSERT(serves());
  }

  void nobody_lends_to_who_never_had_one() {
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT(!serves());
  }

  void nothing_is_lent_after_control_was_gone_for_long() {
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

  void a_lease_is_counted_from_the_question() {
    stand_->confirm(milliseconds(500), seconds(4));
    stand_->during(Step::kStatus, [] {});
    const TimePoint begun = stand_->now();
    // Until the first answers have come, which took kEventfulStep; there are no others.
    stand_->run_for(kMemberLeaseTick + kEventfulStep + milliseconds(10));
    stand_->silent.insert("replica");
    stand_->run_for(begun + kMemberLeaseTick + registry::kMemberLease - milliseconds(10) - stand_->now());
    CPPUNIT_ASSERT(!stand_->view().lease_valid() && serves());
    stand_->run_for(milliseconds(20));
    CPPUNIT_ASSERT(!serves());
  }

 private:
  void start() {
    stand_.reset();
    stand_ = std::make_unique<SessionStand>();
    keeper_ = std::make_unique<MemberLeaseKeeper>(stand_->runtime(), stand_->view(), stand_->metrics());
    keeper_->start();
  }
  /// Control's lease has ended when it returns.
  void lose_control() {
    stand_->confirm(milliseconds(500), seconds(4));
    stand_->run_for(milliseconds(600));
    CPPUNIT_ASSERT(!stand_->view().lease_valid());
  }
  [[nodiscard]] bool serves() { return stand_->view().holds_lease_for(*stand_->group()); }

  std::unique_ptr<SessionStand> stand_;
  std::unique_ptr<MemberLeaseKeeper> keeper_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberLeaseKeeperTest);

}  // namespace cairnhollow::registered::proxy
