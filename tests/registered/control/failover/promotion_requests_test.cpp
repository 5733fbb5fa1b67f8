// Tests when a promotion is requested, and when its connection is reset.
#include "tests/registered/control/failover/promotion_requests_stand.h"

namespace cairnhollow::registered::control {

using registry::PromotionAttempt;
using registry::PromotionOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

class PromotionRequestsTest : public PromotionRequestsStand {
  CPPUNIT_TEST_SUITE(PromotionRequestsTest);
  CPPUNIT_TEST(attempt_is_recorded_before_it_is_sent);
  CPPUNIT_TEST(nothing_is_recorded_before_the_platform_is_reached);
  CPPUNIT_TEST(nothing_is_sent_if_the_record_is_rejected);
  CPPUNIT_TEST(nothing_is_sent_if_the_record_is_not_committed);
  CPPUNIT_TEST(nothing_is_sent_after_an_old_read_barrier);
  CPPUNIT_TEST(nothing_is_sent_after_leadership_changed);
  CPPUNIT_TEST(nothing_is_sent_for_a_superseded_close);
  CPPUNIT_TEST(nothing_is_sent_to_another_incarnation);
  CPPUNIT_TEST(requests_in_progress_are_limited);
  CPPUNIT_TEST(connection_is_reset_when_leadership_is_lost);
  CPPUNIT_TEST(connection_is_reset_in_another_term);
  CPPUNIT_TEST(connection_is_reset_by_stop);
  CPPUNIT_TEST(unknown_outcome_is_withdrawn);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a request that no later leader knows of.
  void attempt_is_recorded_before_it_is_sent() {
    std::vector<PromotionAttempt> recorded;
    int barriers = 0;
    platform_->reply = [&](const registry::PromotionOrder&) {
      recorded = attempts();
      barriers = log().barriers;
      return PromotionOutcome::kAccepted;
    };
    request("replica-1");
    CPPUNIT_ASSERT(was_requested_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recorded.size());
    CPPUNIT_ASSERT(recorded.front().backend == BackendName("replica-1") && recorded.front().holder == kNode);
    CPPUNIT_ASSERT(!recorded.front().is_withdrawn && recorded.front().process != 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("leadership is confirmed once the record is there", 1, barriers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, platform_->orders.front()->order.fencing);
  }

  void nothing_is_recorded_before_the_platform_is_reached() {
    platform_->is_reachable = false;
    request("replica-1");
    CPPUNIT_ASSERT(!was_requested_);
    CPPUNIT_ASSERT_EQUAL(0, log().proposals);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, requests_->count(PromotionOutcome::kNotSent));
  }

  /// Guards against two requests that may arrive and name different backends.
  void nothing_is_sent_if_the_record_is_rejected() {
    commit(registry::BeginPromotion{foreign(1, "replica-2")});
    request("replica-1");
    check_nothing_sent();
    CPPUNIT_ASSERT_MESSAGE("the other one is not settled",
                           attempts() == std::vector{foreign(1, "replica-2")});
  }

  void nothing_is_sent_if_the_record_is_not_committed() {
    log().has_quorum = false;
    request("replica-1");
    check_nothing_sent();
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no read barrier without the record", 0, log().barriers);
  }

  /// Guards against a node that was suspended and sends what its successor decided otherwise.
  void nothing_is_sent_after_an_old_read_barrier() {
    log().barrier_takes = kMaxReadBarrierAge + milliseconds(10);
    request("replica-1");
    check_nothing_sent();
    CPPUNIT_ASSERT_EQUAL(1, log().barriers);
    stand_->run_for(kReportTime);
    CPPUNIT_ASSERT_MESSAGE("what was not sent is settled", attempts().empty());
  }

  void nothing_is_sent_after_leadership_changed() {
    log().during_barrier = [this] { log().has_quorum = false; };
    request("replica-1");
    check_nothing_sent();
    log().has_quorum = true;
    log().during_barrier = [this] { log().led_term = 2; };
    request("replica-1");
    check_nothing_sent();
    log().during_barrier = [this] { log().is_leader = false; };
    request("replica-1");
    check_nothing_sent();
    CPPUNIT_ASSERT_EQUAL_MESSAGE("each was recorded", 3, log().barriers);
  }

