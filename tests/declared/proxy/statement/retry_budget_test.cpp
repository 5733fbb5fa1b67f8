// Tests that retries are limited to a fraction of recent successes.
#include "declared/proxy/statement/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::declared::proxy {
namespace {

int spend_all(RetryBudget& budget) {
  Reason reason;
  int spent = 0;
  while (budget.try_spend(reason)) ++spent;
  return spent;
}

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(test_successes_earn_a_fraction_of_a_retry);
  CPPUNIT_TEST(test_balance_is_capped);
  CPPUNIT_TEST(test_refusal_keeps_step_and_peer_of_the_failure);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_successes_earn_a_fraction_of_a_retry() {
    RetryBudget budget;
    spend_all(budget);
    for (int success = 0; success < 100; ++success) budget.record_success();
    CPPUNIT_ASSERT_EQUAL(20, spend_all(budget));
  }

  void test_balance_is_capped() {
    RetryBudget budget;
    for (int success = 0; success < 100'000; ++success) budget.record_success();
    CPPUNIT_ASSERT_EQUAL(100, spend_all(budget));
  }

  void test_refusal_keeps_step_and_peer_of_the_failure() {
    RetryBudget budget;
    spend_all(budget);
    Reason reason{ReasonCode::kUnreachable, "open_connection", "database-1", "no route to host"};
    CPPUNIT_ASSERT(!budget.try_spend(reason));
    CPPUNIT_ASSERT(reason.code == ReasonCode::kRetryBudgetExhausted);
    CPPUNIT_ASSERT_EQUAL(std::string("open_connection"), reason.step);
    CPPUNIT_ASSERT_EQUAL(std::string("database-1"), reason.peer);
    CPPUNIT_ASSERT(reason.detail.find("unreachable") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy
