// The estimated run time covers the spread of what was observed.
#include "registered/placement/run_time_estimate.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::registered::placement {

using std::chrono::milliseconds;

class RunTimeEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunTimeEstimateTest);
  CPPUNIT_TEST(follows_mean_and_spread);
  CPPUNIT_TEST_SUITE_END();

 public:
  void follows_mean_and_spread() {
    RunTimeEstimate estimate;
    CPPUNIT_ASSERT(estimate.value() == kInitialRunTime);
    estimate.record(milliseconds(10));
    CPPUNIT_ASSERT_MESSAGE("one sample: thrice as long", estimate.value() == milliseconds(30));
    for (int each = 0; each < 100; ++each) estimate.record(milliseconds(10));
    CPPUNIT_ASSERT_MESSAGE("always alike", in_ms(estimate.value()) == 10);
    for (int each = 0; each < 100; ++each) estimate.record(milliseconds(each % 2 == 0 ? 5 : 35));
    CPPUNIT_ASSERT_MESSAGE("covers the slow half", estimate.value() > milliseconds(60));
    for (int each = 0; each < 100; ++each) estimate.record(milliseconds(10));
    CPPUNIT_ASSERT_MESSAGE("forgets", estimate.value() < milliseconds(12));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTimeEstimateTest);

}  // namespace cairnhollow::registered::placement
