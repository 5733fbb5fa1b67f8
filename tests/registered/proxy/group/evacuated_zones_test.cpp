// Guards the time bound after which nothing is sent to an evacuated zone.
#include "registered/proxy/group/evacuated_zones.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EvacuatedZonesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuatedZonesTest);
  CPPUNIT_TEST(latest_notified_proxy_keeps_bound);
  CPPUNIT_TEST(short_bound_shortens_grace);
  CPPUNIT_TEST(finds_evacuations_missing_from_snapshot);
  CPPUNIT_TEST_SUITE_END();

 public:
  void latest_notified_proxy_keeps_bound() {
    const TimePoint acknowledged{};
    const TimePoint notified_at = acknowledged + kMaxServingLease;
    for (const Duration bound : {Duration(seconds(5)), Duration(seconds(4)), Duration(seconds(10))}) {
      EvacuatedZones zones(bound);
      zones.begin(ZoneName("erie"), notified_at);
      CPPUNIT_ASSERT(zones.is_evacuated(ZoneName("erie")));
      CPPUNIT_ASSERT(!zones.is_off_limits(ZoneName("erie"), notified_at));
      CPPUNIT_ASSERT(!zones.is_off_limits(ZoneName("erie"), notified_at + bound / 2 - milliseconds(1)));
      CPPUNIT_ASSERT(zones.is_off_limits(ZoneName("erie"), acknowledged + bound - kEvacuationMargin));
      CPPUNIT_ASSERT(!zones.is_off_limits(ZoneName("huron"), acknowledged + bound));
    }
  }

  void short_bound_shortens_grace() {
    const TimePoint notified_at = TimePoint{} + kMaxServingLease;
    for (const Duration bound : {Duration(seconds(1)), Duration(milliseconds(1900)), Duration(seconds(3))}) {
      EvacuatedZones zones(bound);
      zones.begin(ZoneName("erie"), notified_at);
      const TimePoint end = std::max(notified_at, TimePoint{} + bound - kEvacuationMargin);
      CPPUNIT_ASSERT(zones.is_off_limits(ZoneName("erie"), end));
    }
    EvacuatedZones unnamed;
    unnamed.begin(ZoneName("erie"), notified_at);
    CPPUNIT_ASSERT(!unnamed.is_off_limits(ZoneName("erie"), notified_at));
  }

  void finds_evacuations_missing_from_snapshot() {
    EvacuatedZones zones(seconds(5));
    zones.begin(ZoneName("erie"), TimePoint{});
    zones.begin(ZoneName("huron"), TimePoint{});
    const std::vector<ZoneName> ended = zones.missing_from({ZoneName("huron")});
    CPPUNIT_ASSERT(ended == std::vector<ZoneName>{ZoneName("erie")});
    CPPUNIT_ASSERT(zones.end(ended.front()));
    CPPUNIT_ASSERT(!zones.end(ended.front()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zones.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuatedZonesTest);

}  // namespace cairnhollow::registered::proxy
