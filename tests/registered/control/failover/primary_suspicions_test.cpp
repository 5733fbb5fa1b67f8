// Tests when proxies' reports about a primary require a check, and when they replace a primary that answers.
#include "registered/control/failover/primary_suspicions.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace cairnhollow::registered::control {

using std::chrono::milliseconds;

namespace {

const GroupName kGroup("group");

TimePoint at(int milliseconds_since) {
  return TimePoint{} + std::chrono::hours(1) + milliseconds(milliseconds_since);
}

registry::GroupTerm term(std::uint64_t number, const std::string& primary) {
  registry::GroupTerm led;
  led.group = kGroup;
  led.term = number;
  led.primary = BackendName(primary);
  led.open = true;
  return led;
}

registry::PrimarySuspicion said(std::uint64_t number = 1, const std::string& primary = "primary",
                                bool unreachable = false) {
  registry::PrimarySuspicion suspicion;
  suspicion.group = kGroup;
  suspicion.backend = BackendName(primary);
  suspicion.term = number;
  suspicion.unreachable = unreachable;
  return suspicion;
}

}  // namespace

class PrimarySuspicionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrimarySuspicionsTest);
  CPPUNIT_TEST(two_proxies_stand_for_a_check);
  CPPUNIT_TEST(three_fifths_of_the_serving_proxies_replace_a_primary);
  CPPUNIT_TEST(a_suspicion_is_of_one_primary_in_one_term);
  CPPUNIT_TEST(a_suspicion_lapses);
  CPPUNIT_TEST(a_suspicion_is_taken_once);
  CPPUNIT_TEST(proxies_that_said_the_same_lately_are_counted);
  CPPUNIT_TEST(stalled_commits_are_as_said_last);
  CPPUNIT_TEST(connections_are_counted_longer);
  CPPUNIT_TEST(connections_are_counted_of_one_term);
  CPPUNIT_TEST_SUITE_END();

 public:
  void two_proxies_stand_for_a_check() {
    struct Case {
      std::size_t suspecting;
      int checks;
    };
    for (const Case& one : {Case{0, 2}, Case{1, 2}, Case{2, 1}, Case{7, 1}})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} proxies", one.suspecting), one.checks,
                                   dead_checks_needed(one.suspecting));
  }

  void three_fifths_of_the_serving_proxies_replace_a_primary() {
    struct Case {
      std::size_t saying;
      std::size_t serving;
      bool out_of_reach;
    };
    for (const Case& one :
         {Case{0, 0, false}, Case{1, 0, false}, Case{1, 1, false}, Case{2, 0, true}, Case{2, 3, true},
          Case{2, 4, false}, Case{3, 5, true}, Case{5, 10, false}, Case{6, 10, true}, Case{6, 11, false}})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} of {}", one.saying, one.serving), one.out_of_reach,
                                   is_out_of_reach(one.saying, one.serving));
  }

  void a_suspicion_is_of_one_primary_in_one_term() {
    for (const auto& [suspicion, applies] :
         {std::pair{said(1, "primary"), true}, std::pair{said(2, "primary"), false},
          std::pair{said(1, "replica-1"), false}}) {
      PrimarySuspicions suspicions;
      suspicions.record(NodeName("one"), suspicion, at(0));
      CPPUNIT_ASSERT_EQUAL(std::size_t{applies ? 1U : 0U}, suspicions.suspecting(term(1, "primary")));
      CPPUNIT_ASSERT_EQUAL(applies, suspicions.take(term(1, "primary"), at(1)).has_value());
      CPPUNIT_ASSERT_MESSAGE("removed even if it does not apply", !suspicions.any());
    }
  }

  void a_suspicion_lapses() {
    for (const auto& [age, counts] : {std::pair{0, true}, std::pair{599, true}, std::pair{600, false}}) {
      PrimarySuspicions suspicions;
      suspicions.record(NodeName("one"), said(), at(0));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} ms", age), counts,
                                   suspicions.take(term(1, "primary"), at(age)).has_value());
    }
  }

  void a_suspicion_is_taken_once() {
    PrimarySuspicions suspicions;
    CPPUNIT_ASSERT(!suspicions.take(term(1, "primary"), at(0)));
    suspicions.record(NodeName("one"), said(), at(0));
    CPPUNIT_ASSERT(suspicions.any());
    CPPUNIT_ASSERT(suspicions.take(term(1, "primary"), at(1)));
    CPPUNIT_ASSERT(!suspicions.any());
    CPPUNIT_ASSERT(!suspicions.take(term(1, "primary"), at(1)));
  }

  void proxies_that_said_the_same_lately_are_counted() {
    PrimarySuspicions suspicions;
    suspicions.record(NodeName("one"), said(), at(0));
    suspicions.record(NodeName("two"), said(), at(100));
    suspicions.record(NodeName("two"), said(), at(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, suspicions.suspecting(term(1, "primary")));
    suspicions.record(NodeName("three"), said(), at(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, suspicions.suspecting(term(1, "primary")));
    suspicions.record(NodeName("four"), said(), at(601));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the first one expired", std::size_t{3},
                                 suspicions.suspecting(term(1, "primary")));
    suspicions.record(NodeName("one"), said(2, "replica-1"), at(602));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("suspicion of another primary", std::size_t{1},
                                 suspicions.suspecting(term(2, "replica-1")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, suspicions.suspecting(term(1, "primary")));
    const auto taken = suspicions.take(term(2, "replica-1"), at(602));
    CPPUNIT_ASSERT(taken && taken->proxies == 1);
  }

  void stalled_commits_are_as_said_last() {
    PrimarySuspicions suspicions;
    registry::PrimarySuspicion stalls = said();
    stalls.commits_stall = true;
    suspicions.record(NodeName("one"), said(), at(0));
    suspicions.record(NodeName("two"), stalls, at(1));
    const auto taken = suspicions.take(term(1, "primary"), at(2));
    CPPUNIT_ASSERT(taken && taken->commits_stall && taken->proxies == 2);
  }

  void connections_are_counted_longer() {
    PrimarySuspicions suspicions;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, suspicions.unable_to_connect(kGroup));
    suspicions.record(NodeName("one"), said(1, "primary", true), at(0));
    suspicions.record(NodeName("two"), said(1, "primary", false), at(1));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the second proxy can connect", std::size_t{1},
                                 suspicions.unable_to_connect(kGroup));
    suspicions.record(NodeName("two"), said(1, "primary", true), at(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, suspicions.unable_to_connect(kGroup));
    suspicions.record(NodeName("three"), said(1, "primary", true), at(1501));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the first one expired", std::size_t{2},
                                 suspicions.unable_to_connect(kGroup));
    CPPUNIT_ASSERT(suspicions.take(term(1, "primary"), at(1501)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("not consumed by take()", std::size_t{2},
                                 suspicions.unable_to_connect(kGroup));
  }

  void connections_are_counted_of_one_term() {
    PrimarySuspicions suspicions;
    suspicions.record(NodeName("one"), said(1, "primary", true), at(0));
    suspicions.record(NodeName("two"), said(2, "replica-1", true), at(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, suspicions.unable_to_connect(kGroup));
    suspicions.forget_unable_to_connect(kGroup);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, suspicions.unable_to_connect(kGroup));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimarySuspicionsTest);

}  // namespace cairnhollow::registered::control
