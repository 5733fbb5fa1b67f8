// Subsets of serving proxies: sizes, balance, groups moved by membership changes, forwarding order.
#include "subset/subset.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

namespace cairnhollow::subset {
namespace {

constexpr std::uint32_t kProxies = 300;
constexpr std::uint32_t kZones = 19;
constexpr std::uint32_t kGroups = 3300;
constexpr std::uint32_t kSubset = 11;

/// Zones with a backend of the group.
const std::vector<ZoneName> kNear{ZoneName("zone-0"), ZoneName("zone-3"), ZoneName("zone-4")};

GroupName group(std::uint32_t number) { return GroupName("group-" + std::to_string(number)); }

ProxyPointer make_proxy(const std::string& name, const ZoneName& zone) {
  return std::make_shared<ProxyView>(ProxyView{NodeName(name), zone, Endpoint{"10.0.0.1", 1}});
}

std::vector<ProxyPointer> make_proxies(std::uint32_t count, std::uint32_t zones) {
  std::vector<ProxyPointer> proxies;
  for (std::uint32_t number = 0; number < count; ++number) {
    const ZoneName zone("zone-" + std::to_string(number % zones));
    proxies.push_back(make_proxy("proxy-" + std::to_string(number), zone));
  }
  return proxies;
}

std::set<std::string> names(const std::vector<ProxyPointer>& proxies) {
  std::set<std::string> names;
  for (const auto& proxy : proxies) names.insert(proxy->name.value);
  return names;
}

class SubsetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SubsetTest);
  CPPUNIT_TEST(test_every_proxy_serves_in_small_fleets);
  CPPUNIT_TEST(test_serving_proxies_have_the_minimum_of_connections);
  CPPUNIT_TEST(test_at_least_two_proxies_serve);
  CPPUNIT_TEST(test_groups_are_balanced_over_proxies);
  CPPUNIT_TEST(test_zones_take_turns);
  CPPUNIT_TEST(test_most_serve_in_zones_of_backends);
  CPPUNIT_TEST(test_other_zones_fill_up_small_zones_of_backends);
  CPPUNIT_TEST(test_lost_proxy_moves_its_own_groups_only);
  CPPUNIT_TEST(test_added_proxy_takes_groups_only_for_itself);
  CPPUNIT_TEST(test_proxies_without_zone);
  CPPUNIT_TEST(test_no_proxies_give_an_empty_subset);
  CPPUNIT_TEST(test_forwarding_prefers_the_own_zone);
  CPPUNIT_TEST(test_forwarders_use_different_orders);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_every_proxy_serves_in_small_fleets() {
    for (const std::uint32_t connections : {35U, 60U}) {
      for (std::uint32_t count = 1; count <= 8; ++count) {
        const SubsetTable table(make_proxies(count, 3));
        const auto subset = table.serving(group(1), subset_size(connections, count));
        CPPUNIT_ASSERT_EQUAL(std::size_t{count}, names(subset).size());
      }
    }
  }

  void test_serving_proxies_have_the_minimum_of_connections() {
    CPPUNIT_ASSERT_EQUAL(11U, subset_size(35, 1500));
    CPPUNIT_ASSERT_EQUAL(20U, subset_size(60, 1500));
    for (std::uint32_t connections = 6; connections <= 100; ++connections) {
      for (const std::size_t count : {3U, 12U, 40U, 1500U}) {
        CPPUNIT_ASSERT(subset_size(connections, count) * kMinConnectionsPerServingProxy <= connections);
      }
    }
  }

  void test_at_least_two_proxies_serve() {
    CPPUNIT_ASSERT_EQUAL(2U, subset_size(1, 1500));
    CPPUNIT_ASSERT_EQUAL(2U, subset_size(8, 3));
    CPPUNIT_ASSERT_EQUAL(1U, subset_size(8, 1));
  }

  void test_groups_are_balanced_over_proxies() {
    const auto proxies = make_proxies(kProxies, kZones);
    const SubsetTable table(proxies);
    std::map<std::string, std::uint32_t> served;
    for (std::uint32_t number = 0; number < kGroups; ++number) {
      for (const auto& name : names(table.serving(group(number), kSubset))) ++served[name];
    }
    const std::uint32_t mean = kGroups * kSubset / kProxies;
    CPPUNIT_ASSERT_EQUAL(std::size_t{kProxies}, served.size());
    for (const auto& [name, count] : served) {
      CPPUNIT_ASSERT(count > mean / 2);
      CPPUNIT_ASSERT(count < mean * 3 / 2);
    }
  }

  void test_zones_take_turns() {
    const auto proxies = make_proxies(kProxies, kZones);
    const SubsetTable table(proxies);
    for (const std::uint32_t size : {kSubset, kZones, kZones + 1, 2 * kZones}) {
      std::map<ZoneName, std::uint32_t> by_zone;
      for (const auto& proxy : table.serving(group(7), size)) ++by_zone[proxy->zone];
      CPPUNIT_ASSERT_EQUAL(std::size_t{std::min(size, kZones)}, by_zone.size());
      for (const auto& [zone, count] : by_zone) CPPUNIT_ASSERT(count <= (size + kZones - 1) / kZones);
    }
  }

