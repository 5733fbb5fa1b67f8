// Verifies the expiry bounds of promises made to proxies, and the states of a proxy after its lease.
#include "registered/control/leases/lease_bounds.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "registered/control/leases/serving_leases.h"

namespace cairnhollow::registered::control {

using std::chrono::milliseconds;

namespace {

constexpr Duration kLease = milliseconds(1500);
const NodeName kProxy("proxy");

TimePoint at(int milliseconds_since) {
  return TimePoint{} + std::chrono::hours(1) + milliseconds(milliseconds_since);
}

}  // namespace

class LeaseBoundsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseBoundsTest);
  CPPUNIT_TEST(a_lapsed_proxy_is_absent_and_later_forgotten);
  CPPUNIT_TEST(operations_are_counted_for_a_fiftieth_longer_than_promised);
  CPPUNIT_TEST(a_silent_proxy_asks_a_member_that_it_knows);
  CPPUNIT_TEST(a_members_leases_end_after_its_pause);
  CPPUNIT_TEST(reports_are_spaced_within_the_lease);
  CPPUNIT_TEST(a_lease_ends_one_length_after_its_question);
  CPPUNIT_TEST(a_lease_of_an_earlier_leader_ends_one_length_after_the_election);
  CPPUNIT_TEST(a_lease_is_of_one_incarnation);
  CPPUNIT_TEST(questions_that_are_answered_out_of_order_shorten_nothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_lapsed_proxy_is_absent_and_later_forgotten() {
    struct Case {
      int after_end;
      ProxyPresence presence;
    };
    for (const Case& one : {Case{-1, ProxyPresence::kPresent}, Case{200, ProxyPresence::kPresent},
                            Case{201, ProxyPresence::kAbsent}, Case{12'000, ProxyPresence::kAbsent},
                            Case{12'001, ProxyPresence::kForgotten}})
      CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms", one.after_end),
                             presence_after(at(0), at(one.after_end)) == one.presence);
  }

  void operations_are_counted_for_a_fiftieth_longer_than_promised() {
    CPPUNIT_ASSERT(budget_authority_end(at(0) + kLease, kLease) == at(3060));
  }

  void a_silent_proxy_asks_a_member_that_it_knows() {
    CPPUNIT_ASSERT(asked_by_all_from(at(0), 7, 7) == at(0));
    CPPUNIT_ASSERT(asked_by_all_from(at(0), 7, 8) == at(0));
    CPPUNIT_ASSERT_MESSAGE("the proxy may not know the member", asked_by_all_from(at(0), 7, 6) == at(10'500));
  }

  void a_members_leases_end_after_its_pause() {
    CPPUNIT_ASSERT(member_lease_end(at(1000), at(0)) == at(1600));
    CPPUNIT_ASSERT(member_lease_end(at(1000), at(1601)) == at(1601));
    CPPUNIT_ASSERT_MESSAGE("outlasts a lease granted right before the pause",
                           member_lease_end(at(0), at(0)) > at(0) + registry::kMemberLease);
  }

  void reports_are_spaced_within_the_lease() {
    struct Case {
      std::size_t proxies;
      Duration interval;
    };
    for (const Case& one :
         {Case{0, milliseconds(375)}, Case{93, milliseconds(375)}, Case{100, milliseconds(400)},
          Case{150, milliseconds(600)}, Case{1500, milliseconds(600)}})
      CPPUNIT_ASSERT_MESSAGE(fmt::format("{} proxies", one.proxies),
                             report_interval(one.proxies, kLease) == one.interval);
  }

  void a_lease_ends_one_length_after_its_question() {
    ServingLeases leases(kLease);
    leases.begin_lead(at(0));
    leases.grant(kProxy, 1, 7, at(1000));
    CPPUNIT_ASSERT(leases.end_of(kProxy, 1) == at(2500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, leases.revision_of(kProxy, 1));
  }

  void a_lease_of_an_earlier_leader_ends_one_length_after_the_election() {
    ServingLeases leases(kLease);
    leases.grant(kProxy, 1, 7, at(5000));
    leases.begin_lead(at(0));
    CPPUNIT_ASSERT(leases.end_of(kProxy, 1) == at(1500));
    CPPUNIT_ASSERT(leases.end_of(NodeName("other"), 1) == at(1500));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("was reported to another leader", std::uint64_t{0},
                                 leases.revision_of(kProxy, 1));
    leases.grant(kProxy, 1, 7, at(-1000));
    CPPUNIT_ASSERT_MESSAGE("the later of the two bounds", leases.end_of(kProxy, 1) == at(1500));
  }

  void a_lease_is_of_one_incarnation() {
    ServingLeases leases(kLease);
    leases.begin_lead(at(0));
    leases.grant(kProxy, 1, 7, at(5000));
    CPPUNIT_ASSERT(leases.end_of(kProxy, 2) == at(1500));
    leases.begin_incarnation(kProxy, 1);
    CPPUNIT_ASSERT_MESSAGE("the same incarnation keeps its lease", leases.end_of(kProxy, 1) == at(6500));
    leases.begin_incarnation(kProxy, 2);
    CPPUNIT_ASSERT_MESSAGE("the previous incarnation has lost its lease",
                           leases.end_of(kProxy, 1) == at(1500));
    leases.grant(kProxy, 2, 3, at(6000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, leases.revision_of(kProxy, 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, leases.revision_of(kProxy, 1));
  }

  void questions_that_are_answered_out_of_order_shorten_nothing() {
    ServingLeases leases(kLease);
    leases.grant(kProxy, 1, 9, at(2000));
    leases.grant(kProxy, 1, 8, at(1000));
    CPPUNIT_ASSERT(leases.end_of(kProxy, 1) == at(3500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, leases.revision_of(kProxy, 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseBoundsTest);

}  // namespace cairnhollow::registered::control
