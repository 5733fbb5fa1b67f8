// Tests which evidence shows that the remaining members of a group hold what a departed member held.
#include "registered/control/failover/member_settlement.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/registered/control/control_stand.h"

namespace cairnhollow::registered::control {

using std::chrono::seconds;

namespace {

const GroupName kGroup("group");
constexpr const char* kDeparted = "replica-2";
/// Longer than any deregistered backend serves on.
constexpr Duration kLong = std::chrono::minutes(10);

}  // namespace

class MemberSettlementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberSettlementTest);
  CPPUNIT_TEST(settles_once_another_replica_holds_the_primarys_log);
  CPPUNIT_TEST(does_not_settle_while_the_departed_member_runs);
  CPPUNIT_TEST(does_not_settle_while_the_departed_member_is_silent);
  CPPUNIT_TEST(does_not_settle_while_the_other_replica_lags);
  CPPUNIT_TEST(does_not_settle_by_a_leaving_replica);
  CPPUNIT_TEST(does_not_settle_without_the_primary);
  CPPUNIT_TEST(another_backend_at_the_address_shows_the_end);
  CPPUNIT_TEST(only_the_leader_settles);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    stand_ = std::make_unique<ControlStand>();
    stand_->open_group();
    wake_ = std::make_unique<runtime::Signal>(stand_->runtime());
    terms_ = std::make_unique<GroupTerms>(stand_->runtime(), stand_->consensus(), stand_->fleet(),
                                          stand_->calls());
    settlement_ = std::make_unique<MemberSettlement>(stand_->runtime(), stand_->fleet(), *terms_,
                                                     stand_->prober(), *wake_);
    stand_->consensus().commit(registry::DeregisterBackend{BackendName(kDeparted)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unsettled());
  }
  void tearDown() override {
    stand_.reset();
    settlement_.reset();
    terms_.reset();
    wake_.reset();
  }

  void settles_once_another_replica_holds_the_primarys_log() {
    stand_->members[kDeparted].has_ended = true;
    run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unsettled());
  }

  /// Guards against taking a deregistration for the end: it still receives commits that nobody else has.
  void does_not_settle_while_the_departed_member_runs() {
    run(kLong);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unsettled());
    const int questions = stand_->members[kDeparted].questions;
    run(seconds(10));
    CPPUNIT_ASSERT_MESSAGE(
        "asked at most once per interval",
        stand_->members[kDeparted].questions - questions <= seconds(10) / kDepartedProbeInterval);
    stand_->members[kDeparted].has_ended = true;
    run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unsettled());
  }

  /// Guards against taking silence or elapsed time for evidence.
  void does_not_settle_while_the_departed_member_is_silent() {
    stand_->members[kDeparted].answers = false;
    run(kLong);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unsettled());
  }

  void does_not_settle_while_the_other_replica_lags() {
    stand_->members[kDeparted].has_ended = true;
    stand_->members["replica-1"].status.received = {1, 9};
    run(kLong);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unsettled());
    stand_->members["replica-1"].status.received = {1, 10};
    run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unsettled());
  }

  void does_not_settle_by_a_leaving_replica() {
    stand_->members[kDeparted].has_ended = true;
    registry::BackendEntry leaving = ControlStand::entry("replica-1", 9002);
    leaving.leaving = true;
    leaving.sequence = 2;
    stand_->consensus().commit(registry::RegisterBackend{leaving});
    run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unsettled());
  }

  void does_not_settle_without_the_primary() {
    stand_->members[kDeparted].has_ended = true;
    stand_->members["primary"].answers = false;
    run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unsettled());
  }

  void another_backend_at_the_address_shows_the_end() {
    stand_->answering_at[ControlStand::entry(kDeparted, 9003).endpoint] = "another";
    run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unsettled());
  }

  void only_the_leader_settles() {
    stand_->members[kDeparted].has_ended = true;
    stand_->consensus().is_leader = false;
    run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unsettled());
  }

 private:
  void run(Duration duration) {
    for (const TimePoint end = stand_->now() + duration; stand_->now() < end;) {
      settlement_->settle_all();
      stand_->run_for(std::chrono::milliseconds(50));
    }
  }
  std::size_t unsettled() { return stand_->fleet().departed().of(kGroup).size(); }

  std::unique_ptr<ControlStand> stand_;
  std::unique_ptr<runtime::Signal> wake_;
  std::unique_ptr<GroupTerms> terms_;
  std::unique_ptr<MemberSettlement> settlement_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberSettlementTest);

}  // namespace cairnhollow::registered::control
