// When too many statements wait, the least urgent ones lose their places first.
#include "registered/placement/waiting_room.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::registered::placement {

class WaitingRoomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitingRoomTest);
  CPPUNIT_TEST(urgent_statements_take_the_places_of_others);
  CPPUNIT_TEST(bounds_the_bytes_held);
  CPPUNIT_TEST(one_that_cannot_fit_takes_no_places);
  CPPUNIT_TEST_SUITE_END();

 public:
  void urgent_statements_take_the_places_of_others() {
    WaitingRoom room(3, 1000);
    const auto first = room.enter(2, 10);
    const auto second = room.enter(2, 10);
    const auto urgent = room.enter(1, 10);
    CPPUNIT_ASSERT(first && second && urgent);
    CPPUNIT_ASSERT_MESSAGE("full of statements as urgent", !room.enter(2, 10));
    CPPUNIT_ASSERT(room.holds(*first) && room.holds(*second) && room.holds(*urgent));
    CPPUNIT_ASSERT(room.enter(1, 10));
    CPPUNIT_ASSERT_MESSAGE("the last of the lowest class", !room.holds(*second) && room.holds(*first));
    room.leave(*second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, room.size());
    room.leave(*urgent);
    CPPUNIT_ASSERT_MESSAGE("room again", room.enter(2, 10));
  }

  void bounds_the_bytes_held() {
    WaitingRoom room(100, 100);
    const auto small = room.enter(1, 40);
    const auto other = room.enter(1, 50);
    CPPUNIT_ASSERT_MESSAGE("too large", !room.enter(1, 20));
    CPPUNIT_ASSERT_MESSAGE("larger than the room", !room.enter(2, 101));
    CPPUNIT_ASSERT(room.holds(*small) && room.holds(*other));
    CPPUNIT_ASSERT(room.enter(0, 60));
    CPPUNIT_ASSERT(room.holds(*small) && !room.holds(*other));
  }

  void one_that_cannot_fit_takes_no_places() {
    WaitingRoom room(100, 100);
    const auto lowest = room.enter(2, 40);
    const auto urgent = room.enter(0, 50);
    CPPUNIT_ASSERT_MESSAGE("larger than the room", !room.enter(0, 101));
    CPPUNIT_ASSERT_MESSAGE("larger than what more urgent ones leave", !room.enter(1, 60));
    CPPUNIT_ASSERT(room.holds(*lowest) && room.holds(*urgent));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, room.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingRoomTest);

}  // namespace cairnhollow::registered::placement
