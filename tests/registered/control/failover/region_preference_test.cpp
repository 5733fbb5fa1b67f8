// Tests how many of a group's routes may write at each of its members.
#include "registered/control/failover/region_preference.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/world.h"
#include "wire/codec.h"

namespace cairnhollow::registered::control {

namespace {

registry::RouteRule route(const std::string& name, const std::string& group,
                          const std::vector<std::string>& regions) {
  registry::RouteRule rule;
  rule.name = RouteName(name);
  rule.database = DatabaseName(name);
  rule.group = GroupName(group);
  for (const std::string& region : regions) rule.allowed_regions.emplace_back(region);
  return rule;
}

registry::BackendEntry member(const std::string& name, const std::string& zone) {
  registry::BackendEntry entry;
  entry.name = BackendName(name);
  entry.zone = ZoneName(zone);
  return entry;
}

using Counts = std::map<BackendName, std::size_t>;

}  // namespace

class RegionPreferenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegionPreferenceTest);
  CPPUNIT_TEST(counts_routes_that_allow_the_region);
  CPPUNIT_TEST(is_empty_for_groups_without_restricted_routes);
  CPPUNIT_TEST(follows_the_newest_document);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    auto& runtime = world_->start_bare({"control", "10.0.0.1", ZoneName("n1")});
    fleet_ = std::make_unique<registry::FleetStateMachine>(runtime);
    preference_ = std::make_unique<RegionPreference>(
        *fleet_,
        locality::RegionMap({{ZoneName("n1"), RegionName("north")}, {ZoneName("s1"), RegionName("south")}}));
  }

  void tearDown() override {
    preference_.reset();
    fleet_.reset();
    world_.reset();
  }

  void counts_routes_that_allow_the_region() {
    put(1, {route("a", "records", {"north"}), route("b", "records", {"north", "south"}),
            route("c", "records", {}), route("d", "others", {"south"})});
    const Counts expected{{BackendName("n"), 3}, {BackendName("s"), 2}, {BackendName("dark"), 1}};
    CPPUNIT_ASSERT(expected == preference_->allowing_routes(GroupName("records"), members_));
  }

  void is_empty_for_groups_without_restricted_routes() {
    put(1, {route("a", "records", {}), route("d", "others", {"south"})});
    CPPUNIT_ASSERT(preference_->allowing_routes(GroupName("records"), members_).empty());
    CPPUNIT_ASSERT(preference_->allowing_routes(GroupName("nobody"), members_).empty());
  }

  void follows_the_newest_document() {
    put(1, {route("a", "records", {"north"})});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, routes_at("n"));
    put(2, {route("a", "records", {"south"})});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, routes_at("n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, routes_at("s"));
  }

 private:
  void put(std::uint64_t version, std::vector<registry::RouteRule> routes) {
    registry::ReplaceDocument command;
    command.document.version = version;
    command.document.routes = std::move(routes);
    command.document.groups = {registry::GroupRule{GroupName("records"), 30, 1}};
    fleet_->apply(version,
                  wire::encode(registry::LoggedCommand{registry::Command{command}}, wire::kPlacementFormat));
  }
  std::size_t routes_at(const std::string& name) {
    return preference_->allowing_routes(GroupName("records"), members_)[BackendName(name)];
  }

  std::unique_ptr<simulation::World> world_;
  std::unique_ptr<registry::FleetStateMachine> fleet_;
  std::unique_ptr<RegionPreference> preference_;
  const std::vector<registry::BackendEntry> members_{member("n", "n1"), member("s", "s1"),
                                                     member("dark", "d1")};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionPreferenceTest);

}  // namespace cairnhollow::registered::control
