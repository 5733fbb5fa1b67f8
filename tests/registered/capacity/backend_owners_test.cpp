// Tests which proxies own a backend: few, in its zone, alike at every proxy, and moved by no more than
// needed.
#include "registered/capacity/backend_owners.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>

namespace cairnhollow::registered::capacity {

namespace {

std::vector<subset::ProxyPointer> proxies(int count) {
  std::vector<subset::ProxyPointer> result;
  result.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) {
    result.push_back(std::make_shared<subset::ProxyView>(subset::ProxyView{
        NodeName(fmt::format("proxy-{}", number)), ZoneName(fmt::format("zone-{}", number % 4)), {"", 1}}));
  }
  return result;
}

std::vector<subset::ProxyPointer> owners(const std::vector<subset::ProxyPointer>& all, const GroupName& group,
                                         const ZoneName& zone, std::size_t count) {
  return owners_of(subset::SubsetTable(all).serving(group, 12), zone, count);
}

bool contains(const std::vector<subset::ProxyPointer>& all, const NodeName& name) {
  return std::any_of(all.begin(), all.end(), [&](const auto& proxy) { return proxy->name == name; });
}

}  // namespace

class BackendOwnersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendOwnersTest);
  CPPUNIT_TEST(number_follows_from_slots_with_spares);
  CPPUNIT_TEST(owners_are_in_the_zone_of_the_backend);
  CPPUNIT_TEST(order_of_the_membership_does_not_matter);
  CPPUNIT_TEST(lost_owner_is_replaced_and_the_others_stay);
  CPPUNIT_TEST(other_zones_own_it_where_the_zone_has_no_proxy);
  CPPUNIT_TEST_SUITE_END();

 public:
  void number_follows_from_slots_with_spares() {
    const std::vector<std::pair<std::uint64_t, std::size_t>> cases{{0, 3}, {1, 3}, {2, 3}, {3, 4},
                                                                   {4, 4}, {6, 5}, {7, 6}};
    for (const auto& [slots, expected] : cases)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} slots", slots), expected, owner_count(slots));
  }

  void owners_are_in_the_zone_of_the_backend() {
    const auto all = proxies(40);
    for (int number = 0; number < 30; ++number) {
      const auto selected = owners(all, GroupName(fmt::format("group-{}", number)), ZoneName("zone-2"), 3);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, selected.size());
      for (const auto& proxy : selected) CPPUNIT_ASSERT_EQUAL(std::string("zone-2"), proxy->zone.value);
    }
  }

  void order_of_the_membership_does_not_matter() {
    auto all = proxies(40);
    const auto selected = owners(all, GroupName("group"), ZoneName("zone-1"), 3);
    std::reverse(all.begin(), all.end());
    CPPUNIT_ASSERT(selected == owners(all, GroupName("group"), ZoneName("zone-1"), 3));
  }

  void lost_owner_is_replaced_and_the_others_stay() {
    auto all = proxies(40);
    const auto before = owners(all, GroupName("group"), ZoneName("zone-1"), 2);
    const NodeName lost = before[0]->name;
    std::erase_if(all, [&](const auto& proxy) { return proxy->name == lost; });
    const auto after = owners(all, GroupName("group"), ZoneName("zone-1"), 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, after.size());
    CPPUNIT_ASSERT(contains(after, before[1]->name) && !contains(after, lost));
  }

  void other_zones_own_it_where_the_zone_has_no_proxy() {
    const auto selected = owners(proxies(40), GroupName("group"), ZoneName("zone-9"), 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, selected.size());
    CPPUNIT_ASSERT(owners_of({}, ZoneName("zone-9"), 3).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendOwnersTest);

}  // namespace cairnhollow::registered::capacity