  void test_most_serve_in_zones_of_backends() {
    const SubsetTable table(make_proxies(60, 6));
    std::map<ZoneName, std::size_t> by_zone;
    for (const auto& proxy : table.serving_near(group(7), 15, kNear)) ++by_zone[proxy->zone];
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, by_zone.size());
    for (const auto& [zone, count] : by_zone) {
      const bool is_near = std::find(kNear.begin(), kNear.end(), zone) != kNear.end();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(zone.value, std::size_t{is_near ? 4U : 1U}, count);
    }
    for (const std::uint32_t size : {0U, 1U, 4U, 59U, 60U, 61U})
      CPPUNIT_ASSERT_EQUAL(std::size_t{std::min(size, 60U)},
                           names(table.serving_near(group(7), size, kNear)).size());
    CPPUNIT_ASSERT_MESSAGE("without zones of backends, zones take turns",
                           names(table.serving_near(group(7), 15, {})) == names(table.serving(group(7), 15)));
  }

  void test_other_zones_fill_up_small_zones_of_backends() {
    const SubsetTable table(make_proxies(12, 6));
    std::map<ZoneName, std::size_t> by_zone;
    for (const auto& proxy : table.serving_near(group(7), 11, kNear)) ++by_zone[proxy->zone];
    for (const ZoneName& zone : kNear) CPPUNIT_ASSERT_EQUAL(std::size_t{2}, by_zone[zone]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, by_zone.size());
  }

  void test_lost_proxy_moves_its_own_groups_only() {
    const auto before = make_proxies(kProxies, kZones);
    auto after = before;
    const auto lost = after[17]->name.value;
    after.erase(after.begin() + 17);
    const SubsetTable table_before(before);
    const SubsetTable table_after(after);
    std::uint32_t moved = 0;
    for (std::uint32_t number = 0; number < kGroups; ++number) {
      auto expected = names(table_before.serving(group(number), kSubset));
      const auto now = names(table_after.serving(group(number), kSubset));
      if (expected.erase(lost) == 0) {
        CPPUNIT_ASSERT(expected == now);
      } else {
        ++moved;
        CPPUNIT_ASSERT(std::includes(now.begin(), now.end(), expected.begin(), expected.end()));
      }
    }
    CPPUNIT_ASSERT(moved > 0 && moved < kGroups / 10);
  }

  void test_added_proxy_takes_groups_only_for_itself() {
    const auto before = make_proxies(kProxies, kZones);
    auto after = before;
    after.push_back(make_proxy("proxy-new", ZoneName("zone-4")));
    const SubsetTable table_before(before);
    const SubsetTable table_after(after);
    std::uint32_t taken = 0;
    for (std::uint32_t number = 0; number < kGroups; ++number) {
      const auto old = names(table_before.serving(group(number), kSubset));
      auto now = names(table_after.serving(group(number), kSubset));
      if (now == old) continue;
      ++taken;
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, now.erase("proxy-new"));
      CPPUNIT_ASSERT(std::includes(old.begin(), old.end(), now.begin(), now.end()));
    }
    CPPUNIT_ASSERT(taken > 0 && taken < kGroups / 10);
  }

  void test_proxies_without_zone() {
    std::vector<ProxyPointer> proxies;
    for (const auto& proxy : make_proxies(kProxies, kZones)) {
      proxies.push_back(make_proxy(proxy->name.value, ZoneName()));
    }
    const auto subset = SubsetTable(proxies).serving(group(1), kSubset);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kSubset}, names(subset).size());
  }

  void test_no_proxies_give_an_empty_subset() {
    CPPUNIT_ASSERT(SubsetTable().serving(group(1), subset_size(35, 0)).empty());
  }

  void test_forwarding_prefers_the_own_zone() {
    const auto proxies = make_proxies(kProxies, kZones);
    const auto subset = SubsetTable(proxies).serving(group(3), kSubset);
    const auto& near = subset[5];
    const auto order = forwarding_order(subset, NodeName("proxy-x"), near->zone);
    CPPUNIT_ASSERT_EQUAL(near->name.value, order.front()->name.value);
    CPPUNIT_ASSERT(names(subset) == names(order));
  }

  void test_forwarders_use_different_orders() {
    const auto proxies = make_proxies(kProxies, kZones);
    const auto subset = SubsetTable(proxies).serving(group(3), kSubset);
    std::map<std::string, std::uint32_t> first;
    for (const auto& proxy : proxies) {
      ++first[forwarding_order(subset, proxy->name, ZoneName("elsewhere")).front()->name.value];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kSubset}, first.size());
    for (const auto& [name, count] : first) CPPUNIT_ASSERT(count < 3 * kProxies / kSubset);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubsetTest);

}  // namespace
}  // namespace cairnhollow::subset
