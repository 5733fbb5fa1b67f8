// Tests freshness estimates: positions never decrease, and ages are never underestimated.
#include "declared/routing/freshness.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::declared::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint at(int milliseconds_after) { return TimePoint(seconds(100)) + milliseconds(milliseconds_after); }
Position position(std::uint64_t index) { return Position{1, index}; }

class FreshnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FreshnessTest);
  CPPUNIT_TEST(test_estimates_are_empty_initially);
  CPPUNIT_TEST(test_applied_position_never_decreases);
  CPPUNIT_TEST(test_age_counts_from_the_last_sighting_of_the_position);
  CPPUNIT_TEST(test_data_of_an_idle_primary_does_not_age);
  CPPUNIT_TEST(test_age_is_unknown_before_the_first_sample);
  CPPUNIT_TEST(test_lag_estimate_follows_the_replica);
  CPPUNIT_TEST(test_idle_periods_do_not_lower_the_lag);
  CPPUNIT_TEST(test_positions_seen_late_do_not_lower_the_lag);
  CPPUNIT_TEST(test_ignores_late_answers);
  CPPUNIT_TEST(test_position_of_a_higher_term_is_later);
  CPPUNIT_TEST(test_number_of_samples_is_bounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_estimates_are_empty_initially() {
    CPPUNIT_ASSERT(table_.applied(7) == Position{});
    CPPUNIT_ASSERT(!table_.age_of(group_, position(1), at(0)).has_value());
    CPPUNIT_ASSERT(!table_.first_seen(group_, position(1)).has_value());
    CPPUNIT_ASSERT(!table_.estimated_lag(7).has_value());
    CPPUNIT_ASSERT(table_.primary_position(group_) == Position{});
  }

  void test_applied_position_never_decreases() {
    table_.observe_backend(group_, 0, position(5), at(0));
    table_.observe_backend(group_, 0, position(3), at(10));
    CPPUNIT_ASSERT(table_.applied(0) == position(5));
    CPPUNIT_ASSERT(table_.applied(1) == Position{});
  }

  void test_age_counts_from_the_last_sighting_of_the_position() {
    table_.observe_primary(group_, position(10), at(0));
    table_.observe_primary(group_, position(10), at(100));
    table_.observe_primary(group_, position(20), at(200));
    CPPUNIT_ASSERT(*table_.age_of(group_, position(10), at(500)) == milliseconds(400));
    CPPUNIT_ASSERT(*table_.age_of(group_, position(15), at(500)) == milliseconds(400));
    CPPUNIT_ASSERT(*table_.age_of(group_, position(20), at(500)) == milliseconds(300));
  }

  void test_data_of_an_idle_primary_does_not_age() {
    table_.observe_primary(group_, position(10), at(0));
    table_.observe_primary(group_, position(10), at(60'000));
    CPPUNIT_ASSERT(*table_.age_of(group_, position(10), at(60'100)) == milliseconds(100));
  }

  void test_age_is_unknown_before_the_first_sample() {
    table_.observe_primary(group_, position(10), at(0));
    CPPUNIT_ASSERT(!table_.age_of(group_, position(9), at(1)).has_value());
  }

  void test_lag_estimate_follows_the_replica() {
    for (std::uint64_t step = 0; step < 100; ++step) {
      const int now = static_cast<int>(step) * 50;
      table_.observe_primary(group_, position(step), at(now));
      if (step >= 4) table_.observe_backend(group_, 0, position(step - 4), at(now));
    }
    // Four steps behind: the primary was first seen 150 ms ago at a position that the replica lacks.
    CPPUNIT_ASSERT(table_.estimated_lag(0).has_value());
    CPPUNIT_ASSERT(*table_.estimated_lag(0) >= milliseconds(140));
    CPPUNIT_ASSERT(*table_.estimated_lag(0) <= milliseconds(160));
    for (std::uint64_t step = 100; step < 150; ++step) {
      const int now = static_cast<int>(step) * 50;
      table_.observe_primary(group_, position(step), at(now));
      table_.observe_backend(group_, 0, position(step), at(now));
    }
    // The primary was seen every 50 ms, so the observations prove no shorter lag...
    CPPUNIT_ASSERT(*table_.estimated_lag(0) < milliseconds(51));
    // ...except through this proxy's own writes, whose send times it knows.
    for (std::uint64_t step = 150; step < 200; ++step) {
      const int now = static_cast<int>(step) * 50;
      table_.observe_write(group_, position(step), at(now));
      table_.observe_primary(group_, position(step), at(now));
      table_.observe_backend(group_, 0, position(step), at(now));
    }
    CPPUNIT_ASSERT(*table_.estimated_lag(0) < milliseconds(1));
  }

  /// Writes of other proxies are seen only with the next probe. That the replica has applied them by then is
  /// no evidence of a shorter lag.
  void test_positions_seen_late_do_not_lower_the_lag() {
    constexpr int kLag = 200;
    constexpr int kBetweenProbes = 250;
    const auto position_at = [](int time) { return position(static_cast<std::uint64_t>(time / 10)); };
    for (int now = kBetweenProbes; now < 100 * kBetweenProbes; now += kBetweenProbes) {
      table_.observe_primary(group_, position_at(now), at(now));
      for (int later = now; later < now + kBetweenProbes; later += 30) {
        table_.observe_backend(group_, 0, position_at(later - kLag), at(later));
      }
    }
    // The position seen by the probe is missing at the replica 180 ms later and present after 210 ms.
    CPPUNIT_ASSERT(*table_.estimated_lag(0) >= milliseconds(180));
    CPPUNIT_ASSERT(*table_.estimated_lag(0) <= milliseconds(kLag + kBetweenProbes));
  }

  /// Between rare writes the replica is up to date, which is no evidence of how long the next write takes to
  /// reach it.
  void test_idle_periods_do_not_lower_the_lag() {
    constexpr int kLag = 200;
    constexpr int kBetweenWrites = 500;
    constexpr int kBetweenAnswers = 30;
    for (int now = 0; now < 40 * kBetweenWrites; now += 10) {
      const auto step = [](int time) { return static_cast<std::uint64_t>(time / kBetweenWrites) + 1; };
      if (now % kBetweenWrites == 0) table_.observe_primary(group_, position(step(now)), at(now));
      if (now % kBetweenAnswers != 0 || now < kLag) continue;
      table_.observe_backend(group_, 0, position(step(now - kLag)), at(now));
    }
    CPPUNIT_ASSERT(*table_.estimated_lag(0) >= milliseconds(kLag - kBetweenAnswers));
    CPPUNIT_ASSERT(*table_.estimated_lag(0) <= milliseconds(kLag + kBetweenAnswers));
  }

  void test_ignores_late_answers() {
    table_.observe_primary(group_, position(20), at(100));
    table_.observe_primary(group_, position(10), at(200));
    CPPUNIT_ASSERT(table_.primary_position(group_) == position(20));
    CPPUNIT_ASSERT(*table_.age_of(group_, position(20), at(300)) == milliseconds(200));
  }

  void test_position_of_a_higher_term_is_later() {
    table_.observe_backend(group_, 0, Position{1, 500}, at(0));
    table_.observe_backend(group_, 0, Position{2, 400}, at(10));
    CPPUNIT_ASSERT(table_.applied(0) == (Position{2, 400}));
  }

  void test_number_of_samples_is_bounded() {
    const auto samples = 3 * kMaximumPrimarySamples;
    for (std::uint64_t step = 0; step < samples; ++step) {
      table_.observe_primary(group_, position(step + 1), at(static_cast<int>(step) * 30));
    }
    const auto now = at(static_cast<int>(samples) * 30);
    CPPUNIT_ASSERT(!table_.age_of(group_, position(1), now).has_value());
    CPPUNIT_ASSERT(table_.age_of(group_, position(samples - 10), now).has_value());
  }

 private:
  GroupName group_{"records"};
  FreshnessTable table_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreshnessTest);

}  // namespace
}  // namespace cairnhollow::declared::routing
