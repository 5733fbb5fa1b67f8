// How long statements and sessions wait, by what their callers still gain from an answer.
#include "registered/placement/wait_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cairnhollow::registered::placement {
namespace {

using std::chrono::milliseconds;

TimePoint at(int ms) { return TimePoint{} + milliseconds(ms); }
std::string text_of(TimePoint time) { return std::to_string(in_ms(time - TimePoint{})); }

/// Arrives at 1,000 ms.
WaitBudget budget(int target, int timeout, int run, int before = 0) {
  return {at(1000), at(1000 + timeout), milliseconds(target), milliseconds(before), milliseconds(run)};
}

}  // namespace

class WaitBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitBudgetTest);
  CPPUNIT_TEST(statements_wait_as_long_as_their_callers_gain);
  CPPUNIT_TEST(waits_share_one_budget);
  CPPUNIT_TEST(sessions_wait_within_the_limit_of_the_protocol);
  CPPUNIT_TEST_SUITE_END();

 public:
  void statements_wait_as_long_as_their_callers_gain() {
    struct Row {
      std::string what;
      WaitBudget budget;
      std::string end;
      bool is_longer;
    };
    const std::vector<Row> rows{
        {"target below a third of the timeout", budget(200, 900, 50), "1300", false},
        {"target at a third of the timeout", budget(300, 900, 50), "1300", false},
        {"the run takes the rest of the target", budget(400, 900, 100), "1300", false},
        {"target above a third of the timeout", budget(401, 900, 100), "1301", true},
        {"target equal to the timeout", budget(1000, 1000, 100), "1800", true},
        {"target beyond the timeout", budget(2000, 1000, 100), "1800", true},
        {"target just below the timeout", budget(850, 1000, 100), "1750", true},
        {"no target latency", budget(0, 900, 100), "1300", false},
        {"the run takes longer than the timeout", budget(2000, 1000, 1500), "1333", false},
    };
    for (const Row& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.end, text_of(wait_end(row.budget)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.is_longer, allows_longer_wait(row.budget));
    }
  }

  void waits_share_one_budget() {
    CPPUNIT_ASSERT_EQUAL_MESSAGE("its caller has waited 300 ms for the session", std::string("1600"),
                                 text_of(wait_end(budget(1000, 1500, 100, 300))));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("at another proxy, from 1,500 ms of which 600 are left", std::string("1000"),
                                 text_of(useful_wait_end(budget(1000, 600, 100, 900))));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the share of the timeout stays", std::string("1200"),
                                 text_of(wait_end(budget(1000, 600, 100, 900))));
  }

  void sessions_wait_within_the_limit_of_the_protocol() {
    CPPUNIT_ASSERT_EQUAL_MESSAGE("let in, its statement goes on waiting", std::string("1700"),
                                 text_of(session_wait_end(at(1000), true)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("before the routes are known", std::string("2750"),
                                 text_of(session_wait_end(at(1000), false)));
    CPPUNIT_ASSERT_MESSAGE("callers give up later",
                           session_wait_end(at(1000), false) < at(1000) + kSessionOpenLimit);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitBudgetTest);

}  // namespace cairnhollow::registered::placement
