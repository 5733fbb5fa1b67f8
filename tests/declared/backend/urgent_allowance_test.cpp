// Tests urgent statements that exceed the proxy's concurrency limit when they would miss their deadlines
// within it.
#include <cppunit/extensions/HelperMacros.h>

#include "declared/backend/admitted_connection.h"
#include "tests/declared/backend/admission_fixture.h"

namespace cairnhollow::declared::backend {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Outcome of one caller's statement.
struct CallResult {
  std::string text;
  Reason reason;
  ExecuteAnswer answer;
};
using CallResults = std::vector<CallResult>;

/// Requests admission again after each Busy answer, as the executor of writes does.
Awaitable<void> call(BackendAdmission& admission, std::string text, AdmissionRequest request,
                     CallResults& results) {
  CallResult result;
  result.text = std::move(text);
  result.answer = Busy{};
  while (std::holds_alternative<Busy>(result.answer)) {
    auto connection = co_await admission.admit(request, result.reason);
    if (!connection) break;
    Statement statement;
    statement.text = result.text;
    Requirements requirements;
    requirements.deadline = request.deadline;
    result.answer =
        co_await connection->execute(std::move(statement), std::move(requirements), result.reason);
  }
  results.push_back(std::move(result));
}

class UrgentAllowanceTest : public AdmissionFixture<CallResult> {
  CPPUNIT_TEST_SUITE(UrgentAllowanceTest);
  CPPUNIT_TEST(test_urgent_statements_borrow_slots_that_others_leave_idle);
  CPPUNIT_TEST(test_borrowing_stops_at_the_slots_and_keeps_the_share);
  CPPUNIT_TEST(test_urgent_statement_that_cannot_make_its_deadline_is_refused_early);
  CPPUNIT_TEST(test_less_urgent_statements_do_not_borrow);
  CPPUNIT_TEST(test_urgent_statements_that_have_time_do_not_borrow);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// With the proxy's share of one slot only nine of the statements would meet their deadlines.
  void test_urgent_statements_borrow_slots_that_others_leave_idle() {
    set_up_share_of_four_slots(1);
    start_with_increasing_deadlines(14, 0, seconds(1));
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{14}, results_.size());
    for (const auto& result : results_) {
      CPPUNIT_ASSERT_MESSAGE(result.reason.to_string(), std::holds_alternative<Written>(result.answer));
    }
    CPPUNIT_ASSERT(script_->most_running <= 4);
  }

  /// All slots of other proxies are in use: attempts to borrow one are answered with Busy, at most once per
  /// pause of 5 ms and once per answer, and do not lower the limit below the share.
  void test_borrowing_stops_at_the_slots_and_keeps_the_share() {
    set_up_share_of_four_slots(2);
    script_->slots = 2;
    start_with_increasing_deadlines(14, 0, seconds(1));
    for (int step = 0; step < 40; ++step) {
      world_->run_for(milliseconds(10));
      CPPUNIT_ASSERT(admission_->statistics().limit >= 2);
    }
    const auto busy_answers = admission_->statistics().busy_answers;
    CPPUNIT_ASSERT(busy_answers > 0);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(busy_answers), busy_answers <= 400 / 5 + 2 * 4);
    CPPUNIT_ASSERT_EQUAL(2U, script_->most_running);
  }

  void test_urgent_statement_that_cannot_make_its_deadline_is_refused_early() {
    set_up_share_of_four_slots(1);
    script_->slots = 1;
    start_with_increasing_deadlines(8, 0, seconds(1));
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, admission_->statistics().refused_early);
    start("hopeless", 0, milliseconds(110));
    CPPUNIT_ASSERT_EQUAL(std::string("hopeless"), results_.back().text);
    CPPUNIT_ASSERT(results_.back().reason.code == ReasonCode::kOverloaded);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, admission_->statistics().refused_early);
  }

  void test_less_urgent_statements_do_not_borrow() {
    set_up_share_of_four_slots(1);
    start_with_increasing_deadlines(14, 1, seconds(1));
    CPPUNIT_ASSERT(admission_->statistics().refused_early > 0);
    world_->run_for(milliseconds(90));
    CPPUNIT_ASSERT_EQUAL(1U, script_->most_running);
  }

  void test_urgent_statements_that_have_time_do_not_borrow() {
    set_up_share_of_four_slots(1);
    start_with_increasing_deadlines(4, 0, seconds(2));
    world_->run_for(milliseconds(90));
    CPPUNIT_ASSERT_EQUAL(1U, script_->most_running);
  }

 private:
  /// Statements take 100 ms; there are more connections than slots in the share.
  void set_up_share_of_four_slots(std::uint32_t share) {
    script_->statement_duration = milliseconds(100);
    script_->slots = 4;
    set_capacity({20, 4, 4 / share});
    start("warm up", 1, seconds(1));
    world_->run_for(seconds(2));
    results_.clear();
    CPPUNIT_ASSERT_EQUAL(share, admission_->statistics().limit);
    script_->most_running = 0;
  }
  /// Starts statements with strictly increasing deadlines.
  void start_with_increasing_deadlines(int count, std::uint8_t priority_class, Duration time) {
    for (int statement = 0; statement < count; ++statement) {
      start("s", priority_class, time + std::chrono::microseconds(statement));
    }
  }
  void start(const std::string& text, std::uint8_t priority_class, Duration time) {
    const AdmissionRequest request{priority_class, runtime().now() + time};
    runtime().spawn("call", call(*admission_, text, request, results_));
    world_->run_for(Duration(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UrgentAllowanceTest);

}  // namespace
}  // namespace cairnhollow::declared::backend
