// Tests which quota owners a round asks, when, and how it ends: an owner that answers in time is the only one
// asked, and slow or lost owners delay a token by little.
#include "registered/limits/owner_round.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace cairnhollow::registered::limits {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How an owner behaves in a simulated round.
struct Owner {
  std::optional<Duration> answers_after;  ///< empty: never
  OwnerReply reply = OwnerReply::kGranted;
};

struct Result {
  Duration took{0};
  std::size_t asked = 0;
  RoundOutcome outcome = RoundOutcome::kNoOwnerReached;
};

constexpr Owner granting(int after_ms) { return {milliseconds(after_ms), OwnerReply::kGranted}; }
constexpr Owner empty(int after_ms) { return {milliseconds(after_ms), OwnerReply::kEmpty}; }
constexpr Owner unauthorized(int after_ms) { return {milliseconds(after_ms), OwnerReply::kNotAuthorized}; }
constexpr Owner silent() { return {}; }

/// Plays one round in steps of a millisecond.
Result play(const std::vector<Owner>& owners) {
  OwnerRound round(owners.size());
  const TimePoint start{seconds(10)};
  std::vector<std::optional<TimePoint>> asked_at(owners.size());
  Result result;
  for (TimePoint now = start;; now += milliseconds(1)) {
    for (std::size_t owner = 0; owner < owners.size(); ++owner) {
      if (!asked_at[owner] || round.reply(owner) != OwnerReply::kPending) continue;
      const Duration waited = now - *asked_at[owner];
      if (owners[owner].answers_after && waited >= *owners[owner].answers_after) {
        round.record(owner, owners[owner].reply);
      } else if (waited >= kOwnerAnswerWait) {
        round.record(owner, OwnerReply::kNoAnswer);
      }
    }
    RoundStep step = round.next_step(now);
    while (step.action == RoundAction::kAsk) {
      CPPUNIT_ASSERT_MESSAGE("no owner is asked twice", !asked_at[step.owner]);
      asked_at[step.owner] = now;
      ++result.asked;
      step = round.next_step(now);
    }
    result.took = now - start;
    if (step.action == RoundAction::kEnd) break;
    CPPUNIT_ASSERT_MESSAGE("a round ends", result.took < seconds(5));
  }
  result.outcome = round.outcome();
  return result;
}

}  // namespace

class OwnerRoundTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnerRoundTest);
  CPPUNIT_TEST(asks_one_owner_that_answers);
  CPPUNIT_TEST(uses_late_answer_of_slow_owner);
  CPPUNIT_TEST(asks_next_owner_beside_a_slow_one);
  CPPUNIT_TEST(passes_over_owners_without_tokens);
  CPPUNIT_TEST(asks_more_owners_at_once_after_each_failure);
  CPPUNIT_TEST(refuses_above_limit_without_waiting_for_slow_owners);
  CPPUNIT_TEST(ends_without_any_answer);
  CPPUNIT_TEST(tells_unauthorized_from_unreachable);
  CPPUNIT_TEST(ends_at_once_without_owners);
  CPPUNIT_TEST_SUITE_END();

 public:
  void asks_one_owner_that_answers() {
    const Result result = play({granting(5), granting(5), granting(5)});
    CPPUNIT_ASSERT(result.outcome == RoundOutcome::kGranted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.asked);
    CPPUNIT_ASSERT(result.took == milliseconds(5));
  }

  void uses_late_answer_of_slow_owner() {
    const Result result = play({granting(90), silent(), silent()});
    CPPUNIT_ASSERT(result.outcome == RoundOutcome::kGranted);
    CPPUNIT_ASSERT(result.took == milliseconds(90));
  }

  void asks_next_owner_beside_a_slow_one() {
    const Result result = play({silent(), granting(10), granting(10)});
    CPPUNIT_ASSERT(result.outcome == RoundOutcome::kGranted);
    CPPUNIT_ASSERT(result.took == kNextOwnerAfter + milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, result.asked);
  }

  void passes_over_owners_without_tokens() {
    const Result result = play({empty(4), unauthorized(4), granting(4)});
    CPPUNIT_ASSERT(result.outcome == RoundOutcome::kGranted);
    CPPUNIT_ASSERT(result.took == milliseconds(12));
  }

  void asks_more_owners_at_once_after_each_failure() {
    const std::vector<Owner> owners(9, empty(4));
    const Result result = play(owners);
    CPPUNIT_ASSERT(result.outcome == RoundOutcome::kOverLimit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, result.asked);
    // One, one, two, four and one owner.
    CPPUNIT_ASSERT(result.took <= milliseconds(5 * 4));
  }

  void refuses_above_limit_without_waiting_for_slow_owners() {
    const Result result = play({empty(4), silent(), silent()});
    CPPUNIT_ASSERT(result.outcome == RoundOutcome::kOverLimit);
    CPPUNIT_ASSERT(result.took <= milliseconds(4) + 2 * kNextOwnerAfter);
  }

  void ends_without_any_answer() {
    const Result result = play({silent(), silent(), silent()});
    CPPUNIT_ASSERT(result.outcome == RoundOutcome::kNoOwnerReached);
    CPPUNIT_ASSERT(result.took <= 2 * kNextOwnerAfter + kOwnerAnswerWait);
    CPPUNIT_ASSERT(result.took >= kOwnerAnswerWait);
  }

  void tells_unauthorized_from_unreachable() {
    const Result result = play({unauthorized(4), silent(), unauthorized(4)});
    CPPUNIT_ASSERT(result.outcome == RoundOutcome::kNotAuthorized);
  }

  void ends_at_once_without_owners() {
    const Result result = play({});
    CPPUNIT_ASSERT(result.outcome == RoundOutcome::kNoOwnerReached);
    CPPUNIT_ASSERT(result.took == Duration(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerRoundTest);

}  // namespace cairnhollow::registered::limits
