// Who may follow a primary that was given up: only who provably holds every acknowledged commit.
#include "registered/control/failover/promotion_choice.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::registered::control {

namespace {

MemberFinding finding(const std::string& name, std::optional<BackendStatus> status, bool leaving = false) {
  MemberFinding member;
  member.entry.name = BackendName(name);
  member.entry.leaving = leaving;
  member.status = status;
  return member;
}

MemberFinding evacuated(MemberFinding member) {
  member.evacuated = true;
  return member;
}

BackendStatus replica(std::uint64_t index, std::uint64_t term = 3) { return {false, term, {term, index}}; }
BackendStatus leading(std::uint64_t index, std::uint64_t term = 3) { return {true, term, {term, index}}; }

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
  CPPUNIT_TEST(not_by_a_primary_that_answers_with_nothing);
  CPPUNIT_TEST(a_restarted_primary_is_not_the_old_one);
  CPPUNIT_TEST(a_replica_without_its_log_was_not_compared);
  CPPUNIT_TEST(a_replaced_incarnation_may_have_been_the_only_one_to_hold_a_commit);
  CPPUNIT_TEST(nothing_left_keeps_to_the_furthest);
  CPPUNIT_TEST(the_primarys_next_incarnation_may_have_its_log);
  CPPUNIT_TEST(who_joined_in_the_term_needs_entries_of_it);
  CPPUNIT_TEST(a_newer_primary_without_a_log_is_not_adopted);
  CPPUNIT_TEST(a_primary_without_what_proxies_acknowledged_is_not_the_old_one);
  CPPUNIT_TEST(a_group_without_commits_gets_a_primary);
  CPPUNIT_TEST(one_outside_evacuated_zones_comes_first);
  CPPUNIT_TEST(one_outside_that_is_behind_proves_nothing_by_being_the_furthest_there);
  CPPUNIT_TEST(one_inside_follows_a_dead_primary_when_nobody_outside_is_proved);
  CPPUNIT_TEST(nobody_inside_follows_a_primary_that_runs);
  CPPUNIT_TEST(an_evacuated_primary_that_runs_is_not_used_again_while_one_outside_catches_up);
  CPPUNIT_TEST(an_evacuated_primary_leads_on_where_nobody_is_outside);
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

