// The checker of evacuations rejects what came too late, and nothing else.
#include "standins/registered/zone_history.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::standins::registered {

using std::chrono::seconds;

namespace {

constexpr Duration kBound = seconds(5);

TimePoint at(int second) { return TimePoint{} + seconds(second); }

ArrivedStatement arrived(const std::string& zone, int second) {
  return {"c.1", BackendName("g1-b1"), ZoneName(zone), at(second)};
}

/// Acknowledged a second after it was sent.
EvacuationOrder order(const std::string& zone, bool begins, int second) {
  return {ZoneName(zone), begins, at(second - 1), at(second)};
}

std::size_t violations(std::vector<ArrivedStatement> arrivals, std::vector<EvacuationOrder> orders) {
  return find_evacuation_violations({std::move(arrivals), std::move(orders)}, kBound).size();
}

}  // namespace

class ZoneHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneHistoryTest);
  CPPUNIT_TEST(what_comes_too_late_is_rejected);
  CPPUNIT_TEST(what_comes_in_time_or_elsewhere_is_not);
  CPPUNIT_TEST(a_repeated_order_gives_no_more_time);
  CPPUNIT_TEST(a_zone_that_is_ordered_back_may_be_used_at_once);
  CPPUNIT_TEST_SUITE_END();

 public:
  void what_comes_too_late_is_rejected() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations({arrived("erie", 16)}, {order("erie", true, 10)}));
  }
  void what_comes_in_time_or_elsewhere_is_not() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         violations({arrived("erie", 9), arrived("erie", 15), arrived("huron", 20)},
                                    {order("erie", true, 10)}));
  }
  void a_repeated_order_gives_no_more_time() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations({arrived("erie", 16)},
                                                    {order("erie", true, 10), order("erie", true, 14)}));
  }
  void a_zone_that_is_ordered_back_may_be_used_at_once() {
    const std::vector<EvacuationOrder> orders{order("erie", true, 10), order("erie", false, 20),
                                              order("erie", true, 30)};
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations({arrived("erie", 20), arrived("erie", 34)}, orders));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, violations({arrived("erie", 18), arrived("erie", 36)}, orders));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneHistoryTest);

}  // namespace cairnhollow::standins::registered
