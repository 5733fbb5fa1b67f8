// Tests to which proxies work at a primary is forwarded, and how links to backends are divided, in a
// deployment of two regions with three zones each.
#include "registered/balancing/region_division.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <map>

namespace cairnhollow::registered::balancing {

namespace {

const std::vector<std::string> kZones{"n1", "n2", "n3", "s1", "s2", "s3"};

locality::RegionMap two_regions() {
  std::map<ZoneName, RegionName> regions;
  for (const std::string& zone : kZones)
    regions[ZoneName(zone)] = RegionName(zone.front() == 'n' ? "north" : "south");
  return locality::RegionMap(std::move(regions));
}

/// `per_zone` proxies of each zone, named after their zone.
std::vector<subset::ProxyPointer> proxies(int per_zone) {
  std::vector<subset::ProxyPointer> result;
  for (const std::string& zone : kZones) {
    for (int number = 0; number < per_zone; ++number) {
      result.push_back(std::make_shared<subset::ProxyView>(
          subset::ProxyView{NodeName(fmt::format("{}-{}", zone, number)), ZoneName(zone), Endpoint{}}));
    }
  }
  return result;
}

std::string zones_of(const std::vector<subset::ProxyPointer>& order) {
  std::string text;
  for (const auto& proxy : order) text += proxy->zone.value + " ";
  return text;
}

}  // namespace

class RegionDivisionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegionDivisionTest);
  CPPUNIT_TEST(prefers_zone_then_region_of_primary);
  CPPUNIT_TEST(runs_work_itself_in_region_of_primary);
  CPPUNIT_TEST(runs_work_itself_if_no_proxy_is_near);
  CPPUNIT_TEST(stands_before_other_distant_proxies);
  CPPUNIT_TEST(zone_of_unknown_region_is_near_itself_only);
  CPPUNIT_TEST(forwarders_spread_over_zone_of_primary);
  CPPUNIT_TEST(lost_proxy_moves_only_its_forwarders);
  CPPUNIT_TEST(most_links_go_to_proxies_in_backend_region);
  CPPUNIT_TEST(links_are_divided_evenly_without_proxies_in_backend_region);
  CPPUNIT_TEST_SUITE_END();

 public:
  void prefers_zone_then_region_of_primary() {
    CPPUNIT_ASSERT_EQUAL(std::string("s2 s1 s3 n1 n2 n3 "), zones_of(order({"other", "n1"}, "s2", 1)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the zone of the forwarder comes no earlier",
                                 std::string("s2 s1 s3 n1 n2 n3 "),
                                 zones_of(order({"other", "s1"}, "s2", 1)));
  }

  void runs_work_itself_in_region_of_primary() {
    CPPUNIT_ASSERT(order({"s1-0", "s1"}, "s2", 1).empty());
    CPPUNIT_ASSERT(order({"s2-0", "s2"}, "s2", 1).empty());
    CPPUNIT_ASSERT(!order({"n1-0", "n1"}, "s2", 1).empty());
  }

  void runs_work_itself_if_no_proxy_is_near() {
    auto serving = proxies(1);
    std::erase_if(serving, [](const auto& proxy) { return proxy->zone.value.front() == 's'; });
    CPPUNIT_ASSERT(
        order_for_primary(serving, {NodeName("n2-0"), ZoneName("n2")}, ZoneName("s2"), regions_).empty());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{3},
        order_for_primary(serving, {NodeName("other"), ZoneName("n2")}, ZoneName("s2"), regions_).size());
  }

  void stands_before_other_distant_proxies() {
    CPPUNIT_ASSERT_EQUAL(std::string("s2 s1 s3 n3 n1 n2 "), zones_of(order({"n3-0", "n3"}, "s2", 1)));
  }

  void zone_of_unknown_region_is_near_itself_only() {
    CPPUNIT_ASSERT_MESSAGE("no proxy is near, so it runs the work itself",
                           order({"s1-0", "s1"}, "dark", 1).empty());
    CPPUNIT_ASSERT(!order({"dark-0", "dark"}, "s1", 1).empty());
    const RegionalServing serving(proxies(2), regions_);
    CPPUNIT_ASSERT(serving.are_near(ZoneName("dark"), ZoneName("dark")));
    CPPUNIT_ASSERT(!serving.are_near(ZoneName("dark"), ZoneName("s1")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, serving.count_near(ZoneName("dark")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, serving.count_near(ZoneName("s1")));
  }

  void forwarders_spread_over_zone_of_primary() {
    std::map<NodeName, int> load;
    for (int number = 0; number < 75; ++number) ++load[first_choice(proxies(3), number)];
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, load.size());
    for (const auto& [node, forwarders] : load) CPPUNIT_ASSERT(forwarders >= 15 && forwarders <= 35);
  }

  void lost_proxy_moves_only_its_forwarders() {
    const auto all = proxies(3);
    auto left = all;
    std::erase_if(left, [](const auto& proxy) { return proxy->name.value == "s2-1"; });
    for (int number = 0; number < 75; ++number) {
      const NodeName before = first_choice(all, number);
      if (before.value != "s2-1") CPPUNIT_ASSERT_EQUAL(before.value, first_choice(left, number).value);
    }
  }

  void most_links_go_to_proxies_in_backend_region() {
    // 45 links to a backend, 12 proxies, 6 of them in each region.
    const RegionalServing serving(proxies(2), regions_);
    const ZoneName backend("s2");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, serving.links_per_proxy(45, backend, ZoneName("s2")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, serving.links_per_proxy(45, backend, ZoneName("s3")));
    CPPUNIT_ASSERT_EQUAL(kRemoteRegionLinks, serving.links_per_proxy(45, backend, ZoneName("n1")));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("at least one", std::uint64_t{1},
                                 serving.links_per_proxy(3, backend, ZoneName("s2")));
  }

  void links_are_divided_evenly_without_proxies_in_backend_region() {
    const RegionalServing serving(proxies(2), regions_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, serving.links_per_proxy(45, ZoneName("dark"), ZoneName("s1")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{45},
                         RegionalServing({}, regions_).links_per_proxy(45, ZoneName("s1"), ZoneName("s1")));
  }

 private:
  [[nodiscard]] std::vector<subset::ProxyPointer> order(const std::pair<std::string, std::string>& from,
                                                        const std::string& primary, int per_zone) const {
    return order_for_primary(proxies(per_zone), {NodeName(from.first), ZoneName(from.second)},
                             ZoneName(primary), regions_);
  }
  [[nodiscard]] NodeName first_choice(const std::vector<subset::ProxyPointer>& serving, int forwarder) const {
    const Forwarder from{NodeName(fmt::format("forwarder-{}", forwarder)), ZoneName("n1")};
    const auto near_first = subset::forwarding_order(serving, from.node, from.zone);
    return order_for_primary(near_first, from, ZoneName("s2"), regions_).front()->name;
  }

  const locality::RegionMap regions_ = two_regions();
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionDivisionTest);

}  // namespace cairnhollow::registered::balancing
