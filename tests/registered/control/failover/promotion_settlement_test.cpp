// Tests on what evidence the record of a promotion request is removed.
#include "tests/registered/control/failover/promotion_requests_stand.h"

namespace cairnhollow::registered::control {

using registry::PromotionAttempt;
using registry::PromotionOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const GroupName kFirstGroup("first");

}  // namespace

class PromotionSettlementTest : public PromotionRequestsStand {
  CPPUNIT_TEST_SUITE(PromotionSettlementTest);
  CPPUNIT_TEST(rate_limit_settles_only_its_own_attempt);
  CPPUNIT_TEST(conflict_settles_withdrawn_attempts);
  CPPUNIT_TEST(conflict_awaits_the_effect_of_a_withdrawn_attempt_for_another_backend);
  CPPUNIT_TEST(acceptance_settles_withdrawn_attempts);
  CPPUNIT_TEST(acceptance_awaits_the_effect_of_a_withdrawn_attempt_for_another_backend);
  CPPUNIT_TEST(acceptance_settles_nothing_before_its_effect);
  CPPUNIT_TEST(acceptance_without_effect_settles_after_a_timeout);
  CPPUNIT_TEST(next_process_withdraws_earlier_attempts);
  CPPUNIT_TEST(next_process_withdraws_no_attempts_of_terms_that_it_learns_of);
  CPPUNIT_TEST(stopping_process_withdraws_a_request_without_an_answer);
  CPPUNIT_TEST(stopping_process_withdraws_an_accepted_request_without_effect);
  CPPUNIT_TEST(stopping_process_does_not_wait_for_a_leader);
  CPPUNIT_TEST(reports_are_repeated_until_they_are_committed);
  CPPUNIT_TEST(answer_for_the_present_primary_settles_withdrawn_attempts);
  CPPUNIT_TEST(present_primary_is_not_requested_while_an_attempt_may_arrive);
  CPPUNIT_TEST(request_for_the_present_primary_ends_with_its_term);
  CPPUNIT_TEST(group_whose_requests_fail_does_not_keep_others_waiting);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a rate limit that answers ahead of the requests that the platform received before.
  void rate_limit_settles_only_its_own_attempt() {
    withdraw(foreign(1, "replica-1"));
    answer(PromotionOutcome::kRejected, ReasonCode::kOverloaded);
    request("replica-1");
    CPPUNIT_ASSERT(!was_requested_);
    stand_->run_for(2 * kPromotionEffectTimeout);
    CPPUNIT_ASSERT(attempts() == std::vector{withdrawn(foreign(1, "replica-1"))});
  }

  void conflict_settles_withdrawn_attempts() {
    withdraw(foreign(1, "replica-1"));
    answer(PromotionOutcome::kRejected, ReasonCode::kConflict);
    request("replica-1");
    CPPUNIT_ASSERT(!was_requested_);
    stand_->run_for(kReportTime);
    CPPUNIT_ASSERT(attempts().empty());
  }

  /// Guards against an opening with a third backend just before the accepted one leads a later term.
  void conflict_awaits_the_effect_of_a_withdrawn_attempt_for_another_backend() {
    withdraw(foreign(1, "replica-2"));
    answer(PromotionOutcome::kRejected, ReasonCode::kConflict);
    request("replica-1");
    stand_->run_for(kPromotionEffectTimeout - milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, attempts().size());
    stand_->run_for(milliseconds(500) + kReportTime);
    CPPUNIT_ASSERT(attempts().empty());
  }

  void acceptance_settles_withdrawn_attempts() {
    withdraw(foreign(1, "replica-1"));
    request("replica-1");
    requests_->record_effect(kGroup, BackendName("replica-1"));
    stand_->run_for(kReportTime);
    CPPUNIT_ASSERT(attempts().empty());
  }

