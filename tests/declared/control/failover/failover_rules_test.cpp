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
GroupObservation healthy_group() {
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

void lose_contact_with_primary(GroupObservation& group) {
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
  CPPUNIT_TEST(keeps_healthy_group_unchanged);
  CPPUNIT_TEST(replaces_silent_primary);
  CPPUNIT_TEST(keeps_silent_primary_in_contact_with_replicas);
  CPPUNIT_TEST(replaces_refusing_primary_at_once_and_unresponsive_one_after_delay);
  CPPUNIT_TEST(keeps_primary_after_one_missed_probe);
  CPPUNIT_TEST(keeps_primary_on_suspicion_alone);
  CPPUNIT_TEST(replaces_suspected_primary_after_failed_probe);
  CPPUNIT_TEST(replaces_primary_unreachable_from_proxies_and_control_after_delay);
  CPPUNIT_TEST(takes_no_action_without_majority);
  CPPUNIT_TEST(replaces_primary_without_contact_to_majority);
  CPPUNIT_TEST(keeps_primary_without_contact_to_one_replica);
  CPPUNIT_TEST(detects_restarted_primary_that_lost_its_role);
  CPPUNIT_TEST(detects_member_at_higher_term);
  CPPUNIT_TEST(leaving_primary_hands_over_only_to_suitable_member);
  CPPUNIT_TEST(keeps_leaving_primary_while_too_few_others_answer);
  CPPUNIT_TEST(bootstrap_waits_for_all_members_or_initial_observation);
  CPPUNIT_TEST(counts_voting_members_reported_by_database);
  CPPUNIT_TEST(redirects_only_members_following_another_primary);
  CPPUNIT_TEST(highest_position_overrides_preferences);
  CPPUNIT_TEST(applies_preferences_among_equal_positions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void keeps_healthy_group_unchanged() {
    CPPUNIT_ASSERT(cause_of(healthy_group()) == FailoverCause::kNone);
    CPPUNIT_ASSERT(members_to_redirect(healthy_group()).empty());
  }

  void replaces_silent_primary() {
    auto group = healthy_group();
    silence(group.members[0], milliseconds(400));
    lose_contact_with_primary(group);
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kPrimarySilent);
  }

  void keeps_silent_primary_in_contact_with_replicas() {
    auto group = healthy_group();
    silence(group.members[0], seconds(2));
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
    // The primary and one replica in contact with it form a majority.
    group.members[1].status->primary_heard = false;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void replaces_refusing_primary_at_once_and_unresponsive_one_after_delay() {
    auto group = healthy_group();
    silence(group.members[0], milliseconds(400));
    lose_contact_with_primary(group);
    // Silence may be packet loss; the delay must exceed the second TCP retransmission.
    CPPUNIT_ASSERT(decide_failover(group, {}).delay >= milliseconds(300));
    group.members[0].refused = true;
    CPPUNIT_ASSERT(decide_failover(group, {}).cause == FailoverCause::kPrimarySilent);
    CPPUNIT_ASSERT(decide_failover(group, {}).delay == Duration(0));
  }

  void keeps_primary_after_one_missed_probe() {
    auto group = healthy_group();
    silence(group.members[0], milliseconds(120));
    lose_contact_with_primary(group);
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void keeps_primary_on_suspicion_alone() {
    auto group = healthy_group();
    group.suspected = true;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void replaces_suspected_primary_after_failed_probe() {
    auto group = healthy_group();
    group.suspected = true;
    silence(group.members[0], milliseconds(30));
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
    lose_contact_with_primary(group);
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kPrimarySilent);
  }

  void replaces_primary_unreachable_from_proxies_and_control_after_delay() {
    auto group = healthy_group();
    silence(group.members[0], seconds(4));
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
    group.suspected = true;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kPrimaryUnreachable);
    group.members[0].silent_for = seconds(2);
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void takes_no_action_without_majority() {
    auto group = healthy_group();
    silence(group.members[0], seconds(10));
    silence(group.members[1], seconds(10));
    lose_contact_with_primary(group);
    group.suspected = true;
    CPPUNIT_ASSERT(!majority_answers(group));
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void replaces_primary_without_contact_to_majority() {
    auto group = healthy_group();
    lose_contact_with_primary(group);
    const FailoverDecision decision = decide_failover(group, {});
    CPPUNIT_ASSERT(decision.cause == FailoverCause::kPrimaryUnheard);
    CPPUNIT_ASSERT(decision.delay > Duration(0));
  }

  void keeps_primary_without_contact_to_one_replica() {
    auto group = healthy_group();
    group.members[1].status->primary_heard = false;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
    // A replica that does not answer is no evidence against the primary.
    silence(group.members[2], seconds(10));
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void detects_restarted_primary_that_lost_its_role() {
    auto group = healthy_group();
    group.members[0].status->role = backend::BackendRole::kReplica;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kPrimaryLostRole);
  }

  void detects_member_at_higher_term() {
    auto group = healthy_group();
    group.members[2].status->term = kTerm + 1;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kMemberAhead);
  }

  void leaving_primary_hands_over_only_to_suitable_member() {
    auto group = healthy_group();
    group.members[0].member.leaving = true;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kPrimaryLeaving);
    group.members[1].member.leaving = true;
    group.members[2].status->primary_heard = false;
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void keeps_leaving_primary_while_too_few_others_answer() {
    auto group = healthy_group();
    group.members[0].member.leaving = true;
    CPPUNIT_ASSERT(can_switch_over(group));
    silence(group.members[2], milliseconds(100));
    CPPUNIT_ASSERT(!can_switch_over(group));
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void bootstrap_waits_for_all_members_or_initial_observation() {
    auto group = healthy_group();
    group.known = follow::GroupState{GroupName("decks"), 0, BackendName()};
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNoPrimary);
    silence(group.members[2], milliseconds(100));
    group.members[2].status.reset();
    group.observed_for = milliseconds(100);
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
    group.observed_for = milliseconds(600);
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNoPrimary);
  }

  void counts_voting_members_reported_by_database() {
    auto group = healthy_group();
    // Two of the three declared members are not a majority of the five that the database reports.
    for (auto& member : group.members) member.status->members = {name(1), name(2), name(3), name(4), name(5)};
    silence(group.members[0], seconds(10));
    lose_contact_with_primary(group);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, voting_members(group));
    CPPUNIT_ASSERT(cause_of(group) == FailoverCause::kNone);
  }

  void redirects_only_members_following_another_primary() {
    auto group = healthy_group();
    group.members[1].status->primary = name(3);
    group.members[2].status->term = kTerm + 1;
    const std::vector<BackendName> expected{name(2)};
    CPPUNIT_ASSERT(members_to_redirect(group) == expected);
  }

  void highest_position_overrides_preferences() {
    CandidatePreference preference;
    preference.preferred = name(1);
    const std::vector<FenceGrant> grants{grant(1, {3, 90}), grant(2, {4, 10}, "", true), grant(3, {3, 99})};
    // A higher term beats any index of a lower term.
    CPPUNIT_ASSERT(choose_candidate(grants, preference)->backend == name(2));
    CPPUNIT_ASSERT(!choose_candidate({}, preference));
  }

  void applies_preferences_among_equal_positions() {
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
