// Promotion orders that take effect late: they were held up on their way, sent late, or processed late by the
// platform, which doesn't look at fencing tokens. What callers saw and what arrived at the platform is judged
// at the end of each run.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <boost/json/parse.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/support/registered_scenario.h"

namespace cairnhollow::simulation {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<std::string> kControlNodes{"control-1", "control-2", "control-3"};
const std::vector<std::string> kBackends{"g1-b1", "g1-b2", "g1-b3"};
const GroupName kGroup("group-1");
constexpr Duration kCalm = seconds(4);
/// In which a successor leads, and promotes if it may.
constexpr Duration kSuccession = seconds(7);
/// In which callers commit at whoever leads now. A cut is over within the time for which the network holds
/// up.
constexpr Duration kCommits = seconds(2);
/// Once nothing is in the way any more, the group opens within this time.
constexpr Duration kRecovery = seconds(5);
/// Within this time a caller is served or knows that it isn't.
constexpr Duration kAnswer = milliseconds(150);
/// How long the slow platform holds an order: longer than it takes to choose, promote and use another
/// backend.
constexpr Duration kShortestHold = seconds(10);
constexpr Duration kLongestHold = seconds(11);
/// Less than the network needs for one message: what the sender waits for before it sends is under way.
constexpr Duration kJustBefore = microseconds(50);

/// An order as a control node sent it.
struct SentOrder {
  std::string holder;
  std::string backend;
  TimePoint at{};
};
using OrderWatch = std::shared_ptr<std::optional<SentOrder>>;

/// Sees the first order that is sent from now on, and calls `at_once` while it is being sent.
OrderWatch watch_orders(RegisteredFleet& fleet, std::function<void(const SentOrder&)> at_once = nullptr) {
  auto first = std::make_shared<std::optional<SentOrder>>();
  World& world = fleet.world();
  world.network().observe_requests(
      [first, at_once = std::move(at_once), &world](
          const std::string& sender, const std::string& /*receiver*/, const runtime::HttpRequest& request) {
        if (request.target != "/promotion" || first->has_value()) return;
        const boost::json::value body = boost::json::parse(request.body);
        *first = SentOrder{sender, std::string(body.at("Id").as_string()), world.now()};
        if (at_once) at_once(**first);
      });
  return first;
}

/// Cuts a control node off from the platform and from the other control nodes.
void isolate(RegisteredFleet& fleet, const std::string& node) {
  fleet.cut_from_platform(node);
  for (const std::string& other : kControlNodes) {
    if (other != node) fleet.cut(node, other);
  }
}

/// The primary crashes, and the leading control node orders its replacement.
SentOrder order_after_crash(RegisteredFleet& fleet, const OrderWatch& watch) {
  fleet.kill(fleet.primary());
  const bool sent = fleet.world().run_until([&] { return watch->has_value(); }, seconds(5), milliseconds(1));
  CPPUNIT_ASSERT_MESSAGE("a promotion is ordered", sent);
  return **watch;
}

void await_arrival(RegisteredFleet& fleet) {
  const auto arrived = [&] { return !fleet.promotion_history().arrivals.empty(); };
  fleet.world().run_until(arrived, seconds(1), milliseconds(1));
}

/// The same, and the order is held up: a cut isolates its sender while it is being sent.
SentOrder order_into_a_cut(RegisteredFleet& fleet) {
  fleet.run_for(kCalm);
  const OrderWatch watch =
      watch_orders(fleet, [&fleet](const SentOrder& order) { isolate(fleet, order.holder); });
  return order_after_crash(fleet, watch);
}

/// A backend goes, and when it is started again it is behind: nothing reaches it from the other members.
void lose(RegisteredFleet& fleet, const std::string& backend) {
  fleet.group().member(BackendName(backend)).deaf = true;
  fleet.kill(backend);
}

/// Whoever may be promoted while the ordered backend is gone is promoted, and callers commit there.
void serve_without(RegisteredFleet& fleet, const std::string& ordered) {
  const auto another_leads = [&] {
    const std::string primary = fleet.primary();
    return !primary.empty() && primary != ordered && fleet.is_open(kGroup);
  };
  fleet.world().run_until(another_leads, kSuccession);
  for (const std::string& backend : kBackends) {
    if (backend != ordered && !fleet.world().alive(backend)) fleet.restart(backend);
  }
  fleet.run_for(kCommits);
}

/// Commits are acknowledged soon, and go on being acknowledged.
void expect_service(RegisteredFleet& fleet) {
  const std::uint64_t before = fleet.acknowledged();
  const bool served = fleet.world().run_until([&] { return fleet.acknowledged() > before + 5; }, kRecovery);
  CPPUNIT_ASSERT_MESSAGE("the group is served again", served);
  fleet.run_for(seconds(2));
  CPPUNIT_ASSERT(fleet.acknowledged() > before + 20);
}

/// The ordered backend is back, without what was committed since; then the cuts end.
void return_and_heal(RegisteredFleet& fleet, const std::string& ordered) {
  if (!fleet.world().alive(ordered)) fleet.restart(ordered);
  fleet.run_for(seconds(1));
  fleet.heal();
  fleet.run_for(seconds(2));
  fleet.group().member(BackendName(ordered)).deaf = false;
  expect_service(fleet);
}

void check(const std::function<void(RegisteredFleet&)>& scenario) {
  tests::play_registered(nullptr, scenario);
}

/// The order that is sent when the primary of such a fleet crashes; the same in each run of the same seed.
SentOrder rehearse(const RegisteredFleetSettings& settings) {
  RegisteredFleet fleet(settings);
  CPPUNIT_ASSERT(fleet.start());
  fleet.run_for(kCalm);
  return order_after_crash(fleet, watch_orders(fleet));
}

/// Freezes the leading control node `before` it would send its order.
void check_frozen_sender(Duration before) {
  SentOrder expected;
  const auto set = [&expected](const RegisteredFleetSettings& settings) { expected = rehearse(settings); };
  tests::play_registered(set, [&expected, before](RegisteredFleet& fleet) {
    fleet.run_for(kCalm);
    const OrderWatch watch = watch_orders(fleet);
    fleet.kill(fleet.primary());
    fleet.run_for(expected.at - before - fleet.world().now());
    CPPUNIT_ASSERT_MESSAGE("not sent yet", !watch->has_value());
    fleet.world().freeze(expected.holder);
    lose(fleet, expected.backend);
    serve_without(fleet, expected.backend);
    fleet.restart(expected.backend);
    fleet.run_for(seconds(1));
    fleet.world().thaw(expected.holder);
    return_and_heal(fleet, expected.backend);
  });
}

/// Each attempt that began in this time was over soon.
void expect_answers_at_once(const RegisteredFleet& fleet, TimePoint from, TimePoint to) {
  std::size_t attempts = 0;
  for (const auto& attempt : fleet.history()) {
    if (attempt.begun < from || attempt.begun >= to) continue;
    ++attempts;
    const Duration took = attempt.ended - attempt.begun;
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} waited {} ms", attempt.session, in_ms(took)), took < kAnswer);
  }
  CPPUNIT_ASSERT_MESSAGE("callers come", attempts > 20);
}

}  // namespace

class LatePromotionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LatePromotionTest);
  CPPUNIT_TEST(an_order_held_up_by_a_cut_displaces_no_later_primary);
  CPPUNIT_TEST(a_sender_frozen_before_it_sends_displaces_no_later_primary);
  CPPUNIT_TEST(a_sender_frozen_while_it_connects_displaces_no_later_primary);
  CPPUNIT_TEST(an_order_that_a_slow_platform_holds_displaces_no_later_primary);
  CPPUNIT_TEST(an_order_of_a_killed_sender_displaces_no_later_primary);
  CPPUNIT_TEST(an_order_of_a_sender_without_power_displaces_no_later_primary);
  CPPUNIT_TEST(a_group_opens_soon_after_the_holder_of_its_order_restarts);
  CPPUNIT_TEST(a_group_opens_with_another_backend_soon_after_the_holder_is_back);
  CPPUNIT_TEST(a_group_opens_with_another_backend_after_the_holder_was_stopped);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a successor that chooses another backend while an order of its predecessor is on its way.
  void an_order_held_up_by_a_cut_displaces_no_later_primary() {
    check([](RegisteredFleet& fleet) {
      const SentOrder order = order_into_a_cut(fleet);
      lose(fleet, order.backend);
      serve_without(fleet, order.backend);
      return_and_heal(fleet, order.backend);
    });
  }

  /// Guards against an order that is sent on the authority of a read barrier from before a suspension.
  void a_sender_frozen_before_it_sends_displaces_no_later_primary() { check_frozen_sender(kJustBefore); }

  /// Guards against an order whose sender was suspended between its last check and its connection.
  void a_sender_frozen_while_it_connects_displaces_no_later_primary() {
    check_frozen_sender(milliseconds(1));
  }

  /// Guards against a leader that takes its own unanswered order for dead and chooses another backend.
  void an_order_that_a_slow_platform_holds_displaces_no_later_primary() {
    check([](RegisteredFleet& fleet) {
      fleet.run_for(kCalm);
      fleet.promotion_call().hold_orders(kShortestHold, kLongestHold);
      const SentOrder order = order_after_crash(fleet, watch_orders(fleet));
      await_arrival(fleet);
      fleet.promotion_call().hold_orders(Duration(0), Duration(0));
      lose(fleet, order.backend);
      serve_without(fleet, order.backend);
      fleet.restart(order.backend);
      const auto answered = [&] { return fleet.promotion_history().arrivals.front().status != 0; };
      CPPUNIT_ASSERT(fleet.world().run_until(answered, kLongestHold));
      return_and_heal(fleet, order.backend);
    });
  }

  /// Guards against an order that outlives the process that sent it: an ordinary end delivers what is held
  /// up.
  void an_order_of_a_killed_sender_displaces_no_later_primary() {
    check([](RegisteredFleet& fleet) {
      const SentOrder order = order_into_a_cut(fleet);
      lose(fleet, order.backend);
      fleet.kill(order.holder);
      serve_without(fleet, order.backend);
      fleet.restart(order.holder);
      return_and_heal(fleet, order.backend);
    });
  }

  /// Guards against an order that outlives its sender's machine.
  void an_order_of_a_sender_without_power_displaces_no_later_primary() {
    check([](RegisteredFleet& fleet) {
      const SentOrder order = order_into_a_cut(fleet);
      lose(fleet, order.backend);
      fleet.vanish(order.holder);
      serve_without(fleet, order.backend);
      fleet.restart(order.holder);
      return_and_heal(fleet, order.backend);
    });
  }

  /// Guards against a group that stays closed because of an order whose sender ended and came back.
  void a_group_opens_soon_after_the_holder_of_its_order_restarts() {
    check([](RegisteredFleet& fleet) {
      const SentOrder order = order_into_a_cut(fleet);
      lose(fleet, order.backend);
      fleet.kill(order.holder);
      fleet.run_for(milliseconds(300));
      fleet.heal();
      fleet.restart(order.holder);
      for (const std::string& backend : kBackends) {
        if (backend != order.backend && !fleet.world().alive(backend)) fleet.restart(backend);
      }
      expect_service(fleet);
    });
  }

  /// Guards against a group that stays closed because the holder of its order was stopped and does not
  /// return.
  void a_group_opens_with_another_backend_after_the_holder_was_stopped() {
    check([](RegisteredFleet& fleet) {
      fleet.run_for(kCalm);
      fleet.promotion_call().hold_orders(kShortestHold, kLongestHold);
      const SentOrder order = order_after_crash(fleet, watch_orders(fleet));
      await_arrival(fleet);
      fleet.promotion_call().hold_orders(Duration(0), Duration(0));
      lose(fleet, order.backend);
      fleet.terminate(order.holder);
      serve_without(fleet, order.backend);
      expect_service(fleet);
      CPPUNIT_ASSERT(fleet.is_open(kGroup) && fleet.primary() != order.backend);
    });
  }

  /// Guards against callers that wait, and a group that stays closed, for an order that can't take effect any
  /// more.
  void a_group_opens_with_another_backend_soon_after_the_holder_is_back() {
    check([](RegisteredFleet& fleet) {
      const SentOrder order = order_into_a_cut(fleet);
      lose(fleet, order.backend);
      serve_without(fleet, order.backend);
      const TimePoint from = fleet.world().now();
      fleet.run_for(seconds(3));
      expect_answers_at_once(fleet, from, fleet.world().now() - kAnswer);
      fleet.heal();
      expect_service(fleet);
      CPPUNIT_ASSERT(fleet.is_open(kGroup) && fleet.primary() != order.backend);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatePromotionTest);

}  // namespace cairnhollow::simulation
