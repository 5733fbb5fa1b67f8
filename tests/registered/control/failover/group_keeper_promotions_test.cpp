// Tests what a group keeper does while promotion requests of other control nodes are unsettled.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "registered/control/failover/group_keeper.h"
#include "tests/registered/control/control_stand.h"

namespace cairnhollow::registered::control {

using registry::PromotionAttempt;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const GroupName kGroup("group");

}  // namespace

class GroupKeeperPromotionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupKeeperPromotionsTest);
  CPPUNIT_TEST(chooses_only_the_backend_that_a_request_may_still_promote);
  CPPUNIT_TEST(does_not_open_before_a_withdrawn_request_is_settled);
  CPPUNIT_TEST(planned_change_waits_for_a_request_that_may_arrive);
  CPPUNIT_TEST(planned_change_waits_for_a_withdrawn_request);
  CPPUNIT_TEST(closes_a_group_whose_primary_is_gone_while_a_request_may_arrive);
  CPPUNIT_TEST(members_stay_paused_while_a_request_may_take_effect);
  CPPUNIT_TEST(members_are_resumed_once_no_proxy_uses_the_old_primary);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Starts a keeper on the leader, and waits until leases from before have expired and the members have
  /// settled.
  void setUp() override {
    stand_ = std::make_unique<ControlStand>();
    stand_->leases().start();
    stand_->open_group();
    keeper_ = std::make_unique<GroupKeeper>(stand_->runtime(), stand_->consensus(), stand_->fleet(),
                                            stand_->calls(), stand_->leases(), stand_->prober(), *stand_,
                                            GroupKeeperSettings{NodeName("10.0.0.1")});
    keeper_->start();
    stand_->run_for(seconds(20));
  }
  void tearDown() override { stand_.reset(); }

  /// Guards against a request of a former leader that arrives after this one has promoted another backend.
  void chooses_only_the_backend_that_a_request_may_still_promote() {
    stand_->members["replica-2"].answers = false;
    close_group();
    begin("replica-2");
    stand_->run_for(seconds(5));
    CPPUNIT_ASSERT(stand_->first("promote") == nullptr);
    stand_->members["replica-2"].answers = true;
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT(stand_->first("promote replica-2") != nullptr);
    CPPUNIT_ASSERT(stand_->term().open && stand_->term().primary == BackendName("replica-2"));
  }

  /// Guards against a withdrawn request that takes effect after the group was opened with another backend.
  void does_not_open_before_a_withdrawn_request_is_settled() {
    stand_->members["replica-2"].answers = false;
    close_group();
    withdraw(begin("replica-2"));
    stand_->members["primary"].answers = true;
    stand_->members["primary"].status = {false, 1, Position{1, 10}, 0};
    stand_->run_for(kPromotionEffectTimeout - milliseconds(500));
    CPPUNIT_ASSERT(stand_->first("promote replica-1") != nullptr);
    CPPUNIT_ASSERT(!stand_->term().open);
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT(stand_->term().open && stand_->term().primary == BackendName("replica-1"));
  }

  /// Guards against a group that is closed to replace a leaving primary, but can be opened with nobody else,
  /// as a request may still promote that one.
  void planned_change_waits_for_a_request_that_may_arrive() {
    const PromotionAttempt attempt = begin("primary");
    let_primary_leave();
    stand_->run_for(seconds(3));
    CPPUNIT_ASSERT(stand_->term().open && stand_->term().primary == BackendName("primary"));
    stand_->consensus().commit(registry::SettlePromotions{{attempt}});
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT_MESSAGE("it follows the settling, which leaves the fleet's revision as it is",
                           stand_->term().open && stand_->term().primary != BackendName("primary"));
  }

  /// Guards against a group that is closed while the effect of a withdrawn request is awaited.
  void planned_change_waits_for_a_withdrawn_request() {
    withdraw(begin("primary"));
    let_primary_leave();
    stand_->run_for(seconds(4));
    CPPUNIT_ASSERT(stand_->term().open && stand_->term().primary != BackendName("primary"));
    CPPUNIT_ASSERT_MESSAGE("settled while the group was open",
                           stand_->events.front().what == "promote primary");
    CPPUNIT_ASSERT_EQUAL_MESSAGE("closed once", std::uint64_t{3}, stand_->term().epoch);
  }

  /// Guards against a group that stays open with a primary that nobody can use.
  void closes_a_group_whose_primary_is_gone_while_a_request_may_arrive() {
    begin("primary");
    stand_->consensus().commit(registry::DeregisterBackend{BackendName("primary")});
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT(!stand_->term().open);
    CPPUNIT_ASSERT(stand_->first("promote") == nullptr);
  }

  /// Guards against commits that a proxy without contact to control gets acknowledged by the old primary and
  /// a resumed member, before a withdrawn request that the platform has received promotes the other one.
  void members_stay_paused_while_a_request_may_take_effect() {
    const auto proxy = close_without_an_answer_of_a_proxy();
    stand_->run_for(seconds(10));
    CPPUNIT_ASSERT(stand_->members["replica-1"].status.pause_term != 0);
    const auto pauses =
        std::count_if(stand_->events.begin(), stand_->events.end(),
                      [](const ControlStand::Event& event) { return event.what == "pause replica-1"; });
    CPPUNIT_ASSERT_EQUAL_MESSAGE("never resumed", std::ptrdiff_t{1}, static_cast<std::ptrdiff_t>(pauses));
    CPPUNIT_ASSERT(stand_->first("promote") == nullptr);
  }

  /// Guards against a group that stays closed because its paused members cannot catch up, and that makes no
  /// request whose answer would settle the withdrawn one.
  void members_are_resumed_once_no_proxy_uses_the_old_primary() {
    const auto proxy = close_without_an_answer_of_a_proxy();
    stand_->run_for(seconds(5));
    report(*proxy, stand_->fleet().revision(), {{kGroup, stand_->term().epoch, Position{1, 20}}});
    stand_->run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("resumed", std::uint64_t{0}, stand_->members["replica-1"].status.pause_term);
    CPPUNIT_ASSERT(stand_->first("promote") == nullptr);
    stand_->members["replica-1"].status.received = Position{1, 20};
    stand_->run_for(kPromotionEffectTimeout + seconds(1));
    CPPUNIT_ASSERT(stand_->term().open && stand_->term().primary == BackendName("replica-1"));
  }

 private:
  void close_group() {
    stand_->members["primary"].answers = false;
    stand_->consensus().commit(registry::CloseGroup{kGroup, stand_->term().epoch});
  }
  /// Records a request of another control node.
  PromotionAttempt begin(const char* backend) {
    PromotionAttempt attempt{kGroup, BackendName(backend), NodeName("10.0.0.2"), 1, 1, stand_->term().epoch,
                             7};
    stand_->consensus().commit(registry::BeginPromotion{attempt});
    CPPUNIT_ASSERT(stand_->fleet().unsettled_promotions().contains(attempt));
    return attempt;
  }
  void withdraw(const PromotionAttempt& attempt) {
    stand_->consensus().commit(registry::WithdrawPromotions{{attempt}});
  }
  void let_primary_leave() {
    registry::BackendEntry leaving = ControlStand::entry("primary", 9001);
    leaving.leaving = true;
    leaving.sequence = 2;
    stand_->consensus().commit(registry::RegisterBackend{leaving});
  }

  /// Closes the group while a proxy may still use its primary, replica-2 does not answer, and a withdrawn
  /// request may have promoted it.
  std::shared_ptr<ProxyFrames> close_without_an_answer_of_a_proxy() {
    auto proxy = stand_->connect("proxy");
    for (int reports = 0; reports < 2; ++reports) report(*proxy, stand_->fleet().revision(), {});
    stand_->run_for(ControlStand::kLease + milliseconds(100));
    stand_->members["replica-2"].answers = false;
    close_group();
    withdraw(begin("replica-2"));
    return proxy;
  }
  void report(ProxyFrames& proxy, std::uint64_t revision, std::vector<registry::ClosedGroup> closed) {
    registry::ProxyReport report;
    report.nonce = ++nonce_;
    report.incarnation = 1;
    report.revision = revision;
    report.closed = std::move(closed);
    report.peer_endpoint = {"10.0.0.9", 7440};
    proxy.report(report);
    stand_->run_for(milliseconds(50));
  }

  std::unique_ptr<ControlStand> stand_;
  std::unique_ptr<GroupKeeper> keeper_;
  std::uint64_t nonce_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupKeeperPromotionsTest);

}  // namespace cairnhollow::registered::control