  /// Guards against the same after an acceptance: the effect of the later request shows nothing of the other.
  void acceptance_awaits_the_effect_of_a_withdrawn_attempt_for_another_backend() {
    withdraw(foreign(1, "replica-2"));
    request("replica-1");
    requests_->record_effect(kGroup, BackendName("replica-1"));
    stand_->run_for(kPromotionEffectTimeout - milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, attempts().size());
    stand_->run_for(milliseconds(500) + kReportTime);
    CPPUNIT_ASSERT(attempts().empty());
  }

  /// Guards against a leader that is elected between acceptance and effect, and chooses another backend.
  void acceptance_settles_nothing_before_its_effect() {
    request("replica-1");
    CPPUNIT_ASSERT(was_requested_);
    requests_->record_effect(kGroup, BackendName("replica-2"));
    stand_->run_for(kPromotionEffectTimeout - milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, attempts().size());
    requests_->record_effect(kGroup, BackendName("replica-1"));
    stand_->run_for(kReportTime);
    CPPUNIT_ASSERT(attempts().empty());
  }

  void acceptance_without_effect_settles_after_a_timeout() {
    request("replica-1");
    stand_->run_for(kPromotionEffectTimeout - milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, attempts().size());
    stand_->run_for(milliseconds(20) + kReportTime);
    CPPUNIT_ASSERT(attempts().empty());
  }

  /// Guards against a group that stays bound by the request of a process that has ended.
  void next_process_withdraws_earlier_attempts() {
    hold_answers();
    request("replica-1");
    const PromotionAttempt own = attempts().front();
    PromotionAttempt earlier = foreign(11, "replica-1");
    earlier.holder = kNode;
    PromotionAttempt of_a_later_term = earlier;
    of_a_later_term.fencing = 2;
    for (const PromotionAttempt& attempt : {earlier, of_a_later_term, foreign(2, "replica-1")})
      commit(registry::BeginPromotion{attempt});
    requests_->start();
    stand_->run_for(kReportTime);
    CPPUNIT_ASSERT(unsettled().contains(withdrawn(earlier)));
    for (const PromotionAttempt& attempt : {own, of_a_later_term, foreign(2, "replica-1")})
      CPPUNIT_ASSERT(unsettled().contains(attempt));
  }

  /// Guards against a report of an earlier process that withdraws the attempts of a later one, which led a
  /// term that the earlier one had only heard of.
  void next_process_withdraws_no_attempts_of_terms_that_it_learns_of() {
    log().is_leader = false;
    requests_->start();
    stand_->run_for(seconds(1));
    PromotionAttempt later = foreign(11, "replica-1");
    later.holder = kNode;
    later.fencing = 2;
    commit(registry::BeginPromotion{later});
    log().led_term = 2;
    log().is_leader = true;
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT(unsettled().contains(later));
  }

  /// Guards against a group that stays bound by the request of a node that is stopped and does not return.
  void stopping_process_withdraws_a_request_without_an_answer() {
    hold_answers();
    request("replica-1");
    stop_within(milliseconds(200));
    CPPUNIT_ASSERT(attempts().size() == 1 && attempts().front().is_withdrawn);
  }

  /// Guards against the same after an acceptance, and against a leader that takes it for settled.
  void stopping_process_withdraws_an_accepted_request_without_effect() {
    request("replica-1");
    stop_within(milliseconds(200));
    CPPUNIT_ASSERT(attempts().size() == 1 && attempts().front().is_withdrawn);
  }

  void stopping_process_does_not_wait_for_a_leader() {
    hold_answers();
    request("replica-1");
    log().is_leader = false;
    stop_within(kPromotionConclusionTimeout);
    CPPUNIT_ASSERT(attempts().size() == 1 && !attempts().front().is_withdrawn);
  }

  /// Guards against a record that stays for ever because its holder had no leader to report to.
  void reports_are_repeated_until_they_are_committed() {
    hold_answers();
    request("replica-1");
    log().is_leader = false;
    stand_->run_for(seconds(30));
    CPPUNIT_ASSERT(attempts().size() == 1 && !attempts().front().is_withdrawn);
    log().led_term = 3;
    log().is_leader = true;
    stand_->run_for(seconds(2));
    CPPUNIT_ASSERT(attempts().size() == 1 && attempts().front().is_withdrawn);
  }

