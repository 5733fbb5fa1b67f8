// Calls other than promotions that take effect when they arrive, and decisions of a former leader that arrive
// at its successor: RESUME and PAUSE at a backend, and the removal of proxies.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/registered_scenario.h"

namespace cairnhollow::simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<std::string> kControlNodes{"control-1", "control-2", "control-3"};
const std::vector<std::string> kBackends{"g1-b1", "g1-b2", "g1-b3"};
/// A backend drops a connection whose far end is dark for this long, so that nothing is held up for longer.
constexpr Duration kDarkConnectionLife = seconds(3);
/// Every proxy that serves without control knows the members by then, so that no leader waits for that.
constexpr Duration kMembersKnown = seconds(12);
/// From a promotion order until a held up RESUME arrives; the backend leads 300 ms after the order.
constexpr Duration kIntoPromotion = milliseconds(5);
constexpr Duration kUntilLeading = milliseconds(400);
constexpr int kNewCallers = 12;

void check(const std::function<void(RegisteredFleet&)>& scenario) {
  tests::play_registered(nullptr, scenario);
}

std::uint64_t pause_term(RegisteredFleet& fleet, const std::string& backend) {
  return fleet.group().member(BackendName(backend)).pause_term;
}

/// proxy-1 is without control and reaches everything else; control and the other proxies don't reach the
/// primary.
void divide(RegisteredFleet& fleet, const std::string& primary) {
  fleet.cut_from_all_control("proxy-1");
  fleet.cut_from_all_control(primary);
  for (const char* proxy : {"proxy-2", "proxy-3"}) fleet.cut(primary, proxy);
}

void isolate(RegisteredFleet& fleet, const std::string& node) {
  fleet.cut_from_platform(node);
  for (const std::string& other : kControlNodes) {
    if (other != node) fleet.cut(node, other);
  }
  for (const std::string& backend : kBackends) fleet.cut(node, backend);
}

/// When the first RESUME is sent, isolates its sender, so that this one and those that follow are held up.
std::shared_ptr<std::string> hold_up_resumes(RegisteredFleet& fleet) {
  auto sender = std::make_shared<std::string>();
  fleet.world().network().record_frames(
      [sender, &fleet](const std::string& from, const std::string& /*to*/, const std::string& frame) {
        if (!sender->empty() || !from.starts_with("control") || frame.find("RESUME") == std::string::npos)
          return;
        *sender = from;
        isolate(fleet, from);
      });
  return sender;
}

/// Commits are acknowledged soon, and go on being acknowledged.
void expect_service(RegisteredFleet& fleet) {
  const std::uint64_t before = fleet.acknowledged();
  fleet.run_for(seconds(6));
  CPPUNIT_ASSERT_MESSAGE("the group is served", fleet.acknowledged() > before + 20);
}

}  // namespace

class LateGroupCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateGroupCallsTest);
  CPPUNIT_TEST(a_resume_of_an_earlier_leader_ends_no_later_pause);
  CPPUNIT_TEST(a_member_whose_resume_was_lost_receives_again);
  CPPUNIT_TEST(a_leader_that_was_frozen_removes_no_proxy);
  CPPUNIT_TEST(a_relayed_order_is_not_taken_after_a_later_one);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a RESUME that a cut holds up: its successor's candidate receives again, a proxy without
  /// control uses the old primary, and what it reads there lacks commits of the next one.
  void a_resume_of_an_earlier_leader_ends_no_later_pause() {
    check([](RegisteredFleet& fleet) {
      fleet.run_for(kMembersKnown);
      const std::string primary = fleet.primary();
      const auto sender = hold_up_resumes(fleet);
      divide(fleet, primary);
      // The members lose their pauses, as in a restart, until the leader gives up and lets them receive.
      const auto given_up = [&] {
        for (const std::string& backend : kBackends) fleet.group().resume(BackendName(backend));
        return !sender->empty();
      };
      CPPUNIT_ASSERT_MESSAGE("resumed", fleet.world().run_until(given_up, seconds(6), milliseconds(1)));
      const TimePoint held_up_at = fleet.world().now();
      const auto ordered = std::make_shared<bool>(false);
      fleet.world().network().observe_requests([ordered](const std::string& /*from*/,
                                                         const std::string& /*to*/,
                                                         const runtime::HttpRequest& request) {
        if (request.target == "/promotion") *ordered = true;
      });
      fleet.world().run_until([&] { return *ordered; }, kDarkConnectionLife - kIntoPromotion,
                              milliseconds(1));
      fleet.run_for(kIntoPromotion);
      const Duration held_up_for = fleet.world().now() - held_up_at;
      CPPUNIT_ASSERT_MESSAGE(fmt::format("held up for {} ms", in_ms(held_up_for)), *ordered);
      fleet.heal();
      divide(fleet, primary);
      fleet.run_for(kUntilLeading);
      // Callers that come now find a proxy that says it may use the old primary.
      for (int number = 0; number < kNewCallers; ++number)
        fleet.start_caller(fmt::format("new-caller-{}", number), ApiKey());
      fleet.run_for(seconds(5));
      fleet.heal();
      expect_service(fleet);
    });
  }

  /// Guards against a replica that stays deaf because the one call that lets it receive again did not reach
  /// it: with the other replica gone, commits would hang.
  void a_member_whose_resume_was_lost_receives_again() {
    check([](RegisteredFleet& fleet) {
      fleet.run_for(seconds(2));
      // As a leader that was lost right before it let them receive again leaves them.
      const std::string replica = fleet.primary() == "g1-b3" ? "g1-b2" : "g1-b3";
      fleet.group().pause(BackendName(replica), 2);
      const std::string leader = fleet.leader();
      fleet.kill(leader);
      fleet.cut_from_all_control(replica);
      fleet.run_for(seconds(5));
      fleet.heal();
      fleet.restart(leader);
      fleet.run_for(seconds(5));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, pause_term(fleet, replica));
      for (const std::string& backend : kBackends) {
        if (backend != replica && backend != fleet.primary()) {
          fleet.kill(backend);
          break;
        }
      }
      expect_service(fleet);
    });
  }

  /// Guards against a former leader whose clock went on while it was frozen: it takes the proxies for lost,
  /// and its successor, to which it passes that on, no longer waits for them when it closes a group.
  void a_leader_that_was_frozen_removes_no_proxy() {
    check([](RegisteredFleet& fleet) {
      fleet.run_for(seconds(2));
      const std::string leader = fleet.leader();
      fleet.world().freeze(leader);
      fleet.run_for(seconds(16));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.working_proxies());
      fleet.world().thaw(leader);
      for (int step = 0; step < 1000; ++step) {
        fleet.run_for(milliseconds(1));
        if (fleet.leader() == leader) continue;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} ms after the thaw", step), std::size_t{3},
                                     fleet.working_proxies());
      }
      CPPUNIT_ASSERT_MESSAGE("another one leads", fleet.leader() != leader);
    });
  }

  /// Guards against an order that its relaying node gave up, and that reaches the leader after a later order
  /// was acknowledged.
  void a_relayed_order_is_not_taken_after_a_later_one() {
    check([](RegisteredFleet& fleet) {
      fleet.run_for(seconds(2));
      const std::string leader = fleet.leader();
      const std::string relay = leader == "control-1" ? "control-2" : "control-1";
      const std::string zone = RegisteredFleet::zone_of("g1-b3").value;
      fleet.cut(relay, leader);
      CPPUNIT_ASSERT_MESSAGE("no clear answer", fleet.ask_evacuation(relay, zone, true) != 200);
      CPPUNIT_ASSERT_EQUAL(200U, fleet.ask_evacuation(leader, zone, false));
      fleet.heal();
      fleet.run_for(seconds(3));
      CPPUNIT_ASSERT(!fleet.is_evacuated(zone));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateGroupCallsTest);

}  // namespace cairnhollow::simulation
