// Tests the failover rules: when a primary is replaced, when it must not be, and by which member.
#include "declared/control/failover/failover_rules.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::declared::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kTerm = 4;

BackendName name(int number) { return BackendName("backend-" + std::to_string(number)); }

MemberObservation make_member(int number, backend::BackendRole role) {
  MemberObservation seen;
  seen.member.backend = name(number);
  seen.member.zone = ZoneName("zone-" + std::to_string(number));
  seen.answering = true;
  backend::BackendStatus status;
  status.backend = name(number);
  status.term = kTerm;
  status.role = role;
  status.primary = name(1);
  status.primary_heard = true;
  status.last = Position{kTerm, 100};
  status.members = {name(1), name(2), name(3)};
  seen.status = status;
  return seen;
}

/// Three healthy members; backend-1 is the primary.
GroupObservation sound_group() {
  GroupObservation group;
  group.known = follow::GroupState{GroupName("decks"), kTerm, name(1)};
  group.members.push_back(make_member(1, backend::BackendRole::kPrimary));
  group.members.push_back(make_member(2, backend::BackendRole::kReplica));
  group.members.push_back(make_member(3, backend::BackendRole::kReplica));
  group.observed_for = seconds(60);
  return group;
}

void silence(MemberObservation& member, Duration silent_for) {
  member.answering = false;
  member.silent_for = silent_for;
  member.failures_in_a_row = 1;
}

void stop_hearing_primary(GroupObservation& group) {
  for (auto& member : group.members) {
    if (member.member.backend != group.known.primary) member.status->primary_heard = false;
  }
}

FailoverCause cause_of(const GroupObservation& group) { return decide_failover(group, {}).cause; }

FenceGrant grant(int number, Position last, const std::string& zone = "", bool leaving = false) {
  FenceGrant given;
  given.member.backend = name(number);
  given.member.zone = ZoneName(zone);
  given.member.leaving = leaving;
  given.last = last;
  return given;
}

class FailoverRulesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailoverRulesTest);
  CPPUNIT_TEST(test_sound_group_is_left_alone);
  CPPUNIT_TEST(test_silent_primary_is_replaced);
  CPPUNIT_TEST(test_silent_primary_that_replicas_hear_stays);
  CPPUNIT_TEST(test_primary_that_refuses_is_replaced_at_once_and_one_in_silence_later);
  CPPUNIT_TEST(test_one_missed_probe_is_not_enough);
  CPPUNIT_TEST(test_suspicion_alone_is_not_enough);
  CPPUNIT_TEST(test_suspicion_with_failed_probe_is_enough);
  CPPUNIT_TEST(test_unreachable_to_proxies_and_control_is_replaced_late);
  CPPUNIT_TEST(test_nothing_is_done_without_a_majority);
  CPPUNIT_TEST(test_primary_unheard_by_a_majority_is_replaced);
  CPPUNIT_TEST(test_primary_unheard_by_one_stays);
  CPPUNIT_TEST(test_restarted_primary_lost_its_role);
  CPPUNIT_TEST(test_member_ahead);
  CPPUNIT_TEST(test_leaving_primary_hands_over_only_to_one_that_can);
  CPPUNIT_TEST(test_leaving_primary_stays_while_too_few_others_answer);
  CPPUNIT_TEST(test_bootstrap_waits_for_all_or_the_first_look);
  CPPUNIT_TEST(test_voting_members_come_from_the_database);
  CPPUNIT_TEST(test_redirect_only_what_follows_another);
  CPPUNIT_TEST(test_highest_position_wins_over_every_preference);
  CPPUNIT_TEST(test_preferences_among_equals);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_sound_group_is_left_alone() {
    CPPUNIT_ASSERT(cause_of(sound_group()) == FailoverCause::kNone);
    CPPUNIT_ASSERT(members_to_redirect(sound_group()).empty());
  }

  void test_silent_primary_is_replaced() {
    auto group = sound_group();
    silence(group.members[0], milliseconds(400));
    stop_hearing_primary(group);
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kPrimarySilent);
  }

  void test_silent_primary_that_replicas_hear_stays() {
    auto group = sound_group();
    silence(group.members[0], seconds(2));
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
    // The primary and one replica in contact with it form a majority.
    group.members[1].status->primary_heard = false;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void test_primary_that_refuses_is_replaced_at_once_and_one_in_silence_later() {
    auto group = sound_group();
    silence(group.members[0], milliseconds(400));
    stop_hearing_primary(group);
    // Silence may be packet loss; the delay must exceed the second TCP retransmission.
    CPPUNIT_ASSERT(decide_failover(group, {}).after >= milliseconds(300));
    group.members[0].refused = true;
    CPPUNIT_ASSERT(decide_failover(group, {}).cause == FailoverCause::kPrimarySilent);
    CPPUNIT_ASSERT(decide_failover(group, {}).after == Duration(0));
  }

  void test_one_missed_probe_is_not_enough() {
    auto group = sound_group();
    silence(group.members[0], milliseconds(120));
    stop_hearing_primary(group);
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void test_suspicion_alone_is_not_enough() {
    auto group = sound_group();
    group.suspected = true;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void test_suspicion_with_failed_probe_is_enough() {
    auto group = sound_group();
    group.suspected = true;
    silence(group.members[0], milliseconds(30));
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
    stop_hearing_primary(group);
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kPrimarySilent);
  }

  void test_unreachable_to_proxies_and_control_is_replaced_late() {
    auto group = sound_group();
    silence(group.members[0], seconds(4));
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
    group.suspected = true;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kPrimaryUnreachable);
    group.members[0].silent_for = seconds(2);
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void test_nothing_is_done_without_a_majority() {
    auto group = sound_group();
    silence(group.members[0], seconds(10));
    silence(group.members[1], seconds(10));
    stop_hearing_primary(group);
    group.suspected = true;
    CPPUNIT_ASSERT(!majority_answers(group));
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void test_primary_unheard_by_a_majority_is_replaced() {
    auto group = sound_group();
    stop_hearing_primary(group);
    const FailoverDecision decision = decide_failover(group, {});
    CPPUNIT_ASSERT(decision.cause == FailoverCause::kPrimaryUnheard);
    CPPUNIT_ASSERT(decision.after > Duration(0));
  }

  void test_primary_unheard_by_one_stays() {
    auto group = sound_group();
    group.members[1].status->primary_heard = false;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
    // A replica that does not answer is no evidence against the primary.
    silence(group.members[2], seconds(10));
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void test_restarted_primary_lost_its_role() {
    auto group = sound_group();
    group.members[0].status->role = backend::BackendRole::kReplica;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kPrimaryLostRole);
  }

  void test_member_ahead() {
    auto group = sound_group();
    group.members[2].status->term = kTerm + 1;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kMemberAhead);
  }

  void test_leaving_primary_hands_over_only_to_one_that_can() {
    auto group = sound_group();
    group.members[0].member.leaving = true;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kPrimaryLeaving);
    group.members[1].member.leaving = true;
    group.members[2].status->primary_heard = false;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void test_leaving_primary_stays_while_too_few_others_answer() {
    auto group = sound_group();
    group.members[0].member.leaving = true;
    CPPUNIT_ASSERT(can_hand_over(group));
    silence(group.members[2], milliseconds(100));
    CPPUNIT_ASSERT(!can_hand_over(group));
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void test_bootstrap_waits_for_all_or_the_first_look() {
    auto group = sound_group();
    group.known = follow::GroupState{GroupName("decks"), 0, BackendName()};
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNoPrimary);
    silence(group.members[2], milliseconds(100));
    group.members[2].status.reset();
    group.observed_for = milliseconds(100);
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
    group.observed_for = milliseconds(600);
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNoPrimary);
  }

  void test_voting_members_come_from_the_database() {
    auto group = sound_group();
    // Two of the three declared members are not a majority of the five that the database reports.
    for (auto& member : group.members) member.status->members = {name(1), name(2), name(3), name(4), name(5)};
    silence(group.members[0], seconds(10));
    stop_hearing_primary(group);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, voting_members(group));
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void test_redirect_only_what_follows_another() {
    auto group = sound_group();
    group.members[1].status->primary = name(3);
    group.members[2].status->term = kTerm + 1;
    const std::vector<BackendName> expected{name(2)};
    CPPUNIT_ASSERT(members_to_redirect(group) == expected);
  }

  void test_highest_position_wins_over_every_preference() {
    CandidatePreference preference;
    preference.preferred = name(1);
    const std::vector<FenceGrant> grants{grant(1, {3, 90}), grant(2, {4, 10}, "", true), grant(3, {3, 99})};
    // A higher term beats any index of a lower term.
    CPPUNIT_ASSERT(choose_candidate(grants, preference)->backend == name(2));
    CPPUNIT_ASSERT(!choose_candidate({}, preference));
  }

  void test_preferences_among_equals() {
    const Position last{3, 90};
    CandidatePreference preference;
    preference.primaries_in_zone[ZoneName("a")] = 2;
    std::vector<FenceGrant> grants{grant(1, last, "a"), grant(2, last, "b", true), grant(3, last, "c")};
    CPPUNIT_ASSERT(choose_candidate(grants, preference)->backend == name(3));
    preference.primaries_in_zone[ZoneName("c")] = 3;
    CPPUNIT_ASSERT(choose_candidate(grants, preference)->backend == name(1));
    preference.preferred = name(2);
    CPPUNIT_ASSERT(choose_candidate(grants, preference)->backend == name(2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverRulesTest);

}  // namespace
}  // namespace cairnhollow::declared::control
