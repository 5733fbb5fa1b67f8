// Tests growth, decrease and bounds of the adaptive concurrency limit.
#include "admission/concurrency_limit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "tests/admission/synthetic_backend.h"

namespace cairnhollow::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::LoopResult;
using testing::SyntheticLoop;

class ConcurrencyLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConcurrencyLimitTest);
  CPPUNIT_TEST(test_grows_at_the_limit_up_to_the_maximum);
  CPPUNIT_TEST(test_does_not_grow_below_the_limit);
  CPPUNIT_TEST(test_shrinks_when_answers_get_slow_and_grows_back);
  CPPUNIT_TEST(test_busy_shrinks_once_per_burst_and_pauses_growth);
  CPPUNIT_TEST(test_stalls_that_delay_all_answers_do_not_shrink_the_limit);
  CPPUNIT_TEST(test_shrinks_at_high_answer_rates);
  CPPUNIT_TEST(test_recovers_sooner_below_the_share);
  CPPUNIT_TEST(test_never_falls_below_one);
  CPPUNIT_TEST(test_lower_maximum_reduces_the_limit);
  CPPUNIT_TEST(test_group_commit_keeps_most_of_the_unlimited_throughput);
  CPPUNIT_TEST(test_noisy_disk_does_not_reduce_the_limit_below_the_share);
  CPPUNIT_TEST(test_saturated_backend_is_not_overloaded);
  CPPUNIT_TEST(test_adapts_to_a_slower_disk);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    limit_ = ConcurrencyLimit();
    limit_.set_bounds(3, 10);
    now_ = TimePoint(seconds(100));
  }

  void test_grows_at_the_limit_up_to_the_maximum() {
    CPPUNIT_ASSERT_EQUAL(3U, limit_.limit());
    answer_for(seconds(1), milliseconds(4), limit_.limit());
    CPPUNIT_ASSERT(limit_.limit() > 3);
    answer_for(seconds(10), milliseconds(4), 10);
    CPPUNIT_ASSERT_EQUAL(10U, limit_.limit());
  }

  void test_does_not_grow_below_the_limit() {
    answer_for(seconds(10), milliseconds(4), 2);
    CPPUNIT_ASSERT_EQUAL(3U, limit_.limit());
  }

  void test_shrinks_when_answers_get_slow_and_grows_back() {
    answer_for(seconds(5), milliseconds(4), 10);
    CPPUNIT_ASSERT_EQUAL(10U, limit_.limit());
    answer_for(seconds(3), milliseconds(100), 10);
    CPPUNIT_ASSERT_EQUAL(3U, limit_.limit());
    CPPUNIT_ASSERT(limit_.expected_latency() > milliseconds(90));
    answer_for(seconds(5), milliseconds(4), 10);
    CPPUNIT_ASSERT(limit_.limit() >= 8);
  }

  void test_busy_shrinks_once_per_burst_and_pauses_growth() {
    answer_for(seconds(5), milliseconds(4), 10);
    for (int answer = 0; answer < 5; ++answer) limit_.busy(now_);
    CPPUNIT_ASSERT_EQUAL(7U, limit_.limit());
    answer_for(seconds(1), milliseconds(4), 10);
    CPPUNIT_ASSERT_EQUAL(7U, limit_.limit());
    answer_for(seconds(3), milliseconds(4), 10);
    CPPUNIT_ASSERT(limit_.limit() > 7);
  }

  /// A disk sync or a descheduled proxy delays every statement in flight, regardless of their number.
  void test_stalls_that_delay_all_answers_do_not_shrink_the_limit() {
    answer_for(seconds(5), milliseconds(1), 10);
    CPPUNIT_ASSERT_EQUAL(10U, limit_.limit());
    for (int stall = 0; stall < 40; ++stall) {
      answer_quickly_for(milliseconds(60), milliseconds(1));
      now_ += milliseconds(30);
      for (int answer = 0; answer < 10; ++answer) limit_.answered(milliseconds(30), 10, now_);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(limit_.limit()), limit_.limit() >= 9);
  }

  void test_shrinks_at_high_answer_rates() {
    answer_for(seconds(5), milliseconds(1), 10);
    answer_quickly_for(milliseconds(500), milliseconds(30));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(limit_.limit()), limit_.limit() <= 5);
  }

  void test_recovers_sooner_below_the_share() {
    limit_.busy(now_);
    CPPUNIT_ASSERT_EQUAL(2U, limit_.limit());
    answer_for(milliseconds(500), milliseconds(4), 2);
    CPPUNIT_ASSERT_EQUAL(3U, limit_.limit());
    answer_for(seconds(1), milliseconds(4), 3);
    CPPUNIT_ASSERT_EQUAL(3U, limit_.limit());
    answer_for(seconds(1), milliseconds(4), 3);
    CPPUNIT_ASSERT(limit_.limit() > 3);
  }

  void test_never_falls_below_one() {
    for (int answer = 0; answer < 100; ++answer) {
      now_ += milliseconds(60);
      limit_.busy(now_);
    }
    CPPUNIT_ASSERT_EQUAL(1U, limit_.limit());
  }

  void test_lower_maximum_reduces_the_limit() {
    answer_for(seconds(5), milliseconds(4), 10);
    limit_.set_bounds(3, 5);
    CPPUNIT_ASSERT_EQUAL(5U, limit_.limit());
  }

  void test_group_commit_keeps_most_of_the_unlimited_throughput() {
    const auto sync = [](std::uint32_t) { return milliseconds(3); };
    const auto unlimited = SyntheticLoop(kCallers, true, sync).run(nullptr, seconds(1), seconds(10));
    limit_ = ConcurrencyLimit();
    limit_.set_bounds(kShare, kMaximum);
    const auto limited = SyntheticLoop(kCallers, true, sync).run(&limit_, seconds(2), seconds(10));
    CPPUNIT_ASSERT_MESSAGE(text(limited, unlimited),
                           limited.throughput_per_second >= 0.95 * unlimited.throughput_per_second);
  }

  /// Syncs take 2 to 6 ms, one in eight ten times as long: the mean over a few hundred milliseconds varies by
  /// more than the tolerance, independently of the number of statements in flight.
  void test_noisy_disk_does_not_reduce_the_limit_below_the_share() {
    const auto unlimited =
        SyntheticLoop(kCallers, true, noisy_service_time()).run(nullptr, seconds(1), seconds(60));
    limit_ = ConcurrencyLimit();
    limit_.set_bounds(kShare, kMaximum);
    const auto limited =
        SyntheticLoop(kCallers, true, noisy_service_time()).run(&limit_, seconds(2), seconds(60));
    CPPUNIT_ASSERT_MESSAGE(text(limited, unlimited),
                           limited.throughput_per_second >= 0.8 * unlimited.throughput_per_second);
    CPPUNIT_ASSERT(limit_.limit() >= kShare);
  }

  /// The backend runs statements one at a time, so higher concurrency only adds queueing delay.
  void test_saturated_backend_is_not_overloaded() {
    limit_ = ConcurrencyLimit();
    limit_.set_bounds(kShare, kMaximum);
    const auto serial = [](std::uint32_t) { return milliseconds(2); };
    const auto limited = SyntheticLoop(2 * kMaximum, false, serial).run(&limit_, seconds(10), seconds(60));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(limited.mean_limit), limited.mean_limit < 2.5 * kShare);
    CPPUNIT_ASSERT(limited.throughput_per_second > 490);
  }

  void test_adapts_to_a_slower_disk() {
    limit_ = ConcurrencyLimit();
    limit_.set_bounds(kShare, kMaximum);
    auto sync_time = milliseconds(2);
    SyntheticLoop loop(kCallers, true, [&sync_time](std::uint32_t) { return sync_time; });
    loop.run(&limit_, seconds(2), seconds(10));
    CPPUNIT_ASSERT(limit_.limit() >= kCallers);
    sync_time = milliseconds(40);
    const auto after = loop.run(&limit_, seconds(10), seconds(10));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(after.mean_limit), after.mean_limit >= kCallers);
  }

 private:
  static constexpr std::uint32_t kCallers = 48;
  static constexpr std::uint32_t kShare = 21;
  static constexpr std::uint32_t kMaximum = 133;

  static SyntheticLoop::ServiceTime noisy_service_time() {
    return [random = std::mt19937(7)](std::uint32_t) mutable -> Duration {
      const auto usual = std::chrono::microseconds(2000 + random() % 4000);
      return random() % 8 == 0 ? 10 * usual : usual;
    };
  }

  static std::string text(const LoopResult& limited, const LoopResult& unlimited) {
    return std::to_string(limited.throughput_per_second) + " of " +
           std::to_string(unlimited.throughput_per_second) + " statements/s, mean limit " +
           std::to_string(limited.mean_limit);
  }

  /// Feeds one answer with `latency` every 10 ms.
  void answer_for(Duration time, Duration latency, std::uint32_t in_flight) {
    for (const auto end = now_ + time; now_ < end; now_ += milliseconds(10)) {
      limit_.answered(latency, in_flight, now_);
    }
  }

  /// Feeds 5,000 answers per second with as many statements in flight as the limit allows.
  void answer_quickly_for(Duration time, Duration latency) {
    for (const auto end = now_ + time; now_ < end; now_ += std::chrono::microseconds(200)) {
      limit_.answered(latency, limit_.limit(), now_);
    }
  }

  ConcurrencyLimit limit_;
  TimePoint now_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConcurrencyLimitTest);

}  // namespace
}  // namespace cairnhollow::admission
