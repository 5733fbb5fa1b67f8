// Verifies the validation of allowed regions in configuration documents.
#include "registered/registry/validation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::registered::registry {

namespace {

ConfigurationDocument document() {
  ConfigurationDocument whole;
  whole.version = 1;
  whole.groups = {GroupRule{GroupName("records"), 30, 1}};
  RouteRule route;
  route.name = RouteName("r");
  route.database = DatabaseName("records");
  route.group = GroupName("records");
  route.timeout_ms = 800;
  whole.routes = {route};
  TenantRule tenant;
  tenant.name = TenantName("kea");
  tenant.keys = {ApiKey("key-of-kea")};
  whole.tenants = {tenant};
  return whole;
}

void check(const std::vector<std::string>& expected, const ConfigurationDocument& document) {
  const auto faults = find_faults(document);
  CPPUNIT_ASSERT_EQUAL(expected.size(), faults.size());
  for (std::size_t i = 0; i < expected.size(); ++i) CPPUNIT_ASSERT_EQUAL(expected[i], faults[i]);
}

}  // namespace

class ValidationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ValidationTest);
  CPPUNIT_TEST(regions_that_may_come_later_are_taken);
  CPPUNIT_TEST(a_region_without_a_name);
  CPPUNIT_TEST(a_region_twice);
  CPPUNIT_TEST_SUITE_END();

 public:
  void regions_that_may_come_later_are_taken() {
    ConfigurationDocument whole = document();
    check({}, whole);
    whole.routes[0].allowed_regions = {RegionName("north"), RegionName("of-next-year")};
    whole.tenants[0].allowed_regions = {RegionName("south")};
    check({}, whole);
  }

  void a_region_without_a_name() {
    ConfigurationDocument whole = document();
    whole.routes[0].allowed_regions = {RegionName("north"), RegionName()};
    check({"routes[0].allowed_regions[1]: must not be empty"}, whole);
    whole = document();
    whole.tenants[0].allowed_regions = {RegionName()};
    check({"tenants[0].allowed_regions[0]: must not be empty"}, whole);
  }

  void a_region_twice() {
    ConfigurationDocument whole = document();
    whole.routes[0].allowed_regions = {RegionName("north"), RegionName("south"), RegionName("north")};
    check({"routes[0].allowed_regions[2]: north appears more than once"}, whole);
    whole = document();
    whole.tenants[0].allowed_regions = {RegionName("north"), RegionName("north")};
    check({"tenants[0].allowed_regions[1]: north appears more than once"}, whole);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValidationTest);

}  // namespace cairnhollow::registered::registry
