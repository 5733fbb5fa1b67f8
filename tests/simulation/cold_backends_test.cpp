// Cold backends of a registered fleet in the simulator: whatever happens, none receives more within a second
// than its group allows. Judged from what arrived at the backends.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <vector>

#include "tests/support/registered_scenario.h"

namespace cairnhollow::simulation {

using standins::registered::Database;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double kRate = 8;
constexpr double kAllowed = kRate * 1.5 + 5;
/// A heartbeat each 0.4 s, and the way through the log.
constexpr Duration kNews = milliseconds(1000);

std::size_t most_in_a_second(const std::vector<TimePoint>& arrivals, TimePoint from, TimePoint to) {
  std::size_t most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    if (*first < from || *first > to) continue;
    const TimePoint end = std::min(to, *first + seconds(1));
    const auto within = std::count_if(first, arrivals.end(), [&](TimePoint at) { return at <= end; });
    most = std::max(most, static_cast<std::size_t>(within));
  }
  return most;
}

std::size_t arrivals_since(Database& database, TimePoint from) {
  const auto& arrivals = database.arrivals();
  return static_cast<std::size_t>(
      std::count_if(arrivals.begin(), arrivals.end(), [&](TimePoint at) { return at >= from; }));
}

void expect_bounded(RegisteredFleet& fleet, const std::string& name, TimePoint from) {
  const auto& arrivals = fleet.database(name).arrivals();
  const std::size_t most = most_in_a_second(arrivals, from, fleet.world().now());
  CPPUNIT_ASSERT_MESSAGE(fmt::format("{} arrived at {} within a second", most, name),
                         static_cast<double>(most) <= kAllowed);
}

void check(const std::function<void(RegisteredFleet&)>& scenario) {
  tests::play_registered(
      [](RegisteredFleetSettings& settings) {
        settings.cold_rate_per_s = kRate;
        settings.caller_pause = milliseconds(5);
      },
      scenario);
}

std::string a_replica(RegisteredFleet& fleet) { return fleet.primary() == "g1-b1" ? "g1-b2" : "g1-b1"; }

}  // namespace

class ColdBackendsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdBackendsTest);
  CPPUNIT_TEST(the_load_is_far_above_the_limit);
  CPPUNIT_TEST(a_cold_primary_serves_at_its_rate);
  CPPUNIT_TEST(a_cold_replica_is_no_better_than_a_warm_one);
  CPPUNIT_TEST(a_backend_that_says_so_is_warm_again);
  CPPUNIT_TEST(the_limit_holds_through_lost_proxies_and_a_lost_leader);
  CPPUNIT_TEST(the_limit_holds_on_proxies_out_of_controls_reach);
  CPPUNIT_TEST(all_cold_replicas_leave_the_reads_to_the_primary);
  CPPUNIT_TEST_SUITE_END();

 public:
  void the_load_is_far_above_the_limit() {
    check([](RegisteredFleet& fleet) {
      const TimePoint begun = fleet.world().now();
      fleet.run_for(seconds(4));
      Database& primary = fleet.database(fleet.primary());
      const std::size_t most = most_in_a_second(primary.arrivals(), begun, fleet.world().now());
      CPPUNIT_ASSERT_MESSAGE(fmt::format("{} arrived within a second", most),
                             static_cast<double>(most) > 2 * kAllowed);
    });
  }

  void a_cold_primary_serves_at_its_rate() {
    check([](RegisteredFleet& fleet) {
      const std::string name = fleet.primary();
      fleet.run_for(seconds(4));
      fleet.database(name).turn_cold(seconds(30));
      fleet.run_for(kNews);
      const TimePoint begun = fleet.world().now();
      fleet.run_for(seconds(8));
      expect_bounded(fleet, name, begun);
      const std::size_t served = arrivals_since(fleet.database(name), begun);
      CPPUNIT_ASSERT_MESSAGE(fmt::format("{} arrived in 8 s", served), served > 8 * kRate * 0.6);
    });
  }

  void a_cold_replica_is_no_better_than_a_warm_one() {
    check([](RegisteredFleet& fleet) {
      const std::string name = a_replica(fleet);
      fleet.database(name).turn_cold(seconds(30));
      fleet.run_for(kNews);
      const TimePoint begun = fleet.world().now();
      const std::uint64_t reads = fleet.reads();
      fleet.run_for(seconds(6));
      expect_bounded(fleet, name, begun);
      CPPUNIT_ASSERT_MESSAGE("reads go on", fleet.reads() > reads + 200);
      CPPUNIT_ASSERT_MESSAGE("elsewhere", arrivals_since(fleet.database(name), begun) < 6 * kRate);
    });
  }

  void a_backend_that_says_so_is_warm_again() {
    check([](RegisteredFleet& fleet) {
      const std::string name = fleet.primary();
      fleet.database(name).turn_cold(seconds(4));
      fleet.run_for(seconds(6));
      const TimePoint warm = fleet.world().now();
      fleet.run_for(seconds(3));
      const std::size_t most = most_in_a_second(fleet.database(name).arrivals(), warm, fleet.world().now());
      CPPUNIT_ASSERT_MESSAGE(fmt::format("{} arrived within a second", most),
                             static_cast<double>(most) > kAllowed);
    });
  }

  void the_limit_holds_through_lost_proxies_and_a_lost_leader() {
    check([](RegisteredFleet& fleet) {
      const std::string name = fleet.primary();
      fleet.run_for(seconds(4));
      fleet.database(name).turn_cold(seconds(60));
      fleet.run_for(kNews);
      const TimePoint begun = fleet.world().now();
      fleet.run_for(seconds(1));
      fleet.kill("proxy-1");
      fleet.run_for(milliseconds(700));
      fleet.restart("proxy-1");
      fleet.run_for(seconds(2));
      const std::string leader = fleet.leader();
      fleet.kill(leader);
      fleet.run_for(seconds(3));
      fleet.restart(leader);
      fleet.run_for(seconds(4));
      expect_bounded(fleet, name, begun);
    });
  }

  void the_limit_holds_on_proxies_out_of_controls_reach() {
    check([](RegisteredFleet& fleet) {
      const std::string name = fleet.primary();
      fleet.run_for(seconds(4));
      fleet.database(name).turn_cold(seconds(60));
      fleet.run_for(kNews);
      const TimePoint begun = fleet.world().now();
      fleet.cut_from_all_control("proxy-1");
      fleet.cut_from_all_control("proxy-2");
      fleet.run_for(seconds(8));
      expect_bounded(fleet, name, begun);
      fleet.heal();
      fleet.run_for(seconds(4));
      expect_bounded(fleet, name, begun);
    });
  }

  void all_cold_replicas_leave_the_reads_to_the_primary() {
    check([](RegisteredFleet& fleet) {
      fleet.run_for(seconds(4));
      std::vector<std::string> cold;
      for (const char* name : {"g1-b1", "g1-b2", "g1-b3"}) {
        if (fleet.primary() == name) continue;
        cold.emplace_back(name);
        fleet.database(name).turn_cold(seconds(30));
      }
      fleet.run_for(kNews);
      const TimePoint begun = fleet.world().now();
      const std::uint64_t reads = fleet.reads();
      fleet.run_for(seconds(5));
      for (const std::string& name : cold) expect_bounded(fleet, name, begun);
      CPPUNIT_ASSERT(fleet.reads() > reads + 200);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdBackendsTest);

}  // namespace cairnhollow::simulation
