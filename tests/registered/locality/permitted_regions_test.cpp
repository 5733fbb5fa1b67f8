// Tests which zones are allowed by the region lists of a route and a tenant.
#include "registered/locality/permitted_regions.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::registered::locality {

namespace {

std::vector<RegionName> regions(const std::vector<std::string>& names) {
  std::vector<RegionName> list;
  list.reserve(names.size());
  for (const std::string& name : names) list.emplace_back(name);
  return list;
}

struct Case {
  const char* what;
  std::vector<std::string> route_regions;
  std::vector<std::string> tenant_regions;
  std::string allowed;  ///< among the zones n1, n2, s1, e1 and `dark`, whose region is not configured
  std::string text;
};

const std::vector<Case> kCases{
    {"no restriction", {}, {}, "n1 n2 s1 e1 dark", "any"},
    {"restricted by the route", {"north"}, {}, "n1 n2", "north"},
    {"restricted by the tenant", {}, {"south"}, "s1", "south"},
    {"restricted by both", {"north", "south"}, {"south", "east"}, "s1", "south"},
    {"the same regions in another order", {"north", "east"}, {"east", "north"}, "n1 n2 e1", "north, east"},
    {"no common region", {"north"}, {"south"}, "", "none"},
    {"a region without zones", {"west"}, {}, "", "west"},
    {"one region without zones, one with a zone", {"west", "east"}, {}, "e1", "west, east"},
};

}  // namespace

class PermittedRegionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PermittedRegionsTest);
  CPPUNIT_TEST(allows_regions_of_both_lists);
  CPPUNIT_TEST(distinguishes_unrestricted_from_no_region);
  CPPUNIT_TEST_SUITE_END();

 public:
  void allows_regions_of_both_lists() {
    for (const Case& one : kCases) {
      const PermittedRegions allowed(map_, regions(one.route_regions), regions(one.tenant_regions));
      std::string zones;
      for (const char* zone : {"n1", "n2", "s1", "e1", "dark"}) {
        if (!allowed.allows(ZoneName(zone))) continue;
        if (!zones.empty()) zones += ' ';
        zones += zone;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.what, one.allowed, zones);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.what, one.text, allowed.to_string());
    }
  }

  void distinguishes_unrestricted_from_no_region() {
    CPPUNIT_ASSERT(PermittedRegions().is_unrestricted());
    CPPUNIT_ASSERT(!PermittedRegions().allows_none());
    CPPUNIT_ASSERT(PermittedRegions(map_, {}, {}).is_unrestricted());
    const PermittedRegions nowhere(map_, regions({"north"}), regions({"south"}));
    CPPUNIT_ASSERT(nowhere.allows_none());
    CPPUNIT_ASSERT(!nowhere.is_unrestricted());
    const PermittedRegions unknown(map_, regions({"west"}), {});
    CPPUNIT_ASSERT_MESSAGE("a zone of the region may be added later", !unknown.allows_none());
  }

 private:
  RegionMap map_{{{ZoneName("n1"), RegionName("north")},
                  {ZoneName("n2"), RegionName("north")},
                  {ZoneName("s1"), RegionName("south")},
                  {ZoneName("e1"), RegionName("east")}}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermittedRegionsTest);

}  // namespace cairnhollow::registered::locality
