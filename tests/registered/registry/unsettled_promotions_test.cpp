// Tests which promotion attempts are recorded: those of a group that may still arrive name one backend.
#include "registered/registry/unsettled_promotions.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::registered::registry {

namespace {

const GroupName kGroup("records");
const GroupName kOther("decks");
const BackendName kBackend("b1");
const BackendName kBackendOther("b2");

PromotionAttempt attempt(std::uint64_t number, const BackendName& backend = kBackend,
                         const GroupName& group = kGroup) {
  return {group, backend, NodeName("control-1"), 7, number, 2};
}

PromotionAttempt withdrawn(std::uint64_t number, const BackendName& backend = kBackend) {
  PromotionAttempt withdrawn = attempt(number, backend);
  withdrawn.is_withdrawn = true;
  return withdrawn;
}

}  // namespace

class UnsettledPromotionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnsettledPromotionsTest);
  CPPUNIT_TEST(attempts_of_a_group_name_one_backend);
  CPPUNIT_TEST(groups_are_independent);
  CPPUNIT_TEST(identity_is_recorded_once);
  CPPUNIT_TEST(attempts_of_a_group_are_limited);
  CPPUNIT_TEST(settles_attempts_of_any_group);
  CPPUNIT_TEST(settles_only_what_is_recorded);
  CPPUNIT_TEST(groups_without_attempts_are_not_kept);
  CPPUNIT_TEST(withdrawn_attempt_binds_no_choice_but_the_opening);
  CPPUNIT_TEST(answer_settles_only_what_was_withdrawn_before_it_was_recorded);
  CPPUNIT_TEST(withdrawn_attempts_do_not_use_up_the_limit);
  CPPUNIT_TEST(withdrawn_attempts_for_other_backends_are_kept);
  CPPUNIT_TEST(attempt_that_is_withdrawn_twice_is_settled_by_an_answer_in_between);
  CPPUNIT_TEST(later_process_does_not_move_withdrawn_attempts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void attempts_of_a_group_name_one_backend() {
    UnsettledPromotions promotions;
    CPPUNIT_ASSERT(promotions.backend_of(kGroup) == nullptr);
    CPPUNIT_ASSERT(!promotions.excludes(kGroup, kBackend));
    CPPUNIT_ASSERT(promotions.begin(attempt(1)));
    CPPUNIT_ASSERT(!promotions.begin(attempt(2, BackendName("b2"))));
    CPPUNIT_ASSERT(promotions.begin(attempt(3)));
    CPPUNIT_ASSERT(promotions.of(kGroup) == (std::vector{attempt(1), attempt(3)}));
    CPPUNIT_ASSERT(*promotions.backend_of(kGroup) == kBackend);
    CPPUNIT_ASSERT(promotions.excludes(kGroup, BackendName("b2")));
    CPPUNIT_ASSERT(!promotions.excludes(kGroup, kBackend));
    promotions.settle({attempt(1)});
    CPPUNIT_ASSERT_MESSAGE("another attempt is left", !promotions.begin(attempt(2, BackendName("b2"))));
    promotions.settle({attempt(3)});
    CPPUNIT_ASSERT(promotions.begin(attempt(2, BackendName("b2"))));
  }

  void groups_are_independent() {
    UnsettledPromotions promotions;
    CPPUNIT_ASSERT(promotions.begin(attempt(1)));
    CPPUNIT_ASSERT(promotions.begin(attempt(1, BackendName("b9"), kOther)));
    CPPUNIT_ASSERT(*promotions.backend_of(kOther) == BackendName("b9"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, promotions.size());
    CPPUNIT_ASSERT_MESSAGE(
        "ordered by group",
        promotions.all() == (std::vector{attempt(1, BackendName("b9"), kOther), attempt(1)}));
    CPPUNIT_ASSERT(promotions.of(GroupName("nobody")).empty());
  }

  void identity_is_recorded_once() {
    UnsettledPromotions promotions;
    CPPUNIT_ASSERT(promotions.begin(attempt(1)));
    PromotionAttempt next = attempt(1);
    next.epoch = 4;
    CPPUNIT_ASSERT(next.has_same_identity(attempt(1)));
    CPPUNIT_ASSERT(!promotions.begin(attempt(1)));
    CPPUNIT_ASSERT_MESSAGE("the same request after another close", !promotions.begin(next));
    next = attempt(1);
    next.fencing = 8;
    CPPUNIT_ASSERT_MESSAGE("in another consensus term", promotions.begin(next));
    next = attempt(1);
    next.holder = NodeName("control-2");
    CPPUNIT_ASSERT_MESSAGE("of another holder", promotions.begin(next));
    CPPUNIT_ASSERT(!attempt(1).has_same_identity(attempt(1, kBackend, kOther)));
  }

  void attempts_of_a_group_are_limited() {
    UnsettledPromotions promotions;
    const std::uint64_t limit = UnsettledPromotions::kMaxAttemptsPerGroup;
    for (std::uint64_t number = 1; number <= limit; ++number)
      CPPUNIT_ASSERT_MESSAGE(std::to_string(number), promotions.begin(attempt(number)));
    CPPUNIT_ASSERT(!promotions.begin(attempt(limit + 1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{limit}, promotions.size());
    CPPUNIT_ASSERT_MESSAGE("the limit of another group", promotions.begin(attempt(1, kBackend, kOther)));
    promotions.settle({attempt(5)});
    CPPUNIT_ASSERT(promotions.begin(attempt(limit + 1)));
  }

  void settles_attempts_of_any_group() {
    UnsettledPromotions promotions;
    const PromotionAttempt other = attempt(1, BackendName("b9"), kOther);
    for (const PromotionAttempt& each : {attempt(1), attempt(2), other}) promotions.begin(each);
    CPPUNIT_ASSERT(promotions.settle({attempt(1), other, attempt(8)}));
    CPPUNIT_ASSERT(promotions.all() == std::vector{attempt(2)});
    CPPUNIT_ASSERT(promotions.contains(attempt(2)) && !promotions.contains(attempt(1)));
    CPPUNIT_ASSERT_MESSAGE("again", !promotions.settle({attempt(1), other, attempt(8)}));
    CPPUNIT_ASSERT(!promotions.settle({}));
  }

  /// Guards against evidence for a rejected attempt that removes the recorded one.
  void settles_only_what_is_recorded() {
    UnsettledPromotions promotions;
    promotions.begin(attempt(1));
    PromotionAttempt rejected = attempt(1);
    rejected.epoch = 4;
    CPPUNIT_ASSERT(!promotions.contains(rejected));
    CPPUNIT_ASSERT(!promotions.settle({rejected, attempt(1, BackendName("b2"))}));
    CPPUNIT_ASSERT(promotions.contains(attempt(1)));
  }

  void groups_without_attempts_are_not_kept() {
    UnsettledPromotions promotions;
    promotions.begin(attempt(1));
    promotions.settle({attempt(1)});
    CPPUNIT_ASSERT(promotions == UnsettledPromotions());
  }

  void withdrawn_attempt_binds_no_choice_but_the_opening() {
    UnsettledPromotions promotions;
    promotions.begin(attempt(1));
    CPPUNIT_ASSERT(!promotions.awaits_answer(kGroup));
    promotions.withdraw({attempt(1)});
    CPPUNIT_ASSERT(promotions.backend_of(kGroup) == nullptr);
    CPPUNIT_ASSERT(promotions.excludes(kGroup, kBackendOther));
    CPPUNIT_ASSERT(promotions.awaits_answer(kGroup));
    CPPUNIT_ASSERT(promotions.begin(attempt(2, kBackendOther)));
    CPPUNIT_ASSERT(!promotions.awaits_answer(kGroup));
    CPPUNIT_ASSERT(*promotions.backend_of(kGroup) == kBackendOther);
  }

  /// Guards against an answer that settles an attempt whose request may have been received after the answered
  /// one.
  void answer_settles_only_what_was_withdrawn_before_it_was_recorded() {
    UnsettledPromotions promotions;
    for (const std::uint64_t number : {1, 2, 3}) promotions.begin(attempt(number));
    promotions.withdraw({attempt(1)});
    promotions.begin(attempt(4));
    promotions.settle({attempt(3)}, true);
    CPPUNIT_ASSERT_MESSAGE("withdrawn after it was recorded",
                           promotions.of(kGroup) == (std::vector{attempt(2), withdrawn(1), attempt(4)}));
    promotions.settle({attempt(4)});
    CPPUNIT_ASSERT_MESSAGE("not answered", promotions.of(kGroup) == (std::vector{attempt(2), withdrawn(1)}));
    promotions.begin(attempt(5));
    promotions.settle({attempt(5)}, true);
    CPPUNIT_ASSERT_MESSAGE("not withdrawn", promotions.of(kGroup) == std::vector{attempt(2)});
  }

  /// Guards against a group that records no further attempt, and so can settle none, after a time in which
  /// the platform answered nothing.
  void withdrawn_attempts_do_not_use_up_the_limit() {
    UnsettledPromotions promotions;
    const std::uint64_t attempts = 3 * UnsettledPromotions::kMaxAttemptsPerGroup;
    for (std::uint64_t number = 1; number <= attempts; ++number) {
      CPPUNIT_ASSERT_MESSAGE(std::to_string(number), promotions.begin(attempt(number)));
      promotions.withdraw({attempt(number)});
    }
    CPPUNIT_ASSERT_MESSAGE("the last one stands for all",
                           promotions.of(kGroup) == std::vector{withdrawn(attempts)});
    promotions.begin(attempt(attempts + 1, kBackendOther));
    promotions.settle({attempt(attempts + 1, kBackendOther)}, true);
    CPPUNIT_ASSERT(promotions == UnsettledPromotions());
  }

  /// Guards against a group that is opened with one backend while a withdrawn request may promote another.
  void withdrawn_attempts_for_other_backends_are_kept() {
    UnsettledPromotions promotions;
    promotions.begin(attempt(1));
    promotions.withdraw({attempt(1)});
    promotions.begin(attempt(2, kBackendOther));
    promotions.withdraw({attempt(2, kBackendOther)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, promotions.size());
    CPPUNIT_ASSERT(promotions.excludes(kGroup, kBackend));
    CPPUNIT_ASSERT(promotions.excludes(kGroup, kBackendOther));
    promotions.begin(attempt(3));
    promotions.begin(attempt(4));
    promotions.withdraw({attempt(4)});
    CPPUNIT_ASSERT_MESSAGE(
        "of one backend the last, behind what was recorded before it was withdrawn",
        promotions.of(kGroup) == (std::vector{withdrawn(2, kBackendOther), attempt(3), withdrawn(4)}));
  }

  /// Guards against a withdrawal that is committed twice, as its first outcome was unknown, and moves the
  /// attempt behind a request that its own one precedes.
  void attempt_that_is_withdrawn_twice_is_settled_by_an_answer_in_between() {
    for (const PromotionAttempt& repeated : {attempt(1), withdrawn(1)}) {
      UnsettledPromotions promotions;
      promotions.begin(attempt(1));
      promotions.withdraw({attempt(1)});
      promotions.begin(attempt(2));
      promotions.withdraw({repeated});
      CPPUNIT_ASSERT(promotions.of(kGroup) == (std::vector{withdrawn(1), attempt(2)}));
      promotions.settle({attempt(2)}, true);
      CPPUNIT_ASSERT(promotions == UnsettledPromotions());
    }
  }

  /// Guards against the same by the report of the holder's next process.
  void later_process_does_not_move_withdrawn_attempts() {
    UnsettledPromotions promotions;
    promotions.begin(attempt(1));
    promotions.withdraw({attempt(1)});
    PromotionAttempt of_another_holder = attempt(2);
    of_another_holder.holder = NodeName("control-2");
    promotions.begin(of_another_holder);
    promotions.withdraw_earlier(NodeName("control-1"), 9, 7);
    CPPUNIT_ASSERT(promotions.of(kGroup) == (std::vector{withdrawn(1), of_another_holder}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnsettledPromotionsTest);

}  // namespace cairnhollow::registered::registry
