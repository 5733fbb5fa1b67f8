// Choice of the backend that runs a statement, and the reason given if there is none.
#include "registered/placement/backend_choice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cairnhollow::registered::placement {
namespace {

using std::chrono::milliseconds;
using Backends = std::vector<BackendFacts>;

BackendFacts replica(std::string_view name, double cost = 10) {
  BackendFacts facts;
  facts.name = name;
  facts.cost = cost;
  return facts;
}

BackendFacts primary() {
  BackendFacts facts = replica("primary", 20);
  facts.is_primary = true;
  return facts;
}

template <class Change>
BackendFacts with(BackendFacts facts, Change change) {
  change(facts);
  return facts;
}

BackendFacts leaving(BackendFacts facts) {
  return with(facts, [](auto& backend) { backend.leaving = true; });
}
BackendFacts leaving_too_long(BackendFacts facts) {
  return with(leaving(facts), [](auto& backend) { backend.leaving_grace_expired = true; });
}
BackendFacts of_closed_term(BackendFacts facts) {
  return with(facts, [](auto& backend) { backend.of_closed_term = true; });
}
BackendFacts tried(BackendFacts facts) {
  return with(facts, [](auto& backend) { backend.tried = true; });
}
BackendFacts avoided(BackendFacts facts) {
  return with(facts, [](auto& backend) { backend.avoided = true; });
}
BackendFacts refused(BackendFacts facts) {
  return with(facts, [](auto& backend) { backend.refused = true; });
}
BackendFacts lagging(BackendFacts facts) {
  return with(facts, [](auto& backend) { backend.lags = true; });
}
BackendFacts evacuated(BackendFacts facts) {
  return with(facts, [](auto& backend) { backend.zone_evacuated = true; });
}
BackendFacts outside(BackendFacts facts) {
  return with(facts, [](auto& backend) { backend.region_allowed = false; });
}
BackendFacts cold(BackendFacts facts, milliseconds retry_after = milliseconds(0)) {
  return with(facts, [retry_after](auto& backend) {
    backend.cold_limit_reached = true;
    backend.retry_after = retry_after;
  });
}

struct Row {
  std::string what;
  Backends backends;
  std::string chosen;  ///< empty: no backend
  RejectionReason rejection = RejectionReason::kNone;
  bool is_final = false;
};

void check(bool primary_only, const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    const BackendChoice choice = choose_backend(primary_only, row.backends);
    const std::string chosen(choice.backend ? row.backends.at(*choice.backend).name : "");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.chosen, chosen);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, std::string(rejection_name(row.rejection)),
                                 std::string(rejection_name(choice.rejection)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.is_final, choice.is_final);
  }
}

}  // namespace

class BackendChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendChoiceTest);
  CPPUNIT_TEST(primary_statements_run_only_at_the_primary);
  CPPUNIT_TEST(reads_use_the_cheapest_backend);
  CPPUNIT_TEST(reads_skip_unsuitable_backends);
  CPPUNIT_TEST(recently_failed_backends_are_the_last_choice);
  CPPUNIT_TEST(untrusted_primaries_serve_no_reads);
  CPPUNIT_TEST(reads_without_candidates_are_rejected);
  CPPUNIT_TEST(excluded_backends_get_no_new_work);
  CPPUNIT_TEST(retry_after_is_the_shortest_delay);
  CPPUNIT_TEST(finds_another_reader);
  CPPUNIT_TEST(warms_only_usable_backends);
  CPPUNIT_TEST(reports_the_rejection_of_each_backend);
  CPPUNIT_TEST_SUITE_END();

 public:
  void primary_statements_run_only_at_the_primary() {
    const BackendFacts other = replica("r1");
    check(true,
          {
              {"the primary", {primary(), other}, "primary"},
              {"no known primary", {other}, "", RejectionReason::kNoBackend},
              {"no backends", {}, "", RejectionReason::kNoBackend},
              {"group closed", {of_closed_term(primary()), other}, "", RejectionReason::kGroupClosed},
              {"draining, within its grace period", {leaving(primary()), other}, "primary"},
              {"draining for too long", {leaving_too_long(primary()), other}, "", RejectionReason::kLeaving},
              {"tried", {tried(primary()), other}, "", RejectionReason::kTried},
              {"avoided, but the only primary", {avoided(primary()), other}, "primary"},
              {"refused, but the only primary", {refused(primary()), other}, "primary"},
              {"evacuated", {evacuated(primary()), other}, "", RejectionReason::kZoneEvacuated, true},
              {"outside", {outside(primary()), other}, "", RejectionReason::kOutsideRegions, true},
              {"cold", {cold(primary()), other}, "", RejectionReason::kColdLimit, true},
              {"a closed term comes before evacuation",
               {of_closed_term(evacuated(primary())), other},
               "",
               RejectionReason::kGroupClosed},
              {"other backends don't matter", {primary(), evacuated(other)}, "primary"},
          });
  }

  void reads_use_the_cheapest_backend() {
    check(false, {
                     {"cheapest", {primary(), replica("r1", 12), replica("r2", 11)}, "r2"},
                     {"the first of equally cheap ones", {primary(), replica("r1"), replica("r2")}, "r1"},
                     {"the primary, when it is cheapest", {primary(), replica("r1", 30)}, "primary"},
                     {"the primary alone", {primary()}, "primary"},
                 });
  }

  void reads_skip_unsuitable_backends() {
    const BackendFacts dear = replica("dear", 15);
    check(false,
          {
              {"a draining replica", {primary(), leaving(replica("r1")), dear}, "dear"},
              {"a replica already tried", {primary(), tried(replica("r1")), dear}, "dear"},
              {"a lagging replica", {primary(), lagging(replica("r1")), dear}, "dear"},
              {"all lagging replicas", {primary(), lagging(replica("r1")), lagging(dear)}, "primary"},
              {"a lagging replica while the primary was tried",
               {tried(primary()), lagging(replica("r1"))},
               "",
               RejectionReason::kLags},
              {"lag does not matter without a primary", {lagging(replica("r1"))}, "r1"},
              {"a draining primary, for a costlier replica", {leaving(primary()), replica("r1", 90)}, "r1"},
              {"a draining primary if it is the only choice",
               {leaving(primary()), leaving(replica("r1"))},
               "primary"},
          });
  }

  void recently_failed_backends_are_the_last_choice() {
    const BackendFacts failed = avoided(replica("failed", 1));
    const BackendFacts full = refused(replica("full", 1));
    check(false, {
                     {"one that failed", {primary(), failed, replica("r1")}, "r1"},
                     {"one that rejects connections", {primary(), full, replica("r1")}, "r1"},
                     {"after the primary", {primary(), failed, full}, "primary"},
                     {"after a primary that failed, too", {avoided(primary()), failed}, "primary"},
                     {"when all others were tried", {tried(primary()), failed, full}, "failed"},
                     {"the cheapest of those that failed",
                      {tried(primary()), failed, avoided(replica("cheaper", 0.5))},
                      "cheaper"},
                 });
  }

  void untrusted_primaries_serve_no_reads() {
    const BackendFacts closed = with(of_closed_term(primary()), [](auto& backend) { backend.cost = 1; });
    check(
        false,
        {
            {"group closed", {closed, replica("r1")}, "r1"},
            {"group closed, no replica", {closed}, "", RejectionReason::kGroupClosed},
            {"group closed, a lagging replica", {closed, lagging(replica("r1"))}, "r1"},
            {"a primary draining for too long", {leaving_too_long(primary()), lagging(replica("r1"))}, "r1"},
        });
  }

  void reads_without_candidates_are_rejected() {
    check(
        false,
        {
            {"no backends", {}, "", RejectionReason::kNoBackend},
            {"all tried", {tried(primary()), tried(replica("r1"))}, "", RejectionReason::kTried},
            {"all draining", {leaving(replica("r1")), leaving(replica("r2"))}, "", RejectionReason::kLeaving},
        });
  }

  void excluded_backends_get_no_new_work() {
    const BackendFacts other = replica("r2", 50);
    check(
        false,
        {
            {"evacuated", {evacuated(replica("r1")), other}, "r2"},
            {"outside", {outside(replica("r1")), other}, "r2"},
            {"cold", {cold(replica("r1")), other}, "r2"},
            {"an evacuated primary", {evacuated(primary()), other}, "r2"},
            {"a lagging replica before an evacuated primary", {evacuated(primary()), lagging(other)}, "r2"},
            {"one that failed before a cold primary", {cold(primary()), avoided(other)}, "r2"},
            {"all evacuated",
             {evacuated(primary()), evacuated(other)},
             "",
             RejectionReason::kZoneEvacuated,
             true},
            {"all outside", {outside(primary()), outside(other)}, "", RejectionReason::kOutsideRegions, true},
            {"all cold", {cold(primary()), cold(other)}, "", RejectionReason::kColdLimit, true},
            {"a draining replica is not waited for",
             {evacuated(primary()), leaving(other)},
             "",
             RejectionReason::kZoneEvacuated,
             true},
            {"one already tried may serve later",
             {evacuated(replica("r1")), tried(primary())},
             "",
             RejectionReason::kTried},
            {"a primary of a closed term may serve later",
             {of_closed_term(primary()), evacuated(other)},
             "",
             RejectionReason::kGroupClosed},
            {"evacuation is expected to end before a region rule",
             {outside(primary()), evacuated(other)},
             "",
             RejectionReason::kZoneEvacuated,
             true},
            {"a cold limit is expected to end first",
             {cold(replica("r1")), outside(primary()), evacuated(other)},
             "",
             RejectionReason::kColdLimit,
             true},
        });
  }

  void retry_after_is_the_shortest_delay() {
    const Backends both{cold(replica("r1"), milliseconds(900)), cold(replica("r2"), milliseconds(400))};
    CPPUNIT_ASSERT(choose_backend(false, both).retry_after == Duration(milliseconds(400)));
    const Backends leader{cold(primary(), milliseconds(700)), cold(replica("r2"), milliseconds(400))};
    CPPUNIT_ASSERT(choose_backend(true, leader).retry_after == Duration(milliseconds(700)));
    CPPUNIT_ASSERT(choose_backend(false, leader).retry_after == Duration(milliseconds(400)));
  }

  void finds_another_reader() {
    CPPUNIT_ASSERT(has_other_reader(false, Backends{tried(replica("r1")), replica("r2")}));
    CPPUNIT_ASSERT(has_other_reader(false, Backends{tried(replica("r1")), primary()}));
    CPPUNIT_ASSERT(!has_other_reader(false, Backends{tried(replica("r1"))}));
    CPPUNIT_ASSERT(!has_other_reader(false, Backends{tried(replica("r1")), avoided(replica("r2"))}));
    CPPUNIT_ASSERT(!has_other_reader(false, Backends{tried(replica("r1")), lagging(replica("r2"))}));
    CPPUNIT_ASSERT(!has_other_reader(false, Backends{tried(replica("r1")), evacuated(replica("r2"))}));
    CPPUNIT_ASSERT_MESSAGE("rejecting connections is no failure",
                           has_other_reader(false, Backends{tried(replica("r1")), refused(replica("r2"))}));
  }

  void warms_only_usable_backends() {
    CPPUNIT_ASSERT(may_be_warmed(primary()));
    CPPUNIT_ASSERT(may_be_warmed(refused(replica("r1"))));
    for (const BackendFacts& backend :
         {leaving(primary()), avoided(primary()), evacuated(primary()), outside(primary()), cold(primary())})
      CPPUNIT_ASSERT(!may_be_warmed(backend));
  }

  void reports_the_rejection_of_each_backend() {
    const Backends group{primary(), lagging(replica("r1"))};
    CPPUNIT_ASSERT(rejection_at(group[1], false, group) == RejectionReason::kLags);
    CPPUNIT_ASSERT(rejection_at(group[1], true, group) == RejectionReason::kNone);
    const Backends closed{evacuated(primary()), lagging(replica("r1"))};
    CPPUNIT_ASSERT(rejection_at(closed[0], true, closed) == RejectionReason::kZoneEvacuated);
    CPPUNIT_ASSERT(rejection_at(closed[0], false, closed) == RejectionReason::kZoneEvacuated);
    CPPUNIT_ASSERT(rejection_at(closed[1], false, closed) == RejectionReason::kNone);
    const BackendFacts all_at_once = outside(evacuated(cold(primary())));
    CPPUNIT_ASSERT(rejection_of_new_work(all_at_once) == RejectionReason::kOutsideRegions);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendChoiceTest);

}  // namespace cairnhollow::registered::placement
