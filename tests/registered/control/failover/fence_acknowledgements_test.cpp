// Tests which proxies are still expected to acknowledge a close, and the cost of tracking it.
#include "registered/control/failover/fence_acknowledgements.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace cairnhollow::registered::control {

namespace {

NodeName node(int number) { return NodeName(fmt::format("proxy-{}", number)); }
GroupName group(int number) { return GroupName(fmt::format("group-{}", number)); }

registry::AdmittedProxy proxy(int number, std::uint64_t incarnation = 1) {
  registry::AdmittedProxy admitted;
  admitted.node = node(number);
  admitted.incarnation = incarnation;
  return admitted;
}

registry::ClosedGroup answer(int number, std::uint64_t epoch, std::uint64_t index) {
  return {group(number), epoch, Position{1, index}};
}

}  // namespace

class FenceAcknowledgementsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FenceAcknowledgementsTest);
  CPPUNIT_TEST(a_close_is_over_with_the_last_answer);
  CPPUNIT_TEST(an_answer_to_an_earlier_close_does_not_count);
  CPPUNIT_TEST(an_answer_that_came_before_anybody_asked_counts);
  CPPUNIT_TEST(an_older_answer_that_comes_late_takes_nothing_back);
  CPPUNIT_TEST(another_incarnation_of_a_proxy_has_to_answer_itself);
  CPPUNIT_TEST(a_proxy_that_joins_has_to_answer);
  CPPUNIT_TEST(a_proxy_that_is_forgotten_is_not_waited_for);
  CPPUNIT_TEST(leases_that_ran_out_end_the_wait_and_no_more);
  CPPUNIT_TEST(answers_from_before_a_change_of_leader_are_forgotten);
  CPPUNIT_TEST(a_hundred_groups_cost_what_is_unanswered);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { answers_.set_proxies({proxy(1), proxy(2)}); }

  void a_close_is_over_with_the_last_answer() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ask(4).waiting_for);
    CPPUNIT_ASSERT(!answers_.record(node(1), 1, answer(1, 4, 7)));
    CPPUNIT_ASSERT(!ask(4).complete);
    CPPUNIT_ASSERT(answers_.record(node(2), 1, answer(1, 4, 9)));
    CPPUNIT_ASSERT(ask(4).complete && ask(4).all_answered);
    CPPUNIT_ASSERT(ask(4).highest_acknowledged == (Position{1, 9}));
    CPPUNIT_ASSERT_MESSAGE("a repeated answer completes nothing",
                           !answers_.record(node(2), 1, answer(1, 4, 9)));
  }

  void an_answer_to_an_earlier_close_does_not_count() {
    ask(4);
    answers_.record(node(1), 1, answer(1, 2, 7));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ask(4).waiting_for);
    answers_.record(node(1), 1, answer(1, 4, 7));
    answers_.record(node(2), 1, answer(1, 4, 7));
    CPPUNIT_ASSERT(ask(4).complete);
    CPPUNIT_ASSERT_MESSAGE("no answer to the next close yet", !ask(6).complete);
  }

  void an_answer_that_came_before_anybody_asked_counts() {
    answers_.record(node(1), 1, answer(1, 4, 7));
    answers_.record(node(2), 1, answer(1, 4, 8));
    CPPUNIT_ASSERT(ask(4).all_answered);
    CPPUNIT_ASSERT(ask(4).highest_acknowledged == (Position{1, 8}));
  }

  void an_older_answer_that_comes_late_takes_nothing_back() {
    answers_.record(node(1), 1, answer(1, 4, 7));
    answers_.record(node(1), 1, answer(1, 2, 5));
    answers_.record(node(2), 1, answer(1, 4, 6));
    CPPUNIT_ASSERT(ask(4).all_answered);
    CPPUNIT_ASSERT(ask(4).highest_acknowledged == (Position{1, 7}));
  }

  void another_incarnation_of_a_proxy_has_to_answer_itself() {
    ask(4);
    answers_.record(node(1), 1, answer(1, 4, 7));
    answers_.record(node(2), 1, answer(1, 4, 7));
    answers_.set_proxies({proxy(1), proxy(2, 2)});
    CPPUNIT_ASSERT(!ask(4).all_answered);
    answers_.record(node(2), 1, answer(1, 4, 7));
    CPPUNIT_ASSERT_MESSAGE("answer of the previous incarnation", !ask(4).all_answered);
    answers_.record(node(2), 2, answer(1, 4, 0));
    CPPUNIT_ASSERT(ask(4).all_answered);
  }

  void a_proxy_that_joins_has_to_answer() {
    answers_.record(node(1), 1, answer(1, 4, 7));
    answers_.record(node(2), 1, answer(1, 4, 7));
    CPPUNIT_ASSERT(ask(4).all_answered);
    answers_.set_proxies({proxy(1), proxy(2), proxy(3)});
    CPPUNIT_ASSERT(!ask(4).all_answered);
  }

  void a_proxy_that_is_forgotten_is_not_waited_for() {
    answers_.record(node(1), 1, answer(1, 4, 7));
    CPPUNIT_ASSERT(!ask(4).all_answered);
    answers_.set_proxies({proxy(1)});
    CPPUNIT_ASSERT(ask(4).all_answered);
  }

  void leases_that_ran_out_end_the_wait_and_no_more() {
    const auto ran_out = [](const NodeName&, std::uint64_t) {
      return FenceAcknowledgements::Silent{false, 5};
    };
    const FenceProgress progress = answers_.progress(group(1), 4, ran_out);
    CPPUNIT_ASSERT(progress.complete);
    CPPUNIT_ASSERT(!progress.all_answered);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, progress.silent_revision);
  }

  void answers_from_before_a_change_of_leader_are_forgotten() {
    answers_.record(node(1), 1, answer(1, 4, 7));
    answers_.record(node(2), 1, answer(1, 4, 7));
    answers_.clear();
    CPPUNIT_ASSERT(!ask(4).all_answered);
  }

  /// Cost when a zone with the primaries of 100 groups fails and 300 proxies answer every close in turn.
  /// Querying every proxy of every group after each answer would take 9,000,000 steps. Failovers poll every
  /// 60 ms while the answers arrive over about half a second, modelled here as one poll per 30 proxies.
  void a_hundred_groups_cost_what_is_unanswered() {
    constexpr int kGroups = 100;
    constexpr int kProxies = 300;
    constexpr int kBetweenLooks = 30;
    std::vector<registry::AdmittedProxy> proxies;
    for (int number = 1; number <= kProxies; ++number) proxies.push_back(proxy(number));
    answers_.set_proxies(proxies);
    std::size_t looks = 0;
    std::size_t ends = 0;
    const auto count = [&looks](const NodeName&, std::uint64_t) {
      ++looks;
      return FenceAcknowledgements::Silent{true, 0};
    };
    for (int number = 1; number <= kProxies; ++number) {
      for (int closed = 1; closed <= kGroups; ++closed) {
        if (number % kBetweenLooks == 1) CPPUNIT_ASSERT(!answers_.progress(group(closed), 2, count).complete);
        ends += answers_.record(node(number), 1, answer(closed, 2, 1)) ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kGroups}, ends);
    constexpr std::size_t kMostLooks = 170'000;  // 100 x (300 + 270 + ... + 30)
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} lookups", looks), looks <= kMostLooks);
  }

 private:
  FenceProgress ask(std::uint64_t epoch) {
    const auto leased = [](const NodeName&, std::uint64_t) { return FenceAcknowledgements::Silent{true, 0}; };
    return answers_.progress(group(1), epoch, leased);
  }

  FenceAcknowledgements answers_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FenceAcknowledgementsTest);

}  // namespace cairnhollow::registered::control
