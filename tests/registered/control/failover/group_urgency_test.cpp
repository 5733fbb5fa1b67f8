// Tests the order in which groups are served when several fail over at once.
#include "registered/control/failover/group_urgency.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace cairnhollow::registered::control {

namespace {

registry::GroupRule group(const std::string& name) {
  registry::GroupRule rule;
  rule.name = GroupName(name);
  return rule;
}

registry::RouteRule route(const std::string& name, const std::string& to, std::uint64_t priority) {
  registry::RouteRule rule;
  rule.name = RouteName(name);
  rule.group = GroupName(to);
  rule.priority = priority;
  return rule;
}

}  // namespace

class GroupUrgencyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupUrgencyTest);
  CPPUNIT_TEST(uses_the_most_urgent_route_of_a_group);
  CPPUNIT_TEST(orders_groups_by_urgency_and_name);
  CPPUNIT_TEST_SUITE_END();

 public:
  void uses_the_most_urgent_route_of_a_group() {
    const auto found = urgencies();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, found.at(GroupName("a")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, found.at(GroupName("c")));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no route to the group", std::numeric_limits<std::uint64_t>::max(),
                                 found.at(GroupName("d")));
  }

  void orders_groups_by_urgency_and_name() {
    const std::vector<GroupName> expected{GroupName("c"), GroupName("a"), GroupName("b"), GroupName("d")};
    CPPUNIT_ASSERT(groups_by_urgency(urgencies()) == expected);
  }

 private:
  static std::map<GroupName, std::uint64_t> urgencies() {
    return group_urgencies({group("d"), group("c"), group("b"), group("a")},
                           {route("1", "a", 4), route("2", "a", 1), route("3", "b", 1), route("4", "c", 0)});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupUrgencyTest);

}  // namespace cairnhollow::registered::control
