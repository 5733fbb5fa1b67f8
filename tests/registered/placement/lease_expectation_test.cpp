// A proxy expects a lease while control is electing a leader, and not when it is cut off from control.
#include "registered/placement/lease_expectation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cairnhollow::registered::placement {
namespace {

using std::chrono::milliseconds;

TimePoint at(int ms) { return TimePoint{} + milliseconds(ms); }

}  // namespace

class LeaseExpectationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseExpectationTest);
  CPPUNIT_TEST(expects_a_lease_while_control_is_alive);
  CPPUNIT_TEST_SUITE_END();

 public:
  void expects_a_lease_while_control_is_alive() {
    struct Row {
      std::string what;
      LeaseSigns signs;
      int now;
      bool is_due;
      bool is_expected;
    };
    const TimePoint never{};
    const std::vector<Row> rows{
        {"just started, nobody heard", {at(10000), never, never}, 10699, true, true},
        {"nobody heard for 700 ms after the start", {at(10000), never, never}, 10700, false, false},
        {"a control node was heard", {at(10000), never, at(10500)}, 11499, false, true},
        {"it falls silent", {at(10000), never, at(10500)}, 11500, false, false},
        {"it goes on answering that none leads", {at(10000), never, at(13500)}, 13999, false, true},
        {"no leader for too long", {at(10000), never, at(13900)}, 14000, false, false},
        {"the lease has just ended", {at(1), at(10000), at(9000)}, 11499, true, true},
        {"nobody heard since the lease ended", {at(1), at(10000), at(9000)}, 11500, false, false},
        {"control elects another leader", {at(1), at(10000), at(11400)}, 11500, false, true},
        {"without a leader for too long", {at(1), at(10000), at(13999)}, 14000, false, false},
    };
    for (const Row& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.is_due, is_lease_due(row.signs, at(row.now)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.is_expected, is_lease_expected(row.signs, at(row.now)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseExpectationTest);

}  // namespace cairnhollow::registered::placement
