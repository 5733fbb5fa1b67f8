// Who runs next at a backend under load, played without a network: bursts, a tenant that asks for too much, a
// backend that turns slow, links that are missing, and random load.
#include "registered/scheduling/statement_scheduler.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "tests/registered/scheduling/scheduler_play.h"

namespace cairnhollow::registered::scheduling {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string milliseconds_text(Duration duration) {
  return fmt::format("{} ms", std::chrono::duration_cast<milliseconds>(duration).count());
}

template <class Condition>
int count_if(const SchedulerPlay& play, Condition condition) {
  return static_cast<int>(std::count_if(play.statements.begin(), play.statements.end(), condition));
}

}  // namespace

class StatementSchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatementSchedulerTest);
  CPPUNIT_TEST(burst_of_lowest_class_leaves_highest_on_time);
  CPPUNIT_TEST(tenant_at_its_limit_delays_itself);
  CPPUNIT_TEST(forecast_follows_the_shares);
  CPPUNIT_TEST(hot_tenant_of_low_priority_yields);
  CPPUNIT_TEST(open_transactions_go_first);
  CPPUNIT_TEST(slow_backend_serves_highest_and_tells_the_rest);
  CPPUNIT_TEST(late_ones_make_no_others_late);
  CPPUNIT_TEST(link_at_hand_goes_first_within_bound);
  CPPUNIT_TEST(those_without_link_are_passed_over);
  CPPUNIT_TEST(hopeless_queue_is_told_at_once);
  CPPUNIT_TEST(hopeless_is_told_when_load_rises);
  CPPUNIT_TEST(free_slot_is_tried_whatever_is_expected);
  CPPUNIT_TEST(starvation_is_bounded);
  CPPUNIT_TEST(leaver_frees_its_place);
  CPPUNIT_TEST(full_queue_refuses_the_last_in_order);
  CPPUNIT_TEST(demand_counts_by_class);
  CPPUNIT_TEST(unused_admission_is_not_charged);
  CPPUNIT_TEST(refund_is_what_was_charged);
  CPPUNIT_TEST(random_load_keeps_slots_busy);
  CPPUNIT_TEST_SUITE_END();

 public:
  void burst_of_lowest_class_leaves_highest_on_time() {
    // Of one tenant, and with the same target, so that nothing but the priority keeps them apart.
    SchedulerPlay play(4);
    for (int number = 0; number < 200; ++number)
      play.add(play_statement(milliseconds(100), 2, "a", milliseconds(22), milliseconds(800), seconds(2)));
    for (int number = 0; number < 100; ++number)
      play.add(
          play_statement(milliseconds(10 * number), 0, "a", milliseconds(5), milliseconds(800), seconds(2)));
    play.run(seconds(3));
    for (const PlayedStatement& statement : play.statements) {
      if (statement.request.route_priority != 0) continue;
      CPPUNIT_ASSERT(statement.admitted_at);
      CPPUNIT_ASSERT_MESSAGE(milliseconds_text(statement.waited()), statement.waited() <= milliseconds(23));
    }
    CPPUNIT_ASSERT(!play.was_idle_in_vain);
  }

  void tenant_at_its_limit_delays_itself() {
    // The backend runs 285 statements a second; the hot tenant asks for 400, seventy others for 140 together.
    SchedulerPlay play(4);
    for (int number = 0; number < 800; ++number)
      play.add(play_statement(microseconds(2500 * number), 1, "hot", milliseconds(14), milliseconds(250),
                              milliseconds(600)));
    for (int number = 0; number < 280; ++number)
      play.add(play_statement(microseconds(7143 * number), 1, fmt::format("small-{}", number % 70).c_str(),
                              milliseconds(14), milliseconds(250), milliseconds(600)));
    play.run(seconds(4));
    const int small_on_time = count_if(play, [](const PlayedStatement& statement) {
      return statement.request.tenant.value != "hot" && statement.is_on_time();
    });
    CPPUNIT_ASSERT_EQUAL_MESSAGE("small tenants' statements on time", 280, small_on_time);
    const int hot_on_time = count_if(play, [](const PlayedStatement& statement) {
      return statement.request.tenant.value == "hot" && statement.is_on_time();
    });
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of the hot tenant on time", hot_on_time), hot_on_time >= 200);
  }

  void forecast_follows_the_shares() {
    StatementScheduler scheduler;
    const SlotRoom room{1, 1, nullptr};
    const auto hot = play_statement(Duration(0), 0, "hot", {}, seconds(1), seconds(9));
    for (int number = 0; number < 10; ++number) scheduler.enqueue(hot.request, kPlayStart, room);
    const auto small = play_statement(Duration(0), 0, "small", {}, seconds(2), seconds(9));
    const auto enqueued = scheduler.enqueue(small.request, kPlayStart, room);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("one statement of the hot tenant", std::size_t{1}, enqueued.forecast.ahead);
    CPPUNIT_ASSERT_MESSAGE("it, and the one that runs", enqueued.forecast.wait == 2 * kAssumedService);
    CPPUNIT_ASSERT_MESSAGE("all, and the one that runs", enqueued.forecast.drain == 12 * kAssumedService);
    CPPUNIT_ASSERT(scheduler.next(kPlayStart, SlotRoom{1, 0, nullptr}));
    CPPUNIT_ASSERT(scheduler.next(kPlayStart, SlotRoom{1, 0, nullptr})->ticket == enqueued.ticket);
  }

  void hot_tenant_of_low_priority_yields() {
    SchedulerPlay play(2);
    for (int number = 0; number < 100; ++number) {
      auto hot = play_statement(Duration(0), 0, "hot", milliseconds(10), milliseconds(400), seconds(2));
      hot.request.tenant_priority = 1;
      play.add(hot);
    }
    for (int number = 0; number < 20; ++number)
      play.add(play_statement(milliseconds(5), 0, "high", milliseconds(10), milliseconds(400), seconds(2)));
    play.run(seconds(3));
    for (const PlayedStatement& statement : play.statements) {
      if (statement.request.tenant_priority != 0) continue;
      // Two slots run the twenty in 100 ms, if they wait only for what runs when they come.
      CPPUNIT_ASSERT_MESSAGE(milliseconds_text(statement.waited()), statement.waited() <= milliseconds(96));
    }
  }

  void open_transactions_go_first() {
    SchedulerPlay play(1);
    for (int number = 0; number < 30; ++number)
      play.add(play_statement(Duration(0), 0, "a", milliseconds(5), milliseconds(150), milliseconds(800)));
    auto open = play_statement(milliseconds(3), 2, "b", milliseconds(5), milliseconds(1), milliseconds(800));
    open.request.in_transaction = true;
    play.add(open);
    play.run(milliseconds(200));
    for (const PlayedStatement& statement : play.statements) {
      if (!statement.request.in_transaction) continue;
      CPPUNIT_ASSERT_MESSAGE("it waits for the statement that runs", statement.waited() <= milliseconds(3));
    }
  }

  void slow_backend_serves_highest_and_tells_the_rest() {
    // Four slots; the load is half of what the backend runs, and twice that once it is four times slower.
    SchedulerPlay play(4);
    for (int number = 0; number < 600; ++number) {
      const Duration after = milliseconds(5 * number);
      const Duration service = milliseconds(after < seconds(1) ? 15 : 60);
      const bool is_highest = number % 6 == 0;
      play.add(play_statement(after, is_highest ? 0 : 1, "a", service, milliseconds(250), milliseconds(400)));
    }
    play.run(seconds(5));
    for (const PlayedStatement& statement : play.statements) {
      CPPUNIT_ASSERT_MESSAGE("told before the deadline", !statement.expired);
      if (statement.request.route_priority == 0)
        CPPUNIT_ASSERT_MESSAGE("highest class on time", statement.is_on_time());
      if (statement.refused_at)
        CPPUNIT_ASSERT_MESSAGE("told while another try would have time",
                               *statement.refused_at + milliseconds(60) <= statement.request.deadline);
    }
    const int served = count_if(play, [](const PlayedStatement& statement) {
      return statement.admitted_at && statement.request.arrived >= kPlayStart + seconds(1);
    });
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} served by the slow backend", served), served >= 120);
    CPPUNIT_ASSERT(!play.was_idle_in_vain);
  }

  void late_ones_make_no_others_late() {
    // Statements of the highest class whose target has passed, before lower ones that can meet theirs.
    SchedulerPlay play(1);
    for (int number = 0; number < 40; ++number) {
      auto late = play_statement(Duration(0), 0, "a", milliseconds(10), milliseconds(5), seconds(2));
      play.add(late);
    }
    for (int number = 0; number < 5; ++number)
      play.add(play_statement(milliseconds(20), 1, "b", milliseconds(10), milliseconds(100), seconds(2)));
    play.run(seconds(2));
    for (const PlayedStatement& statement : play.statements) {
      CPPUNIT_ASSERT_MESSAGE("late ones are served too", statement.admitted_at);
      if (statement.request.route_priority == 1) CPPUNIT_ASSERT(statement.is_on_time());
    }
  }

  void link_at_hand_goes_first_within_bound() {
    PlayedLinks links;
    links.idle[TenantName("with")] = 100;
    SchedulerPlay play(1);
    play.room.links = &links;
    play.add(play_statement(Duration(0), 0, "with", milliseconds(5), milliseconds(240), seconds(1)));
    play.add(play_statement(milliseconds(1), 0, "without", milliseconds(5), milliseconds(240), seconds(1)));
    for (int number = 0; number < 40; ++number)
      play.add(play_statement(milliseconds(2), 0, "with", milliseconds(5), milliseconds(240), seconds(1)));
    play.run(seconds(1));
    int passed = 0;
    Duration waited{0};
    for (const PlayedStatement& statement : play.statements) {
      if (statement.request.tenant.value == "without") waited = statement.waited();
    }
    for (const PlayedStatement& statement : play.statements) {
      if (statement.request.arrived == kPlayStart + milliseconds(2) &&
          statement.waited() + milliseconds(1) < waited)
        ++passed;
    }
    CPPUNIT_ASSERT_MESSAGE("statements with a link pass it", passed >= 3);
    CPPUNIT_ASSERT_MESSAGE(milliseconds_text(waited),
                           waited <= milliseconds(240) / kNewLinkWaitDivisor + milliseconds(5));
  }

  void those_without_link_are_passed_over() {
    PlayedLinks links;
    links.idle[TenantName("low")] = 1;
    links.opens = false;
    SchedulerPlay play(2);
    play.room.links = &links;
    play.add(play_statement(Duration(0), 0, "high", milliseconds(5), milliseconds(150), seconds(1)));
    play.add(play_statement(Duration(0), 2, "low", milliseconds(5), milliseconds(800), seconds(1)));
    play.at_step = [&](SchedulerPlay& now) { links.opens = now.now >= kPlayStart + milliseconds(50); };
    play.run(milliseconds(100));
    CPPUNIT_ASSERT(play.statements[1].waited() == Duration(0));
    CPPUNIT_ASSERT(play.statements[0].waited() == milliseconds(50));
    CPPUNIT_ASSERT(!play.was_idle_in_vain);
  }

  void hopeless_queue_is_told_at_once() {
    SchedulerPlay play(2);
    const auto sample = play_statement(Duration(0), 0, "a", Duration(0), seconds(1), seconds(1));
    play.scheduler.service_times().record(sample.request, milliseconds(100), kPlayStart);
    play.room.running = 2;
    for (int number = 0; number < 300; ++number)
      play.add(play_statement(Duration(0), 0, "a", milliseconds(100), milliseconds(90), milliseconds(120)));
    play.run(Duration(0));
    const int told =
        count_if(play, [](const PlayedStatement& statement) { return statement.refused_at.has_value(); });
    CPPUNIT_ASSERT_EQUAL(300, told);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, play.scheduler.waiting());
  }

  void hopeless_is_told_when_load_rises() {
    // The low one can be served when it comes; then the higher class fills the time until its deadline.
    SchedulerPlay play(1);
    play.add(play_statement(Duration(0), 0, "a", milliseconds(30), milliseconds(400), seconds(1)));
    play.add(play_statement(milliseconds(1), 1, "b", milliseconds(30), milliseconds(400), milliseconds(300)));
    for (int number = 0; number < 60; ++number)
      play.add(play_statement(milliseconds(2), 0, "a", milliseconds(30), seconds(2), seconds(4)));
    play.run(milliseconds(3));
    CPPUNIT_ASSERT_MESSAGE("refused as soon as it is known",
                           play.statements[1].refused_at == kPlayStart + milliseconds(2));
  }

  void free_slot_is_tried_whatever_is_expected() {
    SchedulerPlay play(1);
    const auto slow =
        play_statement(Duration(0), 0, "a", milliseconds(5), milliseconds(100), milliseconds(200));
    play.scheduler.service_times().record(slow.request, seconds(5), kPlayStart);
    play.add(slow);
    play.run(milliseconds(1));
    CPPUNIT_ASSERT_MESSAGE("only an answer shows that the backend is fast again",
                           play.statements[0].admitted_at == kPlayStart);
  }

  void starvation_is_bounded() {
    // The highest class alone asks for more than the backend can run.
    SchedulerPlay play(2);
    for (int number = 0; number < 1000; ++number)
      play.add(play_statement(microseconds(2000 * number), 0, "a", milliseconds(5), milliseconds(150),
                              milliseconds(300)));
    for (int number = 0; number < 40; ++number)
      play.add(
          play_statement(milliseconds(50 * number), 2, "b", milliseconds(20), milliseconds(400), seconds(1)));
    play.run(seconds(2));
    Duration first{0};
    Duration low_service{0};
    for (const PlayedStatement& statement : play.statements) {
      if (statement.request.route_priority != 2 || !statement.admitted_at) continue;
      if (first == Duration(0)) first = statement.waited();
      low_service += statement.service;
    }
    // Due after half of its target, then it waits for its share of the service time of two slots.
    const Duration bound = milliseconds(400) / kTurnDueDivisor + kTurnShareDivisor * milliseconds(20) / 2;
    CPPUNIT_ASSERT_MESSAGE(milliseconds_text(first),
                           first > Duration(0) && first <= bound + milliseconds(10));
    CPPUNIT_ASSERT_MESSAGE(milliseconds_text(low_service), low_service >= milliseconds(4000) / 12);
    CPPUNIT_ASSERT_MESSAGE(milliseconds_text(low_service), low_service <= milliseconds(4000) / 7);
  }

  void leaver_frees_its_place() {
    StatementScheduler scheduler;
    const SlotRoom room{1, 1, nullptr};
    const auto leaver = play_statement(Duration(0), 0, "a", {}, milliseconds(100), seconds(1));
    const auto stayer = play_statement(Duration(0), 1, "b", {}, milliseconds(100), seconds(1));
    const auto first = scheduler.enqueue(leaver.request, kPlayStart, room);
    const auto second = scheduler.enqueue(stayer.request, kPlayStart, room);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.forecast.ahead);
    scheduler.remove(first.ticket);
    scheduler.remove(first.ticket);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scheduler.waiting());
    CPPUNIT_ASSERT(!scheduler.next(kPlayStart, room));
    CPPUNIT_ASSERT(scheduler.next(kPlayStart, SlotRoom{1, 0, nullptr})->ticket == second.ticket);
    CPPUNIT_ASSERT(!scheduler.next(kPlayStart, SlotRoom{1, 0, nullptr}));
  }

  void full_queue_refuses_the_last_in_order() {
    StatementScheduler scheduler;
    const SlotRoom room{1, 1, nullptr};
    const auto low = play_statement(Duration(0), 2, "a", {}, seconds(100), seconds(200));
    const auto high = play_statement(Duration(0), 0, "a", {}, seconds(100), seconds(200));
    StatementScheduler::Ticket last = 0;
    for (std::size_t number = 0; number < kMaxWaitingStatements; ++number)
      last = scheduler.enqueue(low.request, kPlayStart, room).ticket;
    const auto refused = scheduler.enqueue(low.request, kPlayStart, room);
    CPPUNIT_ASSERT(refused.verdict == StatementScheduler::Verdict::kQueueFull && !refused.displaced);
    const auto taken = scheduler.enqueue(high.request, kPlayStart, room);
    CPPUNIT_ASSERT(taken.verdict == StatementScheduler::Verdict::kWaits);
    CPPUNIT_ASSERT(taken.displaced == last);
    CPPUNIT_ASSERT_EQUAL(kMaxWaitingStatements, scheduler.waiting());
  }

  void demand_counts_by_class() {
    StatementScheduler scheduler;
    const SlotRoom room{1, 1, nullptr};
    for (const std::uint64_t priority : {0, 1, 1, 3, 9}) {
      const auto statement = play_statement(Duration(0), priority, "a", {}, seconds(1), seconds(9));
      scheduler.enqueue(statement.request, kPlayStart, room);
    }
    auto open = play_statement(Duration(0), 2, "a", {}, seconds(1), seconds(9));
    open.request.in_transaction = true;
    scheduler.enqueue(open.request, kPlayStart, room);
    const SlotDemand demand = scheduler.demand(3);
    CPPUNIT_ASSERT((demand == SlotDemand{3, {2, 2, 0, 2}}));
  }

  void unused_admission_is_not_charged() {
    StatementScheduler scheduler;
    const SlotRoom room{1, 0, nullptr};
    const auto one = play_statement(Duration(0), 0, "a", {}, seconds(1), seconds(9));
    const auto other = play_statement(Duration(0), 0, "b", {}, milliseconds(2000), seconds(9));
    scheduler.enqueue(one.request, kPlayStart, room);
    scheduler.enqueue(other.request, kPlayStart, room);
    const auto admitted = scheduler.next(kPlayStart, room);
    CPPUNIT_ASSERT(admitted);
    // It gives its slot back and comes again: it goes before the tenant whose target ends later.
    scheduler.refund(one.request, admitted->cost);
    const auto again = scheduler.enqueue(one.request, kPlayStart, room);
    CPPUNIT_ASSERT(scheduler.next(kPlayStart, room)->ticket == again.ticket);
  }

  void refund_is_what_was_charged() {
    StatementScheduler scheduler;
    PlayedLinks links;
    links.opens = false;
    links.idle = {{TenantName("a"), 1}, {TenantName("b"), 1}};
    const SlotRoom room{1, 0, &links};
    const auto enqueue = [&](const char* tenant, Duration target) {
      const auto statement = play_statement(Duration(0), 0, tenant, {}, target, seconds(90));
      return scheduler.enqueue(statement.request, kPlayStart, room).ticket;
    };
    const SlotRequest request = play_statement(Duration(0), 0, "a", {}, seconds(10), seconds(90)).request;
    scheduler.service_times().record(request, milliseconds(10), kPlayStart);
    // Without a link it waits on, so that the level's shares are kept.
    enqueue("c", seconds(80));
    enqueue("a", seconds(10));
    const auto unused = scheduler.next(kPlayStart, room);
    CPPUNIT_ASSERT(unused && unused->cost == milliseconds(10));
    // Statements become slower, and another one of the tenant runs before the slot is given back.
    for (int sample = 0; sample < 100; ++sample)
      scheduler.service_times().record(request, milliseconds(500), kPlayStart);
    enqueue("a", seconds(10));
    const auto used = scheduler.next(kPlayStart, room);
    CPPUNIT_ASSERT(used && used->cost > milliseconds(400));
    scheduler.refund(request, unused->cost);
    enqueue("a", seconds(5));
    const auto other = enqueue("b", seconds(6));
    CPPUNIT_ASSERT_MESSAGE("the statement that ran is still charged",
                           scheduler.next(kPlayStart, room)->ticket == other);
  }

  void random_load_keeps_slots_busy() {
    const bool held = rc::check("slots are busy while something may run, and each statement has one end", [] {
      SchedulerPlay play(static_cast<std::uint32_t>(*rc::gen::inRange(1, 5)));
      PlayedLinks links;
      play.room.links = &links;
      const int count = *rc::gen::inRange(1, 200);
      for (int number = 0; number < count; ++number) {
        const int tenant = *rc::gen::inRange(0, 4);
        auto statement = play_statement(
            milliseconds(*rc::gen::inRange(0, 300)), static_cast<std::uint64_t>(*rc::gen::inRange(0, 3)),
            fmt::format("t{}", tenant).c_str(), milliseconds(*rc::gen::inRange(1, 40)),
            milliseconds(*rc::gen::inRange(20, 300)), milliseconds(*rc::gen::inRange(20, 600)));
        statement.request.tenant_priority = tenant / 2 == 0 ? 0 : 1;
        statement.request.in_transaction = *rc::gen::inRange(0, 5) == 0;
        play.add(statement);
      }
      const int pattern = *rc::gen::inRange(1, 40);
      play.at_step = [&](SchedulerPlay& now) {
        const auto step = (now.now - kPlayStart) / milliseconds(5);
        links.opens = step % pattern != 0;
        links.idle[TenantName("t0")] = step % 3 == 0 ? 1 : 0;
      };
      play.run(seconds(2));
      RC_ASSERT(!play.was_idle_in_vain);
      RC_ASSERT(play.most_waiting <= kMaxWaitingStatements);
      for (const PlayedStatement& statement : play.statements) {
        const int ends = (statement.admitted_at ? 1 : 0) + (statement.refused_at ? 1 : 0) +
                         (statement.expired ? 1 : 0) + (statement.displaced ? 1 : 0);
        RC_ASSERT(ends == 1);
        RC_ASSERT(!statement.admitted_at || *statement.admitted_at < statement.request.deadline);
      }
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementSchedulerTest);

}  // namespace cairnhollow::registered::scheduling
