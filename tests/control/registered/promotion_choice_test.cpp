// Who may follow a primary that was given up: only who provably holds every acknowledged commit.
#include "control/registered/promotion_choice.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::control::registered {

namespace {

MemberFinding finding(const std::string& name, std::optional<session::BackendStatus> status,
                      bool leaving = false) {
  MemberFinding member;
  member.entry.name = BackendName(name);
  member.entry.leaving = leaving;
  member.status = status;
  return member;
}

session::BackendStatus replica(std::uint64_t index, std::uint64_t term = 3) {
  return {false, term, {term, index}};
}
session::BackendStatus leading(std::uint64_t index, std::uint64_t term = 3) {
  return {true, term, {term, index}};
}

PromotionFacts facts(std::vector<MemberFinding> members) {
  PromotionFacts all;
  all.closed.group = GroupName("records");
  all.closed.term = 3;
  all.closed.primary = BackendName("old");
  all.synchronous_replicas = 1;
  all.members = std::move(members);
  return all;
}

/// "b" is the furthest; at "a" two more of the group's routes may write.
PromotionFacts facts_with_regions() {
  auto known = facts({finding("old", std::nullopt), finding("a", replica(8)), finding("b", replica(9))});
  known.allowing_routes = {{BackendName("a"), 3}, {BackendName("b"), 1}, {BackendName("old"), 5}};
  return known;
}

}  // namespace

class PromotionChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromotionChoiceTest);
  CPPUNIT_TEST(the_furthest_of_all_replicas);
  CPPUNIT_TEST(not_with_a_replica_missing);
  CPPUNIT_TEST(with_a_replica_missing_by_what_proxies_acknowledged);
  CPPUNIT_TEST(not_when_a_proxy_acknowledged_more);
  CPPUNIT_TEST(of_all_replicas_when_nobody_has_left_whatever_position_was_shown);
  CPPUNIT_TEST(by_the_old_primary_itself);
  CPPUNIT_TEST(the_old_primary_is_used_again_while_nobody_may_follow);
  CPPUNIT_TEST(a_primary_of_a_newer_term_is_adopted);
  CPPUNIT_TEST(of_equal_ones_who_stays);
  CPPUNIT_TEST(not_without_a_synchronous_replica);
  CPPUNIT_TEST(of_proved_ones_where_most_routes_may_write);
  CPPUNIT_TEST(a_region_never_stands_in_for_the_proof);
  CPPUNIT_TEST_SUITE_END();

 public:
  void the_furthest_of_all_replicas() {
    const auto choice = choose_promotion(
        facts({finding("old", std::nullopt), finding("a", replica(7)), finding("b", replica(9))}), true);
    CPPUNIT_ASSERT(choice.verdict == PromotionVerdict::kPromote);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), choice.backend.value);
  }

  void not_with_a_replica_missing() {
    const auto choice = choose_promotion(
        facts({finding("old", std::nullopt), finding("a", replica(7)), finding("b", std::nullopt)}), true);
    CPPUNIT_ASSERT(choice.verdict == PromotionVerdict::kNotYet);
  }

  void with_a_replica_missing_by_what_proxies_acknowledged() {
    auto known = facts({finding("old", std::nullopt), finding("a", replica(7)), finding("b", std::nullopt)});
    known.all_acknowledgers_answered = true;
    known.highest_acknowledged = {3, 7};
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kPromote);
  }

  void not_when_a_proxy_acknowledged_more() {
    auto known = facts({finding("old", std::nullopt), finding("a", replica(7)), finding("b", std::nullopt)});
    known.all_acknowledgers_answered = true;
    known.highest_acknowledged = {3, 8};
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
    // Also with all replicas there: the commit may be on one that was replaced meanwhile.
    known.members.back().status = replica(6);
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
  }

  /// A proxy notes where the primary's log was after a commit: others' commits under way are in it.
  void of_all_replicas_when_nobody_has_left_whatever_position_was_shown() {
    auto known = facts({finding("old", leading(9)), finding("a", replica(7)), finding("b", replica(6))});
    known.all_acknowledgers_answered = true;
    known.highest_acknowledged = {3, 8};
    known.members_are_stable = true;
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kPromote);
    known.members_are_stable = false;
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kReopen);
  }

  void by_the_old_primary_itself() {
    const auto reaches =
        facts({finding("old", leading(7), true), finding("a", replica(7)), finding("b", std::nullopt)});
    CPPUNIT_ASSERT(choose_promotion(reaches, true).verdict == PromotionVerdict::kPromote);
    const auto lacks =
        facts({finding("old", leading(8), true), finding("a", replica(7)), finding("b", std::nullopt)});
    CPPUNIT_ASSERT(choose_promotion(lacks, true).verdict == PromotionVerdict::kNotYet);
  }

  void the_old_primary_is_used_again_while_nobody_may_follow() {
    const auto again =
        facts({finding("old", leading(8)), finding("a", replica(7)), finding("b", std::nullopt)});
    CPPUNIT_ASSERT(choose_promotion(again, true).verdict == PromotionVerdict::kReopen);
    CPPUNIT_ASSERT(choose_promotion(again, false).verdict == PromotionVerdict::kNotYet);
  }

  void a_primary_of_a_newer_term_is_adopted() {
    const auto choice = choose_promotion(
        facts({finding("old", leading(9)), finding("a", leading(7, 4)), finding("b", replica(7))}), true);
    CPPUNIT_ASSERT(choice.verdict == PromotionVerdict::kAdopt);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, choice.term);
  }

  void of_equal_ones_who_stays() {
    const auto choice = choose_promotion(
        facts({finding("old", std::nullopt), finding("a", replica(7), true), finding("b", replica(7))}),
        true);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), choice.backend.value);
  }

  void not_without_a_synchronous_replica() {
    auto loose = facts({finding("old", std::nullopt), finding("a", replica(7)), finding("b", replica(9))});
    loose.synchronous_replicas = 0;
    CPPUNIT_ASSERT(choose_promotion(loose, true).verdict == PromotionVerdict::kNotYet);
  }

  void of_proved_ones_where_most_routes_may_write() {
    auto known = facts_with_regions();
    known.all_acknowledgers_answered = true;
    known.highest_acknowledged = {3, 8};
    const auto choice = choose_promotion(known, true);
    CPPUNIT_ASSERT(choice.verdict == PromotionVerdict::kPromote);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), choice.backend.value);
    CPPUNIT_ASSERT_EQUAL(std::string("it reaches the highest position that any proxy acknowledged; 3 of the "
                                     "group's routes may write there, 1 at b"),
                         choice.why);
    known.members[1].entry.leaving = true;
    CPPUNIT_ASSERT_EQUAL(std::string("b"), choose_promotion(known, true).backend.value);
    known.members[1].entry.leaving = false;
    known.allowing_routes.clear();
    CPPUNIT_ASSERT_EQUAL(std::string("b"), choose_promotion(known, true).backend.value);
  }

  void a_region_never_stands_in_for_the_proof() {
    auto known = facts_with_regions();
    // Only the furthest of all replicas is proved: an acknowledged commit may be on it and not on the other.
    CPPUNIT_ASSERT_EQUAL(std::string("b"), choose_promotion(known, true).backend.value);
    known.all_acknowledgers_answered = true;
    known.highest_acknowledged = {3, 9};
    CPPUNIT_ASSERT_EQUAL(std::string("b"), choose_promotion(known, true).backend.value);
    // The old primary answers, and holds what only the furthest has as well.
    known.all_acknowledgers_answered = false;
    known.members[0].status = leading(9);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), choose_promotion(known, true).backend.value);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionChoiceTest);

}  // namespace cairnhollow::control::registered