  void answer_for_the_present_primary_settles_withdrawn_attempts() {
    withdraw(foreign(1, "replica-1"));
    settle_for(seconds(2));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the group is closed", std::size_t{0}, platform_->received());
    open("replica-1");
    settle_for(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, platform_->received());
    CPPUNIT_ASSERT(platform_->orders.front()->order.backend == BackendName("replica-1"));
    CPPUNIT_ASSERT(attempts().empty());
  }

  void present_primary_is_not_requested_while_an_attempt_may_arrive() {
    withdraw(foreign(1, "replica-1"));
    commit(registry::BeginPromotion{foreign(2, "replica-1")});
    open("replica-1");
    settle_for(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, platform_->received());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, attempts().size());
  }

  /// Guards against a group that can be opened with its failed primary only, until the platform answers.
  void request_for_the_present_primary_ends_with_its_term() {
    withdraw(foreign(1, "replica-1"));
    open("replica-1");
    hold_answers();
    settle_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, platform_->received());
    CPPUNIT_ASSERT(unsettled().backend_of(kGroup) != nullptr);
    commit(registry::CloseGroup{kGroup, stand_->term().epoch});
    stand_->run_for(2 * kPromotionAuthorityCheckInterval + kReportTime);
    CPPUNIT_ASSERT(platform_->orders.front()->reset_at.has_value());
    CPPUNIT_ASSERT(unsettled().awaits_answer(kGroup));
  }

  /// Guards against withdrawn attempts that stay because the requests of the group in front are rejected.
  void group_whose_requests_fail_does_not_keep_others_waiting() {
    withdraw(foreign(1, "replica-1"));
    open("replica-1");
    open_first_group();
    platform_->reply = [](const registry::PromotionOrder& order) {
      return order.group == kFirstGroup ? PromotionOutcome::kRejected : PromotionOutcome::kAccepted;
    };
    settle_for(seconds(5));
    CPPUNIT_ASSERT(attempts().empty());
    CPPUNIT_ASSERT(unsettled().awaits_answer(kFirstGroup));
    platform_->reply = nullptr;
    settle_for(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unsettled().size());
  }

 private:
  /// Stops, and expects the attempts to be concluded within the time.
  void stop_within(Duration limit) {
    const TimePoint begun_at = stand_->now();
    requests_->stop();
    CPPUNIT_ASSERT(stand_->finish(requests_->conclude_all()));
    CPPUNIT_ASSERT(stand_->now() - begun_at <= limit);
  }
  void answer(PromotionOutcome outcome, ReasonCode rejection) {
    platform_->rejection = rejection;
    platform_->reply = [outcome](const registry::PromotionOrder&) { return outcome; };
  }
  /// Opens a group that precedes the other one and has a withdrawn attempt.
  void open_first_group() {
    registry::ConfigurationDocument document;
    document.version = 2;
    document.groups = {*stand_->fleet().find_group(kGroup), *stand_->fleet().find_group(kGroup)};
    document.groups.front().name = kFirstGroup;
    commit(registry::ReplaceDocument{document});
    commit(registry::OpenGroup{kFirstGroup, 0, 1, BackendName("first-primary"), 0});
    PromotionAttempt attempt = foreign(1, "first-primary");
    attempt.group = kFirstGroup;
    attempt.epoch = 1;
    withdraw(attempt);
  }
  /// Runs for the time with the calls that a group keeper makes.
  void settle_for(Duration duration) {
    const TimePoint end = stand_->now() + duration;
    while (stand_->now() < end) {
      requests_->settle_withdrawn();
      stand_->run_for(milliseconds(250));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionSettlementTest);

}  // namespace cairnhollow::registered::control
