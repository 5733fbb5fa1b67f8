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
  CPPUNIT_TEST(the_earliest_that_covers);
  CPPUNIT_TEST(nothing_covers_what_is_newer_than_all);
  CPPUNIT_TEST(first_seen);
  CPPUNIT_TEST(old_ones_are_forgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    history_ = PositionHistory();
    history_.record(at(100), {1, 5});
    history_.record(at(200), {1, 7});
    history_.record(at(300), {1, 7});
  }

  void the_earliest_that_covers() {
    CPPUNIT_ASSERT(history_.covering(at(50)) == (Position{1, 5}));
    CPPUNIT_ASSERT(history_.covering(at(100)) == (Position{1, 5}));
    CPPUNIT_ASSERT(history_.covering(at(101)) == (Position{1, 7}));
  }

  void nothing_covers_what_is_newer_than_all() {
    CPPUNIT_ASSERT(!history_.covering(at(301)));
    history_.clear();
    CPPUNIT_ASSERT(!history_.covering(at(0)));
  }

  void first_seen() {
    CPPUNIT_ASSERT(history_.first_seen({1, 6}) == at(200));
    CPPUNIT_ASSERT(!history_.first_seen({1, 8}));
  }

  void old_ones_are_forgotten() {
    history_.record(at(5000), {1, 9});
    CPPUNIT_ASSERT(history_.covering(at(0)) == (Position{1, 9}));
  }

 private:
  PositionHistory history_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PositionHistoryTest);

}  // namespace cairnhollow::registered::proxy
