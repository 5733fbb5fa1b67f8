// A registered fleet over two regions: statements that are bound to one run nowhere else, and their text goes
// to no proxy elsewhere. Judged from what backends ran and what proxies sent each other.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>

#include "tests/support/registered_scenario.h"

namespace cairnhollow::simulation {

using standins::registered::PlacedStatement;
using std::chrono::seconds;

namespace {

/// Of "kelburn" (backend 1) and "petone" (backend 2).
const RegionName kNorth("north");
/// Of "porirua" (backend 3).
const RegionName kSouth("south");

const std::map<std::string, std::vector<RegionName>> kAllNorth{
    {"records", {kNorth}}, {"browse", {kNorth}}, {"assign", {kNorth}}};

void check(const std::function<void(RegisteredFleetSettings&)>& set,
           const std::function<void(RegisteredFleet&)>& scenario) {
  tests::play_registered(
      [&](RegisteredFleetSettings& settings) {
        settings.zone_regions = {
            {ZoneName("kelburn"), kNorth}, {ZoneName("petone"), kNorth}, {ZoneName("porirua"), kSouth}};
        if (set) set(settings);
      },
      scenario);
}

/// Statements of a database's callers at backends, or at other proxies than theirs, since then.
std::size_t placed(const RegisteredFleet& fleet, const std::string& database, bool at_backend,
                   TimePoint from) {
  const auto& history = fleet.region_history();
  return static_cast<std::size_t>(
      std::count_if(history.placed.begin(), history.placed.end(), [&](const PlacedStatement& one) {
        const auto caller = history.callers.find(one.id.substr(0, one.id.rfind('-')));
        return one.at_backend == at_backend && one.at >= from && caller != history.callers.end() &&
               caller->second.database == database;
      }));
}

registered::registry::TenantRule tenant(const std::string& name, const std::vector<RegionName>& regions) {
  return {TenantName(name), {ApiKey("key-of-" + name)}, 500, 500, 1, regions};
}

}  // namespace

class RegionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegionsTest);
  CPPUNIT_TEST(bound_statements_run_inside);
  CPPUNIT_TEST(reads_are_served_beside_a_primary_outside);
  CPPUNIT_TEST(a_changed_document_binds_what_begins_later);
  CPPUNIT_TEST(a_tenants_texts_stay_inside);
  CPPUNIT_TEST(without_a_lease_texts_are_relayed_inside);
  CPPUNIT_TEST(a_lost_primary_is_followed_inside);
  CPPUNIT_TEST_SUITE_END();

 public:
  void bound_statements_run_inside() {
    check([](RegisteredFleetSettings& settings) { settings.database_regions = kAllNorth; },
          [](RegisteredFleet& fleet) {
            const TimePoint begun = fleet.world().now();
            fleet.run_for(seconds(8));
            for (const char* database : {"records", "browse", "assign"})
              CPPUNIT_ASSERT_MESSAGE(database, placed(fleet, database, true, begun) > 50);
          });
  }

  void reads_are_served_beside_a_primary_outside() {
    check([](RegisteredFleetSettings& settings) { settings.database_regions = kAllNorth; },
          [](RegisteredFleet& fleet) {
            // Only backend 3 is in the south, and it leads nothing.
            CPPUNIT_ASSERT(fleet.primary() != "g1-b3");
            fleet.set_database_regions({{"records", {kSouth}}, {"browse", {kSouth}}, {"assign", {kSouth}}});
            CPPUNIT_ASSERT(fleet.send_document());
            fleet.run_for(seconds(5));
            const TimePoint settled = fleet.world().now();
            const std::uint64_t refused = fleet.refused();
            const std::uint64_t acknowledged = fleet.acknowledged();
            fleet.run_for(seconds(6));
            CPPUNIT_ASSERT_MESSAGE("bounded reads", placed(fleet, "browse", true, settled) > 50);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("reads of the primary", std::size_t{0},
                                         placed(fleet, "records", true, settled));
            CPPUNIT_ASSERT_EQUAL_MESSAGE("writes", acknowledged, fleet.acknowledged());
            // Each attempt is answered at once: many in a time in which a patient one would wait.
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} refused", fleet.refused() - refused),
                                   fleet.refused() - refused > 200);
          });
  }

  void a_changed_document_binds_what_begins_later() {
    check([](RegisteredFleetSettings& settings) { settings.database_regions = kAllNorth; },
          [](RegisteredFleet& fleet) {
            fleet.run_for(seconds(5));
            fleet.set_database_regions({{"records", {kNorth}}, {"browse", {kSouth}}, {"assign", {kNorth}}});
            CPPUNIT_ASSERT(fleet.send_document());
            fleet.run_for(seconds(6));
            const TimePoint settled = fleet.world().now();
            fleet.run_for(seconds(3));
            CPPUNIT_ASSERT(placed(fleet, "browse", true, settled) > 20);
            fleet.set_database_regions({});
            CPPUNIT_ASSERT(fleet.send_document());
            fleet.run_for(seconds(2));
          });
  }

  void a_tenants_texts_stay_inside() {
    check(
        [](RegisteredFleetSettings& settings) {
          settings.proxies = 9;
          settings.tenants = {tenant("ako", {kNorth}), tenant("kea", {kSouth}), tenant("tui", {})};
        },
        [](RegisteredFleet& fleet) {
          // Callers are refused by a proxy only when nothing inside takes their statements.
          const TimePoint begun = fleet.world().now();
          fleet.run_for(seconds(8));
          const auto& history = fleet.region_history();
          const auto sent =
              std::count_if(history.placed.begin(), history.placed.end(),
                            [&](const PlacedStatement& one) { return !one.at_backend && one.at >= begun; });
          CPPUNIT_ASSERT_MESSAGE("nothing was forwarded", sent > 50);
        });
  }

  void without_a_lease_texts_are_relayed_inside() {
    check(
        [](RegisteredFleetSettings& settings) {
          settings.database_regions = kAllNorth;
          settings.proxies = 6;
        },
        [](RegisteredFleet& fleet) {
          fleet.run_for(seconds(4));
          const TimePoint begun = fleet.world().now();
          // Proxies 1 and 4 are in "kelburn", 3 and 6 in "porirua". Members can't be asked, either.
          for (const char* proxy : {"proxy-1", "proxy-6"}) {
            fleet.cut_from_all_control(proxy);
            for (const char* backend : {"g1-b1", "g1-b2", "g1-b3"}) fleet.cut(proxy, backend);
          }
          fleet.run_for(seconds(8));
          CPPUNIT_ASSERT_MESSAGE("nothing was relayed", placed(fleet, "records", false, begun) > 20);
        });
  }

  void a_lost_primary_is_followed_inside() {
    check([](RegisteredFleetSettings& settings) { settings.database_regions = kAllNorth; },
          [](RegisteredFleet& fleet) {
            fleet.run_for(seconds(4));
            const std::string first = fleet.primary();
            CPPUNIT_ASSERT(first != "g1-b3");
            fleet.kill(first);
            fleet.run_for(seconds(8));
            CPPUNIT_ASSERT(fleet.primary() != first);
          });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionsTest);

}  // namespace cairnhollow::simulation
