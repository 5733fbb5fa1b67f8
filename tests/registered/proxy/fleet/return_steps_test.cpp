// Each step of a proxy's return counts once, and the return is told once.
#include "registered/proxy/fleet/return_steps.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;

class ReturnStepsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReturnStepsTest);
  CPPUNIT_TEST(records_the_first_time_of_each_step);
  CPPUNIT_TEST_SUITE_END();

 public:
  void records_the_first_time_of_each_step() {
    const TimePoint started = TimePoint{} + milliseconds(500);
    ReturnSteps steps(started);
    steps.record(ReturnStep::kSession, started + milliseconds(20));
    steps.record(ReturnStep::kSession, started + milliseconds(90));
    steps.record(ReturnStep::kLease, started + milliseconds(60));
    steps.record(ReturnStep::kPrimary, started + milliseconds(61));
    steps.record(ReturnStep::kLink, started + milliseconds(80));
    CPPUNIT_ASSERT(!steps.take_completed());
    CPPUNIT_ASSERT(steps.after(ReturnStep::kAnswer) == Duration(0));
    steps.record(ReturnStep::kAnswer, started + milliseconds(95));
    CPPUNIT_ASSERT(steps.after(ReturnStep::kSession) == milliseconds(20));
    CPPUNIT_ASSERT(steps.after(ReturnStep::kAnswer) == milliseconds(95));
    CPPUNIT_ASSERT(steps.take_completed());
    CPPUNIT_ASSERT_MESSAGE("told once", !steps.take_completed());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnStepsTest);

}  // namespace cairnhollow::registered::proxy
