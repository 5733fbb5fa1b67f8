// Tests which proxies run a tenant's statements: with 84 tenants and 16 proxies per group.
#include "registered/tenancy/tenant_division.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <map>
#include <set>

namespace cairnhollow::registered::tenancy {

namespace {

std::vector<subset::ProxyPointer> proxies(int count) {
  std::vector<subset::ProxyPointer> result;
  result.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) {
    result.push_back(std::make_shared<subset::ProxyView>(
        subset::ProxyView{NodeName(fmt::format("proxy-{}", number)),
                          ZoneName(fmt::format("zone-{}", number % 3)),
                          {"10.0.0.1", static_cast<std::uint16_t>(number + 1)}}));
  }
  return result;
}

/// Returns the proxies of a zone to which 27 forwarders of that zone send the tenant's statements first.
std::set<NodeName> first_choices(const TenantName& tenant, double fraction, const ZoneName& zone) {
  std::set<NodeName> used;
  const auto serving = proxies(16);
  for (int forwarder = 0; forwarder < 27; ++forwarder) {
    const auto order =
        subset::forwarding_order(serving, NodeName(fmt::format("forwarder-{}", forwarder)), zone);
    used.insert(order_for_tenant(order, tenant, fraction, zone).front()->name);
  }
  return used;
}

}  // namespace

class TenantDivisionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantDivisionTest);
  CPPUNIT_TEST(small_tenant_uses_one_proxy_per_zone);
  CPPUNIT_TEST(large_tenant_uses_several_proxies);
  CPPUNIT_TEST(tenants_spread_over_proxies);
  CPPUNIT_TEST(prefers_proxies_of_the_zone);
  CPPUNIT_TEST(lost_proxy_moves_only_its_tenants);
  CPPUNIT_TEST(forwarders_of_all_zones_select_same_proxy);
  CPPUNIT_TEST(reads_stay_in_zone_with_backend);
  CPPUNIT_TEST(remote_reads_spread_by_tenant);
  CPPUNIT_TEST_SUITE_END();

 public:
  void small_tenant_uses_one_proxy_per_zone() {
    for (int number = 0; number < 84; ++number) {
      const TenantName tenant(fmt::format("tenant-{}", number));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first_choices(tenant, 1.0 / 84, ZoneName("zone-1")).size());
    }
  }

  void large_tenant_uses_several_proxies() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first_choices(TenantName("large"), 0.15, ZoneName("zone-1")).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, first_choices(TenantName("all"), 1.0, ZoneName("zone-1")).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tenant_proxy_count(0, 0.5));
  }

  void tenants_spread_over_proxies() {
    std::set<NodeName> used;
    for (int number = 0; number < 84; ++number)
      used.merge(first_choices(TenantName(fmt::format("tenant-{}", number)), 0.01, ZoneName("zone-1")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, used.size());
  }

  void prefers_proxies_of_the_zone() {
    const auto order = order_for_tenant(proxies(16), TenantName("tenant"), 0.01, ZoneName("zone-2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, order.size());
    for (std::size_t place = 0; place < 5; ++place)
      CPPUNIT_ASSERT_EQUAL(std::string("zone-2"), order[place]->zone.value);
    const auto elsewhere = order_for_tenant(proxies(16), TenantName("tenant"), 0.01, ZoneName("zone-9"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a zone without serving proxies", std::size_t{16}, elsewhere.size());
  }

  void forwarders_of_all_zones_select_same_proxy() {
    const auto serving = proxies(16);
    std::set<NodeName> used;
    for (int forwarder = 0; forwarder < 27; ++forwarder) {
      const ZoneName from(fmt::format("zone-{}", forwarder % 3));
      const auto order =
          subset::forwarding_order(serving, NodeName(fmt::format("forwarder-{}", forwarder)), from);
      const auto front = order_for_tenant(order, TenantName("tenant"), 0.01, ZoneName("zone-1")).front();
      CPPUNIT_ASSERT_EQUAL(std::string("zone-1"), front->zone.value);
      used.insert(front->name);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, used.size());
  }

  void reads_stay_in_zone_with_backend() {
    const std::vector<ZoneName> reading{ZoneName("zone-0"), ZoneName("zone-1")};
    for (int number = 0; number < 84; ++number) {
      const TenantName tenant(fmt::format("tenant-{}", number));
      CPPUNIT_ASSERT_EQUAL(std::string("zone-1"), zone_for_reads(reading, tenant, ZoneName("zone-1")).value);
    }
    CPPUNIT_ASSERT(zone_for_reads({}, TenantName("tenant"), ZoneName("zone-1")).empty());
  }

  void remote_reads_spread_by_tenant() {
    const std::vector<ZoneName> reading{ZoneName("zone-0"), ZoneName("zone-1"), ZoneName("zone-2")};
    const std::vector<ZoneName> other_order{ZoneName("zone-2"), ZoneName("zone-1"), ZoneName("zone-0")};
    std::map<ZoneName, int> tenants;
    for (int number = 0; number < 84; ++number) {
      const TenantName tenant(fmt::format("tenant-{}", number));
      const ZoneName chosen = zone_for_reads(reading, tenant, ZoneName("zone-9"));
      CPPUNIT_ASSERT(chosen == zone_for_reads(other_order, tenant, ZoneName("zone-9")));
      ++tenants[chosen];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, tenants.size());
    for (const auto& [zone, count] : tenants) CPPUNIT_ASSERT_MESSAGE(zone.value, count >= 14);
  }

  void lost_proxy_moves_only_its_tenants() {
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

}  // namespace cairnhollow::registered::tenancy
