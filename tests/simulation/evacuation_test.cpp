// Evacuations of zones under failures, in the simulator. Each run is judged at its end: also whether a
// statement of a caller came to a backend of a zone later than operators were promised.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "tests/support/registered_scenario.h"

namespace cairnhollow::simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kFirstZone = "kelburn";
constexpr const char* kSecondZone = "petone";
constexpr const char* kThirdZone = "porirua";
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr Duration kBound = seconds(5);

void check(const std::function<void(RegisteredFleetSettings&)>& set,
           const std::function<void(RegisteredFleet&)>& scenario) {
  tests::play_registered(set, scenario);
}

void check(const std::function<void(RegisteredFleet&)>& scenario) { check(nullptr, scenario); }

void expect_order(RegisteredFleet& fleet, const std::string& zone, bool begins, Duration limit) {
  const auto took = fleet.order_evacuation(zone, begins);
  CPPUNIT_ASSERT_MESSAGE("not acknowledged", took.has_value());
  CPPUNIT_ASSERT_MESSAGE(fmt::format("acknowledged after {} ms", in_ms(*took)), *took < limit);
}

void expect_gap_below(RegisteredFleet& fleet, TimePoint from, Duration limit) {
  const Duration gap = fleet.longest_write_gap(from, fleet.world().now());
  CPPUNIT_ASSERT_MESSAGE(fmt::format("gap of {} ms", in_ms(gap)), gap < limit);
}

/// One session of a caller that rests inside its transaction.
class RestingCaller {
 public:
  RestingCaller(RegisteredFleet& fleet, const std::string& proxy)
      : fleet_(fleet),
        runtime_(fleet.world().start_bare({"resting", "10.6.0.1", ZoneName(kThirdZone)})),
        proxy_(fleet.sessions_at(proxy)) {}

  void begin() {
    runtime_.spawn("resting", open());
    fleet_.world().run_until([this] { return answers_ >= 3; }, seconds(2));
    CPPUNIT_ASSERT_MESSAGE(last_, last_.starts_with("READY"));
    CPPUNIT_ASSERT_MESSAGE("its write was taken", !refused_);
  }
  /// Whether the commit is refused with the promise that nothing is kept.
  bool is_aborted_on_commit() {
    refused_ = false;
    runtime_.spawn("resting", say("QUERY rest.4 COMMIT\r\n"));
    fleet_.world().run_until([this] { return answers_ >= 4; }, seconds(2));
    return refused_ && refusal_.starts_with("ERR ABORTED");
  }

  [[nodiscard]] const std::string& refusal() const { return refusal_; }

 private:
  Awaitable<void> open() {
    Reason reason;
    lines_ = co_await runtime_.lines().connect(proxy_, runtime_.now() + seconds(1), reason);
    if (!lines_) co_return;
    co_await say("START records resting\r\n");
    co_await say("QUERY rest.1 BEGIN\r\n");
    co_await say("QUERY rest.2 WRITE r9 rest\r\n");
  }

  Awaitable<void> say(std::string text) {
    Reason reason;
    co_await lines_->write(std::move(text), reason);
    while (true) {
      const auto line = co_await lines_->read_line(runtime_.now() + seconds(2), reason);
      if (!line) co_return;
      last_ = *line;
      if (line->starts_with("ERR")) refused_ = true;
      if (line->starts_with("ERR")) refusal_ = *line;
      if (line->starts_with("READY")) break;
    }
    ++answers_;
  }

  RegisteredFleet& fleet_;
  VirtualRuntime& runtime_;
  Endpoint proxy_;
  std::shared_ptr<runtime::LineConnection> lines_;
  std::string last_;
  std::string refusal_;
  bool refused_ = false;
  int answers_ = 0;
};

}  // namespace

class EvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(a_zone_is_left_in_time_and_its_primary_is_followed_while_it_runs);
  CPPUNIT_TEST(a_zone_that_is_given_back_serves_again);
  CPPUNIT_TEST(the_same_order_again_is_acknowledged_again);
  CPPUNIT_TEST(a_control_node_that_is_cut_off_acknowledges_nothing);
  CPPUNIT_TEST(unknown_and_malformed_zones_are_refused);
  CPPUNIT_TEST(an_open_transaction_gets_its_time_and_is_aborted);
  CPPUNIT_TEST(a_leader_killed_halfway_is_followed);
  CPPUNIT_TEST(an_order_past_a_killed_leader_is_acknowledged_soon);
  CPPUNIT_TEST(an_order_survives_the_loss_of_all_power);
  CPPUNIT_TEST(the_last_zone_is_left_too_and_the_first_given_back_takes_over);
  CPPUNIT_TEST(a_proxy_without_the_news_sends_nothing_too_late);
  CPPUNIT_TEST(a_primary_that_dies_is_followed_outside_the_zone);
  CPPUNIT_TEST(a_member_outside_that_catches_up_later_takes_over);
  CPPUNIT_TEST(groups_are_moved_a_few_at_a_time);
  CPPUNIT_TEST(the_other_zone_in_turn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_zone_is_left_in_time_and_its_primary_is_followed_while_it_runs() {
    check([](RegisteredFleet& fleet) {
      const TimePoint begun = fleet.world().now();
      CPPUNIT_ASSERT(fleet.is_led_from(1, kFirstZone));
      expect_order(fleet, kFirstZone, true, milliseconds(200));
      fleet.run_for(seconds(2));
      CPPUNIT_ASSERT(!fleet.is_led_from(1, kFirstZone));
      fleet.run_for(kBound - seconds(2));
      const std::uint64_t run = fleet.database("g1-b1").statements_run();
      const std::uint64_t reads = fleet.reads();
      fleet.run_for(seconds(4));
      CPPUNIT_ASSERT_EQUAL(run, fleet.database("g1-b1").statements_run());
      CPPUNIT_ASSERT(fleet.reads() > reads + 100);
      expect_gap_below(fleet, begun, milliseconds(900));
    });
  }

  void a_zone_that_is_given_back_serves_again() {
    check([](RegisteredFleet& fleet) {
      expect_order(fleet, kFirstZone, true, milliseconds(200));
      fleet.run_for(seconds(6));
      const std::string leads = fleet.primary();
      const std::uint64_t run = fleet.database("g1-b1").statements_run();
      expect_order(fleet, kFirstZone, false, milliseconds(200));
      CPPUNIT_ASSERT(!fleet.is_evacuated(kFirstZone));
      fleet.run_for(seconds(4));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("primaries are not moved back", leads, fleet.primary());
      CPPUNIT_ASSERT(fleet.database("g1-b1").statements_run() > run + 20);
    });
  }

  void the_same_order_again_is_acknowledged_again() {
    check([](RegisteredFleet& fleet) {
      for (const char* control : {"control-1", "control-2", "control-3", "control-2"})
        CPPUNIT_ASSERT_EQUAL(kOk, fleet.ask_evacuation(control, kSecondZone, true));
      CPPUNIT_ASSERT(fleet.is_evacuated(kSecondZone));
      for (const char* control : {"control-3", "control-1", "control-2"})
        CPPUNIT_ASSERT_EQUAL(kOk, fleet.ask_evacuation(control, kSecondZone, false));
      CPPUNIT_ASSERT(!fleet.is_evacuated(kSecondZone));
    });
  }

  void a_control_node_that_is_cut_off_acknowledges_nothing() {
    check([](RegisteredFleet& fleet) {
      expect_order(fleet, kSecondZone, true, milliseconds(200));
      const std::string former = fleet.leader();
      for (const char* other : {"control-1", "control-2", "control-3"}) {
        if (other != former) fleet.cut(former, other);
      }
      fleet.run_for(seconds(2));
      expect_order(fleet, kSecondZone, false, seconds(5));
      CPPUNIT_ASSERT_MESSAGE("it holds there, and only there",
                             fleet.ask_evacuation(former, kSecondZone, true) != kOk);
      fleet.heal();
      fleet.run_for(seconds(2));
    });
  }

  void unknown_and_malformed_zones_are_refused() {
    check([](RegisteredFleet& fleet) {
      for (const bool begins : {true, false}) {
        CPPUNIT_ASSERT_EQUAL(kNotFound, fleet.ask_evacuation("control-2", "kelbrun", begins));
        CPPUNIT_ASSERT_EQUAL(kBadRequest, fleet.ask_evacuation("control-2", "kel/burn", begins));
      }
      expect_order(fleet, kThirdZone, true, milliseconds(200));
      // What holds is not refused, whoever is left there.
      fleet.database("g1-b3").deregister();
      fleet.kill("g1-b3");
      fleet.vanish("proxy-3");
      fleet.run_for(seconds(16));
      CPPUNIT_ASSERT_EQUAL(kOk, fleet.ask_evacuation("control-1", kThirdZone, true));
      CPPUNIT_ASSERT_EQUAL(kOk, fleet.ask_evacuation("control-1", kThirdZone, false));
      CPPUNIT_ASSERT_EQUAL(kOk, fleet.ask_evacuation("control-3", kThirdZone, false));
    });
  }

  void an_open_transaction_gets_its_time_and_is_aborted() {
    // Nobody outside follows, so that only the time ends it; through the proxy itself, and through others.
    for (const char* proxy : {"proxy-1", "proxy-2"}) {
      check([proxy](RegisteredFleet& fleet) {
        RestingCaller caller(fleet, proxy);
        caller.begin();
        for (const char* zone : {kFirstZone, kSecondZone, kThirdZone})
          expect_order(fleet, zone, true, milliseconds(200));
        fleet.run_for(kBound / 2 + milliseconds(300));
        CPPUNIT_ASSERT(caller.is_aborted_on_commit());
        // It was given up while it rested, not by its next statement.
        CPPUNIT_ASSERT_MESSAGE(caller.refusal(), caller.refusal().find("had failed") != std::string::npos);
      });
    }
  }

  void a_leader_killed_halfway_is_followed() {
    check([](RegisteredFleet& fleet) {
      expect_order(fleet, kFirstZone, true, milliseconds(200));
      const std::string leader = fleet.leader();
      fleet.run_for(milliseconds(30));
      fleet.kill(leader);
      fleet.run_for(seconds(4));
      CPPUNIT_ASSERT(!fleet.is_led_from(1, kFirstZone));
      CPPUNIT_ASSERT(fleet.is_evacuated(kFirstZone));
      const std::uint64_t acknowledged = fleet.acknowledged();
      fleet.run_for(seconds(2));
      CPPUNIT_ASSERT(fleet.acknowledged() > acknowledged + 10);
      fleet.restart(leader);
      fleet.run_for(seconds(2));
    });
  }

  void an_order_past_a_killed_leader_is_acknowledged_soon() {
    check([](RegisteredFleet& fleet) {
      const std::string leader = fleet.leader();
      fleet.kill(leader);
      expect_order(fleet, kFirstZone, true, seconds(1));
      fleet.restart(leader);
      fleet.run_for(seconds(6));
      CPPUNIT_ASSERT(!fleet.is_led_from(1, kFirstZone));
    });
  }

  void an_order_survives_the_loss_of_all_power() {
    check([](RegisteredFleet& fleet) {
      expect_order(fleet, kSecondZone, true, milliseconds(200));
      const std::vector<std::string> nodes{"control-1", "control-2", "control-3",
                                           "proxy-1",   "proxy-2",   "proxy-3"};
      for (const std::string& node : nodes) fleet.kill(node);
      fleet.run_for(milliseconds(200));
      for (const std::string& node : nodes) fleet.restart(node);
      fleet.run_for(seconds(6));
      CPPUNIT_ASSERT(fleet.is_evacuated(kSecondZone));
      const std::uint64_t run = fleet.database("g1-b2").statements_run();
      fleet.run_for(seconds(3));
      CPPUNIT_ASSERT_EQUAL(run, fleet.database("g1-b2").statements_run());
    });
  }

  void the_last_zone_is_left_too_and_the_first_given_back_takes_over() {
    check([](RegisteredFleet& fleet) {
      for (const char* zone : {kFirstZone, kSecondZone, kThirdZone})
        expect_order(fleet, zone, true, milliseconds(200));
      fleet.run_for(kBound);
      const std::uint64_t acknowledged = fleet.acknowledged();
      const std::uint64_t reads = fleet.reads();
      const std::uint64_t refused = fleet.refused();
      fleet.run_for(seconds(3));
      CPPUNIT_ASSERT_EQUAL(acknowledged, fleet.acknowledged());
      CPPUNIT_ASSERT_EQUAL(reads, fleet.reads());
      CPPUNIT_ASSERT_MESSAGE("refused at once", fleet.refused() > refused + 100);
      expect_order(fleet, kThirdZone, false, milliseconds(200));
      fleet.run_for(seconds(4));
      CPPUNIT_ASSERT(fleet.is_led_from(1, kThirdZone));
      CPPUNIT_ASSERT(fleet.acknowledged() > acknowledged + 20);
    });
  }

  void a_proxy_without_the_news_sends_nothing_too_late() {
    check([](RegisteredFleet& fleet) {
      fleet.cut_from_all_control("proxy-2");
      fleet.run_for(milliseconds(50));
      expect_order(fleet, kFirstZone, true, milliseconds(200));
      fleet.run_for(seconds(9));
      fleet.heal();
      fleet.run_for(seconds(2));
    });
  }

  void a_primary_that_dies_is_followed_outside_the_zone() {
    check([](RegisteredFleet& fleet) {
      expect_order(fleet, kSecondZone, true, milliseconds(200));
      fleet.run_for(seconds(4));
      fleet.kill("g1-b1");
      fleet.run_for(seconds(6));
      CPPUNIT_ASSERT(fleet.is_led_from(1, kThirdZone));
      fleet.restart("g1-b1");
      fleet.run_for(seconds(2));
    });
  }

  void a_member_outside_that_catches_up_later_takes_over() {
    check([](RegisteredFleet& fleet) {
      // The one outside hears nothing: the one inside alone holds what is committed.
      fleet.group().member(BackendName("g1-b3")).deaf = true;
      fleet.run_for(seconds(1));
      expect_order(fleet, kSecondZone, true, milliseconds(200));
      fleet.run_for(seconds(1));
      fleet.kill("g1-b1");
      fleet.run_for(seconds(6));
      CPPUNIT_ASSERT_MESSAGE("no commit is lost", fleet.is_led_from(1, kSecondZone));
      const std::uint64_t acknowledged = fleet.acknowledged();
      fleet.group().member(BackendName("g1-b3")).deaf = false;
      fleet.run_for(seconds(5));
      CPPUNIT_ASSERT_MESSAGE("it serves nobody", fleet.is_led_from(1, kThirdZone));
      CPPUNIT_ASSERT(fleet.acknowledged() > acknowledged);
      fleet.restart("g1-b1");
      fleet.run_for(seconds(3));
    });
  }

  void groups_are_moved_a_few_at_a_time() {
    check([](RegisteredFleetSettings& settings) { settings.groups = 8; },
          [](RegisteredFleet& fleet) {
            fleet.run_for(seconds(1));
            expect_order(fleet, kFirstZone, true, milliseconds(200));
            std::size_t most_closed = 0;
            for (int step = 0; step < 800; ++step) {
              fleet.run_for(milliseconds(5));
              std::size_t closed = 0;
              for (std::size_t group = 1; group <= 8; ++group)
                closed += fleet.is_open(GroupName(fmt::format("group-{}", group))) ? 0 : 1;
              most_closed = std::max(most_closed, closed);
            }
            for (std::size_t group = 1; group <= 8; ++group)
              CPPUNIT_ASSERT_MESSAGE(fmt::format("group-{}", group), !fleet.is_led_from(group, kFirstZone));
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} at once", most_closed), most_closed <= 3);
            CPPUNIT_ASSERT_MESSAGE("several at once", most_closed >= 2);
          });
  }

  void the_other_zone_in_turn() {
    check([](RegisteredFleet& fleet) {
      expect_order(fleet, kFirstZone, true, milliseconds(200));
      fleet.run_for(seconds(6));
      expect_order(fleet, kFirstZone, false, milliseconds(200));
      expect_order(fleet, kSecondZone, true, milliseconds(200));
      fleet.run_for(seconds(6));
      CPPUNIT_ASSERT(!fleet.is_led_from(1, kSecondZone));
      expect_order(fleet, kSecondZone, false, milliseconds(200));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

}  // namespace cairnhollow::simulation
