// Verifies the validation of allowed regions in configuration documents.
#include "registered/registry/validation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::registered::registry {

namespace {

ConfigurationDocument document() {
  ConfigurationDocument edited;
  edited.version = 1;
  edited.groups = {GroupRule{GroupName("records"), 30, 1}};
  RouteRule route;
  route.name = RouteName("r");
  route.database = DatabaseName("records");
  route.group = GroupName("records");
  route.timeout_ms = 800;
  edited.routes = {route};
  TenantRule tenant;
  tenant.name = TenantName("kea");
  tenant.keys = {ApiKey("key-of-kea")};
  edited.tenants = {tenant};
  return edited;
}

void check(const std::vector<std::string>& expected, const ConfigurationDocument& document) {
  const auto faults = find_faults(document);
  CPPUNIT_ASSERT_EQUAL(expected.size(), faults.size());
  for (std::size_t i = 0; i < expected.size(); ++i) CPPUNIT_ASSERT_EQUAL(expected[i], faults[i]);
}

}  // namespace

class ValidationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ValidationTest);
  CPPUNIT_TEST(accepts_regions_without_machines);
  CPPUNIT_TEST(rejects_empty_region_names);
  CPPUNIT_TEST(rejects_duplicate_regions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void accepts_regions_without_machines() {
    ConfigurationDocument edited = document();
    check({}, edited);
    edited.routes[0].allowed_regions = {RegionName("north"), RegionName("of-next-year")};
    edited.tenants[0].allowed_regions = {RegionName("south")};
    check({}, edited);
  }

  void rejects_empty_region_names() {
    ConfigurationDocument edited = document();
    edited.routes[0].allowed_regions = {RegionName("north"), RegionName()};
    check({"routes[0].allowed_regions[1]: must not be empty"}, edited);
    edited = document();
    edited.tenants[0].allowed_regions = {RegionName()};
    check({"tenants[0].allowed_regions[0]: must not be empty"}, edited);
  }

  void rejects_duplicate_regions() {
    ConfigurationDocument edited = document();
    edited.routes[0].allowed_regions = {RegionName("north"), RegionName("south"), RegionName("north")};
    check({"routes[0].allowed_regions[2]: north appears more than once"}, edited);
    edited = document();
    edited.tenants[0].allowed_regions = {RegionName("north"), RegionName("north")};
    check({"tenants[0].allowed_regions[1]: north appears more than once"}, edited);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValidationTest);

}  // namespace cairnhollow::registered::registry
