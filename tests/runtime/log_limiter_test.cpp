// Excess lines of one event are counted and suppressed without affecting other events.
#include "runtime/log_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::runtime {

class LogLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogLimiterTest);
  CPPUNIT_TEST(lines_over_the_limit_are_counted);
  CPPUNIT_TEST(events_have_separate_limits);
  CPPUNIT_TEST_SUITE_END();

 public:
  void lines_over_the_limit_are_counted() {
    LogLimiter limiter;
    for (std::uint32_t line = 0; line < kLogLinesPerSecond; ++line)
      CPPUNIT_ASSERT(limiter.admit("refused", 5'000'000) == std::uint64_t{0});
    CPPUNIT_ASSERT(!limiter.admit("refused", 5'000'001));
    CPPUNIT_ASSERT(!limiter.admit("refused", 5'999'999));
    CPPUNIT_ASSERT(limiter.admit("refused", 6'000'000) == std::uint64_t{2});
    CPPUNIT_ASSERT(limiter.admit("refused", 6'000'001) == std::uint64_t{0});
  }

  void events_have_separate_limits() {
    LogLimiter limiter;
    for (std::uint32_t line = 0; line <= kLogLinesPerSecond; ++line) limiter.admit("refused", 5'000'000);
    CPPUNIT_ASSERT(limiter.admit("lease_lost", 5'000'000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogLimiterTest);

}  // namespace cairnhollow::runtime
