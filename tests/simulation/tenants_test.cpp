// Tenants of a registered fleet in the simulator: whom backends are told, keys that are taken away, limits
// over all proxies, each under the failures that threaten them. Judged from what callers sent and backends
// ran.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>

#include "tests/support/registered_scenario.h"

namespace cairnhollow::simulation {

using standins::registered::TenantHistory;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

registered::registry::TenantRule tenant(const std::string& name, std::uint64_t rate = 500) {
  return {TenantName(name), {ApiKey("key-of-" + name), ApiKey("other-key-of-" + name)}, rate, rate, 1, {}};
}

const std::vector<registered::registry::TenantRule> kTenants{tenant("ako"), tenant("kea"), tenant("tui")};

/// The tenants when "kea" has lost its first key.
std::vector<registered::registry::TenantRule> without_a_key() {
  auto tenants = kTenants;
  tenants[1].keys.erase(tenants[1].keys.begin());
  return tenants;
}

std::size_t runs_of(const TenantHistory& history, const std::string& name, TimePoint from) {
  return static_cast<std::size_t>(
      std::count_if(history.runs.begin(), history.runs.end(),
                    [&](const auto& run) { return run.told.value == name && run.at >= from; }));
}

std::size_t runs_of_caller(const TenantHistory& history, const std::string& name) {
  return static_cast<std::size_t>(
      std::count_if(history.runs.begin(), history.runs.end(),
                    [&](const auto& run) { return run.id.starts_with(name + "-"); }));
}

void check(const std::function<void(RegisteredFleetSettings&)>& set,
           const std::function<void(RegisteredFleet&)>& scenario) {
  tests::play_registered(
      [&](RegisteredFleetSettings& settings) {
        settings.tenants = kTenants;
        if (set) set(settings);
      },
      scenario);
}

void check(const std::function<void(RegisteredFleet&)>& scenario) { check(nullptr, scenario); }

}  // namespace

class TenantsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantsTest);
  CPPUNIT_TEST(backends_are_told_the_keys_tenant);
  CPPUNIT_TEST(an_unknown_key_runs_nothing_and_a_new_one_runs_at_once);
  CPPUNIT_TEST(a_removed_key_ends_open_sessions);
  CPPUNIT_TEST(a_removed_key_ends_on_a_proxy_out_of_controls_reach);
  CPPUNIT_TEST(a_removed_key_ends_on_a_proxy_that_was_frozen);
  CPPUNIT_TEST(keys_are_served_until_the_bound_while_all_control_is_dark);
  CPPUNIT_TEST(a_tenant_over_its_limit_is_bounded_and_the_others_are_served);
  CPPUNIT_TEST(a_limit_holds_through_lost_proxies_and_a_lost_leader);
  CPPUNIT_TEST(a_lowered_limit_comes_into_force);
  CPPUNIT_TEST_SUITE_END();

 public:
  void backends_are_told_the_keys_tenant() {
    check([](RegisteredFleet& fleet) {
      const std::uint64_t before = fleet.acknowledged();
      const TimePoint begun = fleet.world().now();
      fleet.run_for(seconds(6));
      CPPUNIT_ASSERT(fleet.acknowledged() > before + 100);
      for (const auto& each : kTenants)
        CPPUNIT_ASSERT(runs_of(fleet.tenant_history(), each.name.value, begun) > 50);
    });
  }

  void an_unknown_key_runs_nothing_and_a_new_one_runs_at_once() {
    check([](RegisteredFleet& fleet) {
      fleet.start_caller("stranger", ApiKey("a-key-of-nobody"));
      fleet.run_for(seconds(2));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, runs_of_caller(fleet.tenant_history(), "stranger"));
      auto tenants = kTenants;
      tenants[2].keys.emplace_back("a-new-key");
      fleet.set_tenants(tenants);
      CPPUNIT_ASSERT(fleet.send_document());
      fleet.start_caller("newcomer", ApiKey("a-new-key"));
      fleet.run_for(milliseconds(300));
      CPPUNIT_ASSERT(runs_of_caller(fleet.tenant_history(), "newcomer") > 2);
    });
  }

  void a_removed_key_ends_open_sessions() {
    check([](RegisteredFleet& fleet) {
      fleet.set_tenants(without_a_key());
      CPPUNIT_ASSERT(fleet.send_document());
      fleet.run_for(seconds(1));
      const TimePoint later = fleet.world().now();
      fleet.run_for(seconds(4));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, runs_of(fleet.tenant_history(), "kea", later));
      CPPUNIT_ASSERT(runs_of(fleet.tenant_history(), "tui", later) > 50);
    });
  }

  void a_removed_key_ends_on_a_proxy_out_of_controls_reach() {
    check([](RegisteredFleet& fleet) {
      fleet.cut_from_all_control("proxy-1");
      fleet.run_for(milliseconds(300));
      fleet.set_tenants(without_a_key());
      CPPUNIT_ASSERT(fleet.send_document());
      // The checker knows the bound; nothing may run after it, and the proxy's own members still serve it.
      fleet.run_for(seconds(9));
    });
  }

  void a_removed_key_ends_on_a_proxy_that_was_frozen() {
    check([](RegisteredFleet& fleet) {
      fleet.cut_from_all_control("proxy-2");
      fleet.world().freeze("proxy-2");
      fleet.set_tenants(without_a_key());
      CPPUNIT_ASSERT(fleet.send_document());
      fleet.run_for(seconds(6));
      fleet.world().thaw("proxy-2");
      fleet.run_for(seconds(4));
    });
  }

  void keys_are_served_until_the_bound_while_all_control_is_dark() {
    check([](RegisteredFleet& fleet) {
      for (int node = 1; node <= 3; ++node) fleet.kill(fmt::format("control-{}", node));
      fleet.run_for(seconds(2));
      const TimePoint dark = fleet.world().now();
      fleet.run_for(milliseconds(700));
      CPPUNIT_ASSERT_MESSAGE("served without control", runs_of(fleet.tenant_history(), "ako", dark) > 5);
      fleet.run_for(seconds(3));
      const TimePoint over = fleet.world().now();
      fleet.run_for(seconds(2));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("after the bound", std::size_t{0},
                                   runs_of(fleet.tenant_history(), "ako", over));
      for (int node = 1; node <= 3; ++node) fleet.restart(fmt::format("control-{}", node));
      fleet.run_for(seconds(3));
      const TimePoint back = fleet.world().now();
      fleet.run_for(seconds(2));
      CPPUNIT_ASSERT_MESSAGE("served again", runs_of(fleet.tenant_history(), "ako", back) > 20);
    });
  }

  void a_tenant_over_its_limit_is_bounded_and_the_others_are_served() {
    check(
        [](RegisteredFleetSettings& settings) {
          settings.tenants[0] = tenant("ako", 10);
          settings.caller_pause = milliseconds(4);
        },
        [](RegisteredFleet& fleet) {
          const TimePoint begun = fleet.world().now();
          fleet.run_for(seconds(12));
          const auto& history = fleet.tenant_history();
          const std::size_t limited = runs_of(history, "ako", begun);
          CPPUNIT_ASSERT_MESSAGE(fmt::format("{} statements", limited), limited >= 100);
          CPPUNIT_ASSERT(runs_of(history, "kea", begun) > 4 * limited);
        });
  }

  void a_limit_holds_through_lost_proxies_and_a_lost_leader() {
    check(
        [](RegisteredFleetSettings& settings) {
          settings.tenants[0] = tenant("ako", 10);
          settings.proxies = 6;
          settings.caller_pause = milliseconds(4);
        },
        [](RegisteredFleet& fleet) {
          for (int round = 1; round <= 4; ++round) {
            fleet.kill(fmt::format("proxy-{}", round));
            fleet.cut_from_all_control(fmt::format("proxy-{}", round + 2));
            fleet.run_for(milliseconds(1700));
            const std::string leader = fleet.leader();
            if (!leader.empty()) fleet.kill(leader);
            fleet.run_for(milliseconds(1500));
            fleet.heal();
            fleet.restart(fmt::format("proxy-{}", round));
            if (!leader.empty()) fleet.restart(leader);
            fleet.run_for(milliseconds(1300));
          }
        });
  }

  void a_lowered_limit_comes_into_force() {
    check([](RegisteredFleetSettings& settings) { settings.caller_pause = milliseconds(4); },
          [](RegisteredFleet& fleet) {
            auto tenants = kTenants;
            tenants[0] = tenant("ako", 6);
            fleet.set_tenants(tenants);
            CPPUNIT_ASSERT(fleet.send_document());
            fleet.run_for(seconds(14));
            const TimePoint later = fleet.world().now();
            fleet.run_for(seconds(5));
            CPPUNIT_ASSERT(runs_of(fleet.tenant_history(), "ako", later) < 120);
          });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantsTest);

}  // namespace cairnhollow::simulation
