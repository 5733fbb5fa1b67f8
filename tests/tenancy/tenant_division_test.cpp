// Where a tenant's statements run: 84 tenants and 53 connections a backend, with 16 proxies before each
// group.
#include "tenancy/tenant_division.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <set>

namespace cairnhollow::tenancy {

namespace {

std::vector<routing::ProxyPointer> proxies(int count) {
  std::vector<routing::ProxyPointer> result;
  result.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) {
    result.push_back(std::make_shared<routing::ProxyView>(
        routing::ProxyView{NodeName(fmt::format("proxy-{}", number)),
                           ZoneName(fmt::format("zone-{}", number % 3)),
                           {"10.0.0.1", static_cast<std::uint16_t>(number + 1)}}));
  }
  return result;
}

/// Where the statements of the tenant go that came in at each of `forwarders` proxies of a zone.
std::set<NodeName> used_by(const TenantName& tenant, double part, const ZoneName& zone) {
  std::set<NodeName> used;
  const auto serving = proxies(16);
  for (int forwarder = 0; forwarder < 27; ++forwarder) {
    const auto order =
        routing::forwarding_order(serving, NodeName(fmt::format("forwarder-{}", forwarder)), zone);
    used.insert(order_for_tenant(order, tenant, part, zone).front()->name);
  }
  return used;
}

}  // namespace

class TenantDivisionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantDivisionTest);
  CPPUNIT_TEST(a_small_tenant_has_one_proxy_a_zone);
  CPPUNIT_TEST(a_large_tenant_has_several);
  CPPUNIT_TEST(tenants_spread);
  CPPUNIT_TEST(statements_stay_in_their_zone_first);
  CPPUNIT_TEST(a_lost_proxy_moves_its_own_tenants_only);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_small_tenant_has_one_proxy_a_zone() {
    for (int number = 0; number < 84; ++number) {
      const TenantName tenant(fmt::format("tenant-{}", number));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, used_by(tenant, 1.0 / 84, ZoneName("zone-1")).size());
    }
  }

  void a_large_tenant_has_several() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used_by(TenantName("large"), 0.15, ZoneName("zone-1")).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, used_by(TenantName("all"), 1.0, ZoneName("zone-1")).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proxies_of_tenant(0, 0.5));
  }

  void tenants_spread() {
    std::set<NodeName> used;
    for (int number = 0; number < 84; ++number)
      used.merge(used_by(TenantName(fmt::format("tenant-{}", number)), 0.01, ZoneName("zone-1")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, used.size());
  }

  void statements_stay_in_their_zone_first() {
    const auto order = order_for_tenant(proxies(16), TenantName("tenant"), 0.01, ZoneName("zone-2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, order.size());
    for (std::size_t place = 0; place < 5; ++place)
      CPPUNIT_ASSERT_EQUAL(std::string("zone-2"), order[place]->zone.value);
    const auto elsewhere = order_for_tenant(proxies(16), TenantName("tenant"), 0.01, ZoneName("zone-9"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no proxy of the zone serves it", std::size_t{16}, elsewhere.size());
  }

  void a_lost_proxy_moves_its_own_tenants_only() {
    const ZoneName zone("zone-1");
    for (int number = 0; number < 84; ++number) {
      const TenantName tenant(fmt::format("tenant-{}", number));
      const auto before = order_for_tenant(proxies(16), tenant, 0.01, zone);
      auto left = proxies(16);
      std::erase_if(left, [&](const auto& proxy) { return proxy->name == before[1]->name; });
      CPPUNIT_ASSERT(order_for_tenant(left, tenant, 0.01, zone).front()->name == before.front()->name);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantDivisionTest);

}  // namespace cairnhollow::tenancy
