// Tests the rendezvous hashing of groups over control nodes and the supervisor table.
#include "declared/control/failover/supervisor_choice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

#include "declared/control/failover/supervisor_table.h"

namespace cairnhollow::declared::control {
namespace {

constexpr int kGroups = 1000;
constexpr int kNodes = 16;

GroupName group(int number) { return GroupName("group-" + std::to_string(number)); }

std::vector<NodeName> nodes(int count) {
  std::vector<NodeName> all;
  all.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) all.emplace_back("control-" + std::to_string(number));
  return all;
}

class SupervisorChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SupervisorChoiceTest);
  CPPUNIT_TEST(order_is_independent_of_input_order);
  CPPUNIT_TEST(spreads_groups_evenly);
  CPPUNIT_TEST(lost_node_moves_only_its_groups);
  CPPUNIT_TEST(table_follows_order_of_eligible_nodes);
  CPPUNIT_TEST(unreachable_group_moves_to_next_node_that_reaches_it);
  CPPUNIT_TEST_SUITE_END();

 public:
  void order_is_independent_of_input_order() {
    auto reversed = nodes(kNodes);
    std::reverse(reversed.begin(), reversed.end());
    CPPUNIT_ASSERT(supervisor_order(group(1), nodes(kNodes)) == supervisor_order(group(1), reversed));
    CPPUNIT_ASSERT(supervisor_order(group(1), {}).empty());
  }

  void spreads_groups_evenly() {
    std::map<NodeName, int> supervised;
    for (int number = 0; number < kGroups; ++number) {
      ++supervised[supervisor_order(group(number), nodes(kNodes)).front()];
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(kNodes), supervised.size());
    const int fair = kGroups / kNodes;
    for (const auto& [node, count] : supervised) CPPUNIT_ASSERT(count > fair / 2 && count < fair * 2);
  }

  void lost_node_moves_only_its_groups() {
    const NodeName lost = nodes(kNodes).front();
    auto left = nodes(kNodes);
    left.erase(left.begin());
    for (int number = 0; number < kGroups; ++number) {
      const auto before = supervisor_order(group(number), nodes(kNodes));
      const auto after = supervisor_order(group(number), left);
      // The next node in the order takes over; it has already been monitoring the group.
      CPPUNIT_ASSERT(after.front() == (before.front() == lost ? before[1] : before.front()));
    }
  }

  void table_follows_order_of_eligible_nodes() {
    const NodeName self = nodes(kNodes)[3];
    SupervisorTable table(self);
    // Covers nodes that join, leave and return.
    for (const int absent : {7, 0, 5, 15}) {
      std::map<NodeName, std::vector<GroupName>> eligible;
      auto present = nodes(absent == 7 ? kNodes / 2 : kNodes);
      present.erase(present.begin() + absent);
      for (const auto& node : present) eligible[node];
      CPPUNIT_ASSERT(table.set_eligible_nodes(eligible));
      CPPUNIT_ASSERT(!table.set_eligible_nodes(eligible));
      for (int number = 0; number < kGroups; ++number) {
        const auto order = supervisor_order(group(number), present);
        const Assignment assignment = table.assign(group(number));
        CPPUNIT_ASSERT(assignment.supervisor == order[0]);
        CPPUNIT_ASSERT_EQUAL(order[0] == self || order[1] == self, assignment.monitored_here);
      }
    }
  }

  void unreachable_group_moves_to_next_node_that_reaches_it() {
    const auto order = supervisor_order(group(1), nodes(kNodes));
    for (const int place : {0, 1, 2, 3}) {
      SupervisorTable table(order[static_cast<std::size_t>(place)]);
      std::map<NodeName, std::vector<GroupName>> eligible;
      for (const auto& node : order) eligible[node];
      eligible[order[0]] = {group(0), group(1)};
      table.set_eligible_nodes(eligible);
      // The first node keeps monitoring; the next two that reach the group monitor it too.
      CPPUNIT_ASSERT(table.assign(group(1)).supervisor == order[1]);
      CPPUNIT_ASSERT_EQUAL(place <= 2, table.assign(group(1)).monitored_here);
      for (const auto& node : order) eligible[node] = {group(0), group(1)};
      table.set_eligible_nodes(eligible);
      CPPUNIT_ASSERT(table.assign(group(1)).supervisor == order[0]);
      CPPUNIT_ASSERT_EQUAL(place <= 1, table.assign(group(1)).monitored_here);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SupervisorChoiceTest);

}  // namespace
}  // namespace cairnhollow::declared::control
