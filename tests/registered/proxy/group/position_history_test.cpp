// The position that a bounded-staleness read must see.
#include "registered/proxy/group/position_history.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;

namespace {
TimePoint at(int ms) { return TimePoint(milliseconds(ms)); }
}  // namespace

class PositionHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PositionHistoryTest);
  CPPUNIT_TEST(returns_earliest_covering_position);
  CPPUNIT_TEST(nothing_covers_times_after_newest);
  CPPUNIT_TEST(reports_when_position_was_first_seen);
  CPPUNIT_TEST(drops_old_positions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    history_ = PositionHistory();
    history_.record(at(100), {1, 5});
    history_.record(at(200), {1, 7});
    history_.record(at(300), {1, 7});
  }

  void returns_earliest_covering_position() {
    CPPUNIT_ASSERT(history_.covering(at(50)) == (Position{1, 5}));
    CPPUNIT_ASSERT(history_.covering(at(100)) == (Position{1, 5}));
    CPPUNIT_ASSERT(history_.covering(at(101)) == (Position{1, 7}));
  }

  void nothing_covers_times_after_newest() {
    CPPUNIT_ASSERT(!history_.covering(at(301)));
    history_.clear();
    CPPUNIT_ASSERT(!history_.covering(at(0)));
  }

  void reports_when_position_was_first_seen() {
    CPPUNIT_ASSERT(history_.first_seen({1, 6}) == at(200));
    CPPUNIT_ASSERT(!history_.first_seen({1, 8}));
  }

  void drops_old_positions() {
    history_.record(at(5000), {1, 9});
    CPPUNIT_ASSERT(history_.covering(at(0)) == (Position{1, 9}));
  }

 private:
  PositionHistory history_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PositionHistoryTest);

}  // namespace cairnhollow::registered::proxy
