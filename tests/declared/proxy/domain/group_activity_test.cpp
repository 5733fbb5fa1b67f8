// Checks that a proxy probes only the members of groups that it serves.
#include "declared/proxy/domain/group_activity.h"

#include <cppunit/extensions/HelperMacros.h>

#include "declared/proxy/knobs.h"
#include "tests/declared/proxy/proxy_world.h"

namespace cairnhollow::declared::proxy {
namespace {

using std::chrono::seconds;

class GroupActivityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupActivityTest);
  CPPUNIT_TEST(test_group_is_active_for_a_while_after_a_statement);
  CPPUNIT_TEST(test_inactive_groups_are_forgotten);
  CPPUNIT_TEST(test_only_groups_that_are_read_are_probed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_group_is_active_for_a_while_after_a_statement() {
    GroupActivity activity;
    CPPUNIT_ASSERT(activity.last_statements().empty());
    activity.record(kGroup, kStart);
    activity.forget_inactive(kStart + kGroupActivityTime);
    CPPUNIT_ASSERT(activity.last_statements().contains(kGroup));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, activity.last_statements().size());
    activity.forget_inactive(kStart + kGroupActivityTime + Duration(1));
    CPPUNIT_ASSERT(activity.last_statements().empty());
  }

  void test_inactive_groups_are_forgotten() {
    GroupActivity activity;
    activity.record(kGroup, kStart);
    activity.record(GroupName("later"), kStart + kGroupActivityTime);
    activity.forget_inactive(kStart + kGroupActivityTime + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, activity.last_statements().size());
    CPPUNIT_ASSERT(activity.last_statements().contains(GroupName("later")));
  }

  void test_only_groups_that_are_read_are_probed() {
    ProxyWorld deployment;
    add_unserved_groups(deployment);
    deployment.world().run_for(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bytes_to_replica_in_five_seconds(deployment));
    auto& caller = deployment.add_caller(0);
    deployment.write(caller, "one");
    deployment.read(caller);
    CPPUNIT_ASSERT(bytes_to_replica_in_five_seconds(deployment) > 0);
    deployment.world().run_for(kGroupActivityTime);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bytes_to_replica_in_five_seconds(deployment));
  }

 private:
  /// Adds more groups than a proxy probes unconditionally; the route selects only the deployment's own group.
  static void add_unserved_groups(ProxyWorld& deployment) {
    const LabelSet served{{{"served", "yes"}}};
    config::DatabaseGroupSpec own;
    own.backend_selector.match_labels.entries["group"] = ProxyWorld::group().value;
    config::RouteSpec route;
    route.statement_selector.match_labels.entries["database"] = ProxyWorld::key().database;
    route.group_selector.match_labels = served;
    std::vector<config::Object> objects{{ProxyWorld::group().value, served, own}, {"decks", {}, route}};
    for (std::size_t index = 0; index < kAlwaysProbedGroups; ++index) {
      const std::string name = "unserved-" + std::to_string(index);
      config::DatabaseGroupSpec unserved;
      unserved.backend_selector.match_labels.entries["group"] = name;
      objects.push_back({name, {}, unserved});
    }
    deployment.control().put(std::move(objects));
  }

  inline static const GroupName kGroup{"records"};
  static constexpr TimePoint kStart{seconds(100)};

  static std::uint64_t bytes_to_replica(ProxyWorld& deployment) {
    const auto& traffic = deployment.world().network().traffic_of(ProxyWorld::proxy(0));
    const auto found = traffic.find(ProxyWorld::database(1));
    return found == traffic.end() ? 0 : found->second;
  }
  static std::uint64_t bytes_to_replica_in_five_seconds(ProxyWorld& deployment) {
    const auto before = bytes_to_replica(deployment);
    deployment.world().run_for(seconds(5));
    return bytes_to_replica(deployment) - before;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupActivityTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy
