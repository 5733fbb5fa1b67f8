// The judge of promotions rejects each kind of history that must never be, and accepts what is sound.
#include "standins/registered/promotion_history.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::standins::registered {

namespace {

using std::chrono::milliseconds;

TimePoint at(int ms) { return TimePoint(milliseconds(ms)); }

PromotionArrival order(const std::string& holder, std::uint64_t fencing, const std::string& backend,
                       const std::string& group = "g1") {
  return {GroupName(group), BackendName(backend), NodeName(holder), fencing, at(0), 200};
}

PromotionEffect effect(const std::string& backend, std::vector<std::string> lacking,
                       const std::string& group = "g1") {
  return {GroupName(group), BackendName(backend), at(0), std::move(lacking)};
}

Attempt write(const std::string& token, int ended, AttemptOutcome outcome) {
  Attempt attempt;
  attempt.record = "r0";
  attempt.token = token;
  attempt.ended = at(ended);
  attempt.outcome = outcome;
  return attempt;
}

/// The violations begin with these words, in this order.
void expect(const PromotionHistory& history, const std::vector<std::string>& beginnings) {
  const auto violations = find_promotion_violations(history);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? "" : violations.front(), beginnings.size(),
                               violations.size());
  for (std::size_t place = 0; place < violations.size(); ++place)
    CPPUNIT_ASSERT_MESSAGE(violations[place], violations[place].starts_with(beginnings[place]));
}

const std::string kLowerToken = "ONE: a lower fencing token after a higher one: ";
const std::string kSharedToken = "ONE: two holders with the same token: ";
const std::string kLost = "LOST: the promoted log lacks a commit that had been acknowledged to a caller: ";

}  // namespace

class PromotionHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromotionHistoryTest);
  CPPUNIT_TEST(rising_tokens_and_whole_logs_are_accepted);
  CPPUNIT_TEST(a_lower_token_after_a_higher_one_is_rejected);
  CPPUNIT_TEST(a_lower_token_for_another_group_is_accepted);
  CPPUNIT_TEST(a_refused_or_unanswered_order_counts_as_well);
  CPPUNIT_TEST(two_holders_with_one_token_are_rejected);
  CPPUNIT_TEST(a_promotion_without_acknowledged_commits_is_rejected);
  CPPUNIT_TEST(a_lost_commit_counts_once);
  CPPUNIT_TEST(a_log_lacks_what_was_acknowledged_before_and_nothing_else);
  CPPUNIT_TEST_SUITE_END();

 public:
  void rising_tokens_and_whole_logs_are_accepted() {
    expect({{order("a", 2, "b1"), order("a", 2, "b2"), order("b", 5, "b1")},
            {effect("b1", {}), effect("b2", {}), effect("b1", {})}},
           {});
  }

  void a_lower_token_after_a_higher_one_is_rejected() {
    expect({{order("a", 2, "b1"), order("b", 5, "b2"), order("a", 2, "b1")}, {}}, {kLowerToken});
    expect({{order("b", 5, "b2"), order("a", 2, "b1"), order("a", 3, "b1")}, {}}, {kLowerToken, kLowerToken});
  }

  void a_lower_token_for_another_group_is_accepted() {
    expect({{order("b", 5, "b2"), order("a", 2, "b1", "g2")}, {}}, {});
  }

  void a_refused_or_unanswered_order_counts_as_well() {
    PromotionArrival refused = order("b", 5, "b2");
    refused.status = 409;
    PromotionArrival unanswered = order("a", 2, "b1");
    unanswered.status = 0;
    expect({{refused, unanswered}, {}}, {kLowerToken});
  }

  void two_holders_with_one_token_are_rejected() {
    expect({{order("a", 2, "b1"), order("b", 2, "b1"), order("b", 2, "b2")}, {}}, {kSharedToken});
    expect({{order("a", 2, "b1"), order("b", 2, "b1", "g2")}, {}}, {kSharedToken});
  }

  void a_promotion_without_acknowledged_commits_is_rejected() {
    expect({{}, {effect("b1", {}), effect("b2", {"r0 t1", "r0 t2"})}}, {kLost + "b2 of g1 lacks 2 at 0 ms"});
  }

  void a_lost_commit_counts_once() {
    expect({{}, {effect("b1", {"r0 t1"}), effect("b2", {"r0 t1"}), effect("b1", {"r0 t1", "r0 t2"})}},
           {kLost + "b1 of g1 lacks 1", kLost + "b1 of g1 lacks 1"});
    expect({{}, {effect("b1", {"r0 t1"}), effect("b1", {"r0 t1"}, "g2")}}, {kLost, kLost});
  }

  void a_log_lacks_what_was_acknowledged_before_and_nothing_else() {
    const std::vector<Attempt> attempts{write("held", 10, AttemptOutcome::kAcknowledged),
                                        write("lacking", 20, AttemptOutcome::kAcknowledged),
                                        write("later", 21, AttemptOutcome::kAcknowledged),
                                        write("in-doubt", 10, AttemptOutcome::kUnknown),
                                        write("refused", 10, AttemptOutcome::kPromisedNotKept),
                                        write("", 10, AttemptOutcome::kAcknowledged)};
    const std::vector<LogEntry> log{{1, "r0", "held"}, {1, "r1", "lacking"}};
    const std::vector<std::string> expected{"r0 lacking"};
    CPPUNIT_ASSERT(find_lacking_commits(attempts, log, at(20)) == expected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionHistoryTest);

}  // namespace cairnhollow::standins::registered
