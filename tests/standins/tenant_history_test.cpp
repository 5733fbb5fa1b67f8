// The checker of tenants: each kind of violation in a history that it must reject, and those that it must
// pass.
#include "standins/registered/tenant_history.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace cairnhollow::standins::registered {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TenantBounds kBounds{seconds(5), seconds(4), {}};

TimePoint at(int ms) { return TimePoint(seconds(100) + milliseconds(ms)); }

TenantEra era(const std::string& name, const std::vector<std::string>& keys, std::uint64_t rate, int ms) {
  cairnhollow::registered::registry::TenantRule rule;
  rule.name = TenantName(name);
  for (const auto& key : keys) rule.keys.emplace_back(key);
  rule.rate_per_s = rate;
  rule.burst = rate;
  return {rule, at(ms)};
}

void run(TenantHistory& history, const std::string& id, const std::string& key, const std::string& told,
         int ms) {
  history.sent.push_back({id, id, ApiKey(key), at(ms)});
  history.runs.push_back({id, TenantName(told), at(ms + 20)});
}

std::string first_of(const TenantHistory& history) {
  const auto violations = find_tenant_violations(history, kBounds);
  return violations.empty() ? std::string() : violations.front();
}

}  // namespace

class TenantHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantHistoryTest);
  CPPUNIT_TEST(another_tenant_is_rejected);
  CPPUNIT_TEST(a_key_of_nobody_is_rejected);
  CPPUNIT_TEST(a_statement_of_nobody_is_rejected);
  CPPUNIT_TEST(a_removed_key_is_rejected_after_the_bound);
  CPPUNIT_TEST(too_many_operations_in_a_window_are_rejected);
  CPPUNIT_TEST(statements_of_one_operation_count_once);
  CPPUNIT_TEST(a_lowered_limit_is_judged_once_it_must_hold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void another_tenant_is_rejected() {
    TenantHistory history;
    history.eras = {era("ako", {"a"}, 0, 0), era("kea", {"k"}, 0, 0)};
    run(history, "s1", "a", "ako", 10);
    CPPUNIT_ASSERT_EQUAL(std::string(), first_of(history));
    run(history, "s2", "a", "kea", 20);
    CPPUNIT_ASSERT_EQUAL(std::string("s2 was run for kea, which its key does not prove"), first_of(history));
  }

  void a_key_of_nobody_is_rejected() {
    TenantHistory history;
    history.eras = {era("ako", {"a"}, 0, 0)};
    run(history, "s1", "x", "ako", 10);
    CPPUNIT_ASSERT_EQUAL(std::string("s1 was run with a key that nobody ever had"), first_of(history));
  }

  void a_statement_of_nobody_is_rejected() {
    TenantHistory history;
    history.runs.push_back({"s1", TenantName("ako"), at(5)});
    CPPUNIT_ASSERT_EQUAL(std::string("s1 was run and nobody sent it"), first_of(history));
  }

  void a_removed_key_is_rejected_after_the_bound() {
    TenantHistory history;
    history.eras = {era("ako", {"a"}, 0, 0), era("ako", {}, 0, 1000)};
    run(history, "s1", "a", "ako", 5900);
    CPPUNIT_ASSERT_EQUAL(std::string(), first_of(history));
    run(history, "s2", "a", "ako", 6001);
    CPPUNIT_ASSERT_EQUAL(std::string("s2 was run for ako, sent 5001 ms after the removal of its key"),
                         first_of(history));
    history.eras.push_back(era("ako", {"a"}, 0, 7000));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("given back", std::string(), first_of(history));
  }

  void too_many_operations_in_a_window_are_rejected() {
    TenantHistory history;
    history.eras = {era("ako", {"a"}, 10, 0)};
    // (10 x 5 + 10) x 1.1 + 20 = 86.
    for (int number = 0; number < 86; ++number)
      run(history, fmt::format("s{}", number), "a", "ako", number * 50);
    CPPUNIT_ASSERT_EQUAL(std::string(), first_of(history));
    run(history, "one more", "a", "ako", 4400);
    CPPUNIT_ASSERT_EQUAL(std::string("ako ran 87 operations in a window, 86 are allowed"), first_of(history));
  }

  void statements_of_one_operation_count_once() {
    TenantHistory history;
    history.eras = {era("ako", {"a"}, 1, 0)};
    for (int number = 0; number < 200; ++number) {
      const std::string id = fmt::format("s{}", number);
      history.sent.push_back({id, "transaction", ApiKey("a"), at(number)});
      history.runs.push_back({id, TenantName("ako"), at(number + 1)});
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), first_of(history));
  }

  void a_lowered_limit_is_judged_once_it_must_hold() {
    TenantHistory history;
    history.eras = {era("ako", {"a"}, 50, 0), era("ako", {"a"}, 1, 1000)};
    for (int number = 0; number < 200; ++number)
      run(history, fmt::format("s{}", number), "a", "ako", number * 20);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("until 5 s", std::string(), first_of(history));
    for (int number = 0; number < 40; ++number)
      run(history, fmt::format("t{}", number), "a", "ako", 10100 + number * 20);
    CPPUNIT_ASSERT_EQUAL(std::string("ako ran 27 operations in a window, 26.6 are allowed"),
                         first_of(history));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantHistoryTest);

}  // namespace cairnhollow::standins::registered