  void nothing_is_sent_for_a_superseded_close() {
    log().during_barrier = [this] { open("replica-1"); };
    request("replica-1");
    check_nothing_sent();
    CPPUNIT_ASSERT_EQUAL(1, log().barriers);
  }

  void nothing_is_sent_to_another_incarnation() {
    log().during_barrier = [this] {
      registry::BackendEntry next = ControlStand::entry("replica-1", 9002);
      next.start_time_ms = 1000;
      commit(registry::RegisterBackend{next});
    };
    request("replica-1");
    check_nothing_sent();
    CPPUNIT_ASSERT_EQUAL(1, log().barriers);
  }

  /// Guards against connections that pile up while the platform does not answer.
  void requests_in_progress_are_limited() {
    hold_answers();
    for (std::size_t i = 0; i < kMaxPromotionsInProgress; ++i) request("replica-1");
    CPPUNIT_ASSERT_EQUAL(kMaxPromotionsInProgress, requests_->in_progress());
    request("replica-1");
    CPPUNIT_ASSERT_MESSAGE("one of the others may have been accepted", was_requested_);
    CPPUNIT_ASSERT_EQUAL(kMaxPromotionsInProgress, platform_->received());
  }

  /// Guards against a request that is held up and arrives after its sender's successor has promoted another
  /// backend.
  void connection_is_reset_when_leadership_is_lost() {
    hold_answers();
    request("replica-1");
    CPPUNIT_ASSERT_MESSAGE("kept open while this node leads", !last_reset());
    log().is_leader = false;
    const TimePoint lost_at = stand_->now();
    stand_->run_for(2 * kPromotionAuthorityCheckInterval);
    CPPUNIT_ASSERT(last_reset() && *last_reset() <= lost_at + kPromotionAuthorityCheckInterval);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, requests_->count(PromotionOutcome::kUnknown));
  }

  /// Guards against a check that misses another node's leadership between two of its own.
  void connection_is_reset_in_another_term() {
    hold_answers();
    request("replica-1");
    log().led_term = 2;
    stand_->run_for(2 * kPromotionAuthorityCheckInterval);
    CPPUNIT_ASSERT(last_reset());
  }

  /// Guards against a process that ends in the ordinary way and leaves its request to the kernel.
  void connection_is_reset_by_stop() {
    hold_answers();
    request("replica-1");
    requests_->stop();
    stand_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(last_reset());
    request("replica-1");
    CPPUNIT_ASSERT_EQUAL_MESSAGE("nothing is sent afterwards", std::size_t{1}, platform_->received());
  }

  /// Guards against silence that is taken for a rejection: another backend could be opened while the request
  /// may still take effect.
  void unknown_outcome_is_withdrawn() {
    hold_answers();
    const TimePoint begun_at = stand_->now();
    request("replica-1");
    CPPUNIT_ASSERT(was_requested_);
    CPPUNIT_ASSERT(stand_->now() >= begun_at + kPromotionCallTimeout);
    CPPUNIT_ASSERT(attempts().size() == 1 && !attempts().front().is_withdrawn);
    stand_->run_for(kPromotionAnswerTimeout + kReportTime);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, requests_->count(PromotionOutcome::kUnknown));
    stand_->run_for(seconds(60));
    CPPUNIT_ASSERT(attempts().size() == 1 && attempts().front().is_withdrawn);
  }

 private:
  std::optional<TimePoint> last_reset() { return platform_->orders.back()->reset_at; }
  void check_nothing_sent() {
    CPPUNIT_ASSERT(!was_requested_);
    CPPUNIT_ASSERT_MESSAGE("the connection is opened first", platform_->connections > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, platform_->received());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionRequestsTest);

}  // namespace cairnhollow::registered::control
