// Guards the time bound after which nothing is sent to an evacuated zone.
#include "registered/proxy/group/evacuated_zones.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EvacuatedZonesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuatedZonesTest);
  CPPUNIT_TEST(a_proxy_that_heard_as_late_as_its_lease_allows_keeps_the_bound);
  CPPUNIT_TEST(a_short_bound_leaves_less_and_never_more);
  CPPUNIT_TEST(a_whole_copy_names_what_is_over);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_proxy_that_heard_as_late_as_its_lease_allows_keeps_the_bound() {
    const TimePoint acknowledged{};
    const TimePoint heard = acknowledged + kLongestServingLease;
    for (const Duration bound : {Duration(seconds(5)), Duration(seconds(4)), Duration(seconds(10))}) {
      EvacuatedZones zones(bound);
      zones.begin(ZoneName("erie"), heard);
      CPPUNIT_ASSERT(zones.is_evacuated(ZoneName("erie")));
      CPPUNIT_ASSERT(!zones.is_off_limits(ZoneName("erie"), heard));
      CPPUNIT_ASSERT(!zones.is_off_limits(ZoneName("erie"), heard + bound / 2 - milliseconds(1)));
      CPPUNIT_ASSERT(zones.is_off_limits(ZoneName("erie"), acknowledged + bound - kEvacuationMargin));
      CPPUNIT_ASSERT(!zones.is_off_limits(ZoneName("huron"), acknowledged + bound));
    }
  }

  void a_short_bound_leaves_less_and_never_more() {
    const TimePoint heard = TimePoint{} + kLongestServingLease;
    for (const Duration bound : {Duration(seconds(1)), Duration(milliseconds(1900)), Duration(seconds(3))}) {
      EvacuatedZones zones(bound);
      zones.begin(ZoneName("erie"), heard);
      const TimePoint end = std::max(heard, TimePoint{} + bound - kEvacuationMargin);
      CPPUNIT_ASSERT(zones.is_off_limits(ZoneName("erie"), end));
    }
    EvacuatedZones unnamed;
    unnamed.begin(ZoneName("erie"), heard);
    CPPUNIT_ASSERT(!unnamed.is_off_limits(ZoneName("erie"), heard));
  }

  void a_whole_copy_names_what_is_over() {
    EvacuatedZones zones(seconds(5));
    zones.begin(ZoneName("erie"), TimePoint{});
    zones.begin(ZoneName("huron"), TimePoint{});
    const std::vector<ZoneName> over = zones.others_than({ZoneName("huron")});
    CPPUNIT_ASSERT(over == std::vector<ZoneName>{ZoneName("erie")});
    CPPUNIT_ASSERT(zones.end(over.front()));
    CPPUNIT_ASSERT(!zones.end(over.front()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zones.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuatedZonesTest);

}  // namespace cairnhollow::registered::proxy