  void one_outside_evacuated_zones_comes_first() {
    const auto equal = choose_promotion(
        facts({finding("old", std::nullopt), evacuated(finding("a", replica(9))), finding("b", replica(9))}),
        true);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), equal.backend.value);
    auto known =
        facts({finding("old", std::nullopt), evacuated(finding("a", replica(9))), finding("b", replica(7))});
    known.all_acknowledgers_answered = true;
    known.highest_acknowledged = {3, 7};
    const auto behind = choose_promotion(known, true);
    CPPUNIT_ASSERT(behind.verdict == PromotionVerdict::kPromote);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("it holds all that was acknowledged", std::string("b"),
                                 behind.backend.value);
  }

  void one_outside_that_is_behind_proves_nothing_by_being_the_furthest_there() {
    auto known =
        facts({finding("old", leading(9)), evacuated(finding("a", replica(9))), finding("b", replica(7))});
    known.members_are_stable = true;
    const auto choice = choose_promotion(known, false);
    CPPUNIT_ASSERT(choice.verdict == PromotionVerdict::kNotYet);
  }

  void one_inside_follows_a_dead_primary_when_nobody_outside_is_proved() {
    auto known =
        facts({finding("old", std::nullopt), evacuated(finding("a", replica(9))), finding("b", replica(7))});
    known.members_are_stable = true;
    const auto choice = choose_promotion(known, true);
    CPPUNIT_ASSERT(choice.verdict == PromotionVerdict::kPromote);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no commit is lost", std::string("a"), choice.backend.value);
  }

  void nobody_inside_follows_a_primary_that_runs() {
    const auto choice = choose_promotion(
        facts({finding("old", leading(9)), evacuated(finding("a", replica(9))), finding("b", replica(7))}),
        true);
    CPPUNIT_ASSERT(choice.verdict == PromotionVerdict::kReopen);
  }

  void an_evacuated_primary_that_runs_is_not_used_again_while_one_outside_catches_up() {
    auto known =
        facts({evacuated(finding("old", leading(9))), finding("a", replica(8)), finding("b", replica(7))});
    known.highest_acknowledged = {3, 9};
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
    known.members.front().evacuated = false;
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kReopen);
  }

  void an_evacuated_primary_leads_on_where_nobody_is_outside() {
    const auto choice =
        choose_promotion(facts({evacuated(finding("old", leading(9))), evacuated(finding("a", replica(9))),
                                evacuated(finding("b", replica(7)))}),
                         true);
    CPPUNIT_ASSERT(choice.verdict == PromotionVerdict::kReopen);
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

  void not_by_a_primary_that_answers_with_nothing() {
    // It started again and has not registered yet: its former incarnation's position is not known.
    auto known = facts({incarnation("old", 1000, replica(0)), incarnation("a", 1000, replica(7)),
                        incarnation("b", 1000, std::nullopt)});
    known.closed.primary_start_time_ms = 1000;
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
    known.members.front().status = leading(0);
    CPPUNIT_ASSERT_MESSAGE("nor used again",
                           choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
    known.members.front().status = leading(7);
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kPromote);
    known.members.front().status = leading(8);
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kReopen);
  }

  void a_restarted_primary_is_not_the_old_one() {
    auto known = facts({incarnation("old", 2000, leading(3)), incarnation("a", 1000, replica(7)),
                        incarnation("b", 1000, std::nullopt)});
    known.closed.primary_start_time_ms = 1000;
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
    known.all_acknowledgers_answered = true;
    known.highest_acknowledged = {3, 7};
    const auto choice = choose_promotion(known, true);
    CPPUNIT_ASSERT(choice.verdict == PromotionVerdict::kPromote && !choice.is_unproved);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), choice.backend.value);
    // It came back with its log, as primary: then it may go on, as the incarnation that it is.
    known.members.front().status = leading(8);
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kReopen);
  }

  void a_replica_without_its_log_was_not_compared() {
    auto known = facts({incarnation("old", 1000, std::nullopt), incarnation("a", 1000, replica(7)),
                        incarnation("b", 1000, replica(0))});
    known.members_are_stable = true;
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
    for (MemberFinding& member : known.members) member.entry.start_time_ms = 0;
    CPPUNIT_ASSERT_MESSAGE("who tells no start loses no log",
                           choose_promotion(known, true).verdict == PromotionVerdict::kPromote);
  }

  void a_replaced_incarnation_may_have_been_the_only_one_to_hold_a_commit() {
    auto known = facts({incarnation("old", 1000, std::nullopt), incarnation("a", 1000, replica(7)),
                        incarnation("b", 2000, replica(5))});
    known.highest_acknowledged = {3, 6};  // a proxy did not answer
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kPromote);
    known.replaced_incarnation_is_unsettled = true;
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
    known.all_acknowledgers_answered = true;
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kPromote);
  }

  void nothing_left_keeps_to_the_furthest() {
    // Both that held the newest commits started again.
    auto known = facts({incarnation("old", 2000, replica(0)), incarnation("a", 1000, replica(7)),
                        incarnation("b", 2000, replica(0))});
    known.closed.primary_start_time_ms = 1000;
    known.replaced_incarnation_is_unsettled = true;
    known.highest_acknowledged = {3, 9};
    const auto choice = choose_promotion(known, true);
    CPPUNIT_ASSERT(choice.verdict == PromotionVerdict::kPromote && choice.is_unproved);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), choice.backend.value);
    known.members.back().status.reset();
    CPPUNIT_ASSERT_MESSAGE("one that does not answer may hold them",
                           choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
    known.members.back().status = replica(0);
    known.members.front().entry.start_time_ms = 1000;
    CPPUNIT_ASSERT_MESSAGE("so may the old primary's incarnation",
                           choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
  }

  void the_primarys_next_incarnation_may_have_its_log() {
    auto known = facts({incarnation("old", 2000, std::nullopt), incarnation("a", 1000, replica(7)),
                        incarnation("b", 2000, replica(5))});
    known.closed.primary_start_time_ms = 1000;
    known.replaced_incarnation_is_unsettled = true;
    known.highest_acknowledged = {3, 9};
    CPPUNIT_ASSERT_MESSAGE("it has not said what it holds",
                           choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
    known.members.front().status = replica(9);
    const auto with_log = choose_promotion(known, true);
    CPPUNIT_ASSERT(with_log.verdict == PromotionVerdict::kPromote);
    CPPUNIT_ASSERT_EQUAL(std::string("old"), with_log.backend.value);
    known.members.front().status = replica(0);
    const auto without_log = choose_promotion(known, true);
    CPPUNIT_ASSERT(without_log.verdict == PromotionVerdict::kPromote && without_log.is_unproved);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), without_log.backend.value);
  }

  void who_joined_in_the_term_needs_entries_of_it() {
    // No proxy acknowledged anything in this term; those that did before have started again since.
    auto known = facts({incarnation("old", 1000, std::nullopt),
                        incarnation("a", 2000, BackendStatus{false, 3, {2, 5}}),
                        incarnation("b", 1000, std::nullopt)});
    known.all_acknowledgers_answered = true;
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kPromote);
    known.members[1].joined_in_term = true;
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
    known.members[1].status = replica(6);
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kPromote);
    known.members[1].joined_in_term = false;
    known.members[1].status = replica(0);
    known.closed.epoch = 4;
    CPPUNIT_ASSERT_MESSAGE("it may have joined unregistered",
                           choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
  }

  void a_newer_primary_without_a_log_is_not_adopted() {
    auto known = facts({incarnation("old", 1000, std::nullopt), incarnation("a", 1000, leading(0, 4)),
                        incarnation("b", 1000, replica(7))});
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
    known.members[1].status = leading(6, 4);
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kAdopt);
  }

  void a_primary_without_what_proxies_acknowledged_is_not_the_old_one() {
    // Both answer in a next incarnation that has not registered; the other replica does not answer.
    auto known = facts({incarnation("old", 1000, leading(0)), incarnation("a", 1000, replica(0)),
                        incarnation("b", 1000, std::nullopt)});
    known.closed.primary_start_time_ms = 1000;
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kPromote);
    known.highest_acknowledged = {3, 4};
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
  }

  void a_group_without_commits_gets_a_primary() {
    auto known = facts({incarnation("old", 1000, std::nullopt), incarnation("a", 1000, replica(0)),
                        incarnation("b", 1000, std::nullopt)});
    known.members_are_stable = true;
    known.closed.epoch = 2;
    known.all_acknowledgers_answered = true;
    CPPUNIT_ASSERT(choose_promotion(known, true).verdict == PromotionVerdict::kPromote);
    known.members.back().status = replica(0);
    known.all_acknowledgers_answered = false;
    CPPUNIT_ASSERT_MESSAGE("a proxy was lost that may know better",
                           choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
    known.all_acknowledgers_answered = true;
    known.closed.epoch = 4;
    CPPUNIT_ASSERT_MESSAGE("there may be commits of an earlier term",
                           choose_promotion(known, true).verdict == PromotionVerdict::kNotYet);
    known.members.front().status = leading(0);
    CPPUNIT_ASSERT_MESSAGE("the primary shows that there is none",
                           choose_promotion(known, true).verdict == PromotionVerdict::kPromote);
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

 private:
  static MemberFinding incarnation(const std::string& name, std::uint64_t start_time_ms,
                                   std::optional<BackendStatus> status) {
    MemberFinding member = finding(name, status);
    member.entry.start_time_ms = start_time_ms;
    return member;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionChoiceTest);

}  // namespace cairnhollow::registered::control
