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
  CPPUNIT_TEST(lapsed_proxy_becomes_absent_then_forgotten);
  CPPUNIT_TEST(budget_authority_ends_a_fiftieth_late);
  CPPUNIT_TEST(silent_proxy_queries_members_it_knows);
  CPPUNIT_TEST(member_leases_end_after_pause);
  CPPUNIT_TEST(spaces_reports_within_lease);
  CPPUNIT_TEST(lease_ends_one_duration_after_its_report);
  CPPUNIT_TEST(earlier_leaders_lease_ends_one_duration_after_election);
  CPPUNIT_TEST(lease_belongs_to_one_incarnation);
  CPPUNIT_TEST(reports_out_of_order_do_not_shorten_lease);
  CPPUNIT_TEST_SUITE_END();

 public:
  void lapsed_proxy_becomes_absent_then_forgotten() {
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

  void budget_authority_ends_a_fiftieth_late() {
    CPPUNIT_ASSERT(budget_authority_end(at(0) + kLease, kLease) == at(3060));
  }

  void silent_proxy_queries_members_it_knows() {
    CPPUNIT_ASSERT(queried_by_all_from(at(0), 7, 7) == at(0));
    CPPUNIT_ASSERT(queried_by_all_from(at(0), 7, 8) == at(0));
    CPPUNIT_ASSERT_MESSAGE("the proxy may not know the member",
                           queried_by_all_from(at(0), 7, 6) == at(10'500));
  }

  void member_leases_end_after_pause() {
    CPPUNIT_ASSERT(member_lease_end(at(1000), at(0)) == at(1600));
    CPPUNIT_ASSERT(member_lease_end(at(1000), at(1601)) == at(1601));
    CPPUNIT_ASSERT_MESSAGE("outlasts a lease granted right before the pause",
                           member_lease_end(at(0), at(0)) > at(0) + registry::kMemberLease);
  }

  void spaces_reports_within_lease() {
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

  void lease_ends_one_duration_after_its_report() {
    ServingLeases leases(kLease);
    leases.begin_leadership(at(0));
    leases.grant(kProxy, 1, 7, at(1000));
    CPPUNIT_ASSERT(leases.end_of(kProxy, 1) == at(2500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, leases.revision_of(kProxy, 1));
  }

  void earlier_leaders_lease_ends_one_duration_after_election() {
    ServingLeases leases(kLease);
    leases.grant(kProxy, 1, 7, at(5000));
    leases.begin_leadership(at(0));
    CPPUNIT_ASSERT(leases.end_of(kProxy, 1) == at(1500));
    CPPUNIT_ASSERT(leases.end_of(NodeName("other"), 1) == at(1500));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("was reported to another leader", std::uint64_t{0},
                                 leases.revision_of(kProxy, 1));
    leases.grant(kProxy, 1, 7, at(-1000));
    CPPUNIT_ASSERT_MESSAGE("the later of the two bounds", leases.end_of(kProxy, 1) == at(1500));
  }

  void lease_belongs_to_one_incarnation() {
    ServingLeases leases(kLease);
    leases.begin_leadership(at(0));
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

  void reports_out_of_order_do_not_shorten_lease() {
    ServingLeases leases(kLease);
    leases.grant(kProxy, 1, 9, at(2000));
    leases.grant(kProxy, 1, 8, at(1000));
    CPPUNIT_ASSERT(leases.end_of(kProxy, 1) == at(3500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, leases.revision_of(kProxy, 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseBoundsTest);

}  // namespace cairnhollow::registered::control
