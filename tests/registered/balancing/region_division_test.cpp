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
  CPPUNIT_TEST(prefers_zone_then_region_of_backend);
  CPPUNIT_TEST(runs_work_itself_in_zone_of_backend);
  CPPUNIT_TEST(runs_work_itself_if_no_proxy_is_nearer);
  CPPUNIT_TEST(stands_before_other_proxies_as_far_away);
  CPPUNIT_TEST(zone_of_unknown_region_is_near_itself_only);
  CPPUNIT_TEST(forwarders_spread_over_zone_of_backend);
  CPPUNIT_TEST(lost_proxy_moves_only_its_forwarders);
  CPPUNIT_TEST(reads_stay_in_zone_or_region_with_backend);
  CPPUNIT_TEST(reads_spread_over_zones_of_region);
  CPPUNIT_TEST(most_links_go_to_proxies_in_backend_zone);
  CPPUNIT_TEST(region_stands_in_for_zone_without_proxies);
  CPPUNIT_TEST(links_are_divided_evenly_without_proxies_in_backend_region);
  CPPUNIT_TEST(shares_fit_into_limit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void prefers_zone_then_region_of_backend() {
    CPPUNIT_ASSERT_EQUAL(std::string("s2 s1 s3 n1 n2 n3 "), zones_of(order({"other", "n1"}, "s2")));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the zone of the forwarder comes no earlier",
                                 std::string("s2 s1 s3 n1 n2 n3 "), zones_of(order({"other", "s1"}, "s2")));
  }

  void runs_work_itself_in_zone_of_backend() {
    CPPUNIT_ASSERT(order({"s2-0", "s2"}, "s2").empty());
    CPPUNIT_ASSERT(!order({"s1-0", "s1"}, "s2").empty());
    CPPUNIT_ASSERT(!order({"n1-0", "n1"}, "s2").empty());
  }

  void runs_work_itself_if_no_proxy_is_nearer() {
    auto serving = proxies(1);
    std::erase_if(serving, [](const auto& proxy) { return proxy->zone.value == "s2"; });
    CPPUNIT_ASSERT_MESSAGE("in the region", order_of(serving, {"s1-0", "s1"}, "s2").empty());
    CPPUNIT_ASSERT(!order_of(serving, {"n2-0", "n2"}, "s2").empty());
    std::erase_if(serving, [](const auto& proxy) { return proxy->zone.value.front() == 's'; });
    CPPUNIT_ASSERT_MESSAGE("in another region", order_of(serving, {"n2-0", "n2"}, "s2").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, order_of(serving, {"other", "n2"}, "s2").size());
  }

  void stands_before_other_proxies_as_far_away() {
    CPPUNIT_ASSERT_EQUAL(std::string("s2 s1 s3 n3 n1 n2 "), zones_of(order({"n3-0", "n3"}, "s2")));
    CPPUNIT_ASSERT_EQUAL(std::string("s2 s3 s1 n1 n2 n3 "), zones_of(order({"s3-0", "s3"}, "s2")));
  }

  void zone_of_unknown_region_is_near_itself_only() {
    CPPUNIT_ASSERT_MESSAGE("no proxy is nearer", order({"s1-0", "s1"}, "dark").empty());
    CPPUNIT_ASSERT(!order({"dark-0", "dark"}, "s1").empty());
    const RegionalServing serving(proxies(2), regions_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, serving.count_in_region(ZoneName("dark")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, serving.count_in_region(ZoneName("s1")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, serving.count_in(ZoneName("s1")));
    CPPUNIT_ASSERT_EQUAL(std::string("dark"), reads({"dark", "s1"}, {"p", "dark"}));
  }

  void forwarders_spread_over_zone_of_backend() {
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

  void reads_stay_in_zone_or_region_with_backend() {
    CPPUNIT_ASSERT_EQUAL(std::string("n2"), reads({"n1", "n2", "s1"}, {"p", "n2"}));
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), reads({"n1", "n2", "s1"}, {"p", "s3"}));
    CPPUNIT_ASSERT_EQUAL(std::string("n1"), reads({"n1"}, {"p", "s3"}));
    CPPUNIT_ASSERT_EQUAL(std::string(), reads({}, {"p", "s3"}));
  }

  void reads_spread_over_zones_of_region() {
    std::map<std::string, int> load;
    for (int number = 0; number < 60; ++number)
      ++load[reads({"n1", "n2", "s1"}, {fmt::format("p-{}", number), "n3"})];
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, load.size());
    CPPUNIT_ASSERT(load["n1"] >= 18 && load["n2"] >= 18);
  }

  void most_links_go_to_proxies_in_backend_zone() {
    // 12 proxies, two of each zone: 6 links are reserved for the other region, 8 for other zones of the
    // region.
    const RegionalServing serving(proxies(2), regions_);
    const ZoneName backend("s2");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, serving.links_per_proxy(45, backend, ZoneName("s2")));
    CPPUNIT_ASSERT_EQUAL(kOtherZoneLinks, serving.links_per_proxy(45, backend, ZoneName("s3")));
    CPPUNIT_ASSERT_EQUAL(kRemoteRegionLinks, serving.links_per_proxy(45, backend, ZoneName("n1")));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("at least one", std::uint64_t{1},
                                 serving.links_per_proxy(3, backend, ZoneName("s2")));
  }

  void region_stands_in_for_zone_without_proxies() {
    auto proxies_left = proxies(2);
    std::erase_if(proxies_left, [](const auto& proxy) { return proxy->zone.value == "s2"; });
    const RegionalServing serving(proxies_left, regions_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, serving.links_per_proxy(45, ZoneName("s2"), ZoneName("s3")));
    CPPUNIT_ASSERT_EQUAL(kRemoteRegionLinks, serving.links_per_proxy(45, ZoneName("s2"), ZoneName("n1")));
  }

  void links_are_divided_evenly_without_proxies_in_backend_region() {
    const RegionalServing serving(proxies(2), regions_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, serving.links_per_proxy(45, ZoneName("dark"), ZoneName("s1")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{45},
                         RegionalServing({}, regions_).links_per_proxy(45, ZoneName("s1"), ZoneName("s1")));
  }

  void shares_fit_into_limit() {
    const std::uint64_t usable = 45;
    for (int per_zone = 1; per_zone <= 3; ++per_zone) {
      for (const char* backend : {"s2", "dark"}) {
        const auto all = proxies(per_zone);
        const RegionalServing serving(all, regions_);
        std::uint64_t links = 0;
        for (const auto& proxy : all)
          links += serving.links_per_proxy(usable, ZoneName(backend), proxy->zone);
        CPPUNIT_ASSERT_MESSAGE(backend, links <= usable);
      }
    }
  }

 private:
  using NodeAndZone = std::pair<std::string, std::string>;

  [[nodiscard]] std::vector<subset::ProxyPointer> order_of(const std::vector<subset::ProxyPointer>& serving,
                                                           const NodeAndZone& from,
                                                           const std::string& target) const {
    return order_near(serving, {NodeName(from.first), ZoneName(from.second)}, ZoneName(target), regions_);
  }
  [[nodiscard]] std::vector<subset::ProxyPointer> order(const NodeAndZone& from,
                                                        const std::string& target) const {
    return order_of(proxies(1), from, target);
  }
  [[nodiscard]] NodeName first_choice(const std::vector<subset::ProxyPointer>& serving, int forwarder) const {
    const Forwarder from{NodeName(fmt::format("forwarder-{}", forwarder)), ZoneName("n1")};
    const auto near_first = subset::forwarding_order(serving, from.node, from.zone);
    return order_near(near_first, from, ZoneName("s2"), regions_).front()->name;
  }
  [[nodiscard]] std::string reads(const std::vector<std::string>& zones, const NodeAndZone& from) const {
    std::vector<ZoneName> reading;
    reading.reserve(zones.size());
    for (const std::string& zone : zones) reading.emplace_back(zone);
    return zone_for_reads(reading, {NodeName(from.first), ZoneName(from.second)}, regions_).value;
  }

  const locality::RegionMap regions_ = two_regions();
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionDivisionTest);

}  // namespace cairnhollow::registered::balancing
