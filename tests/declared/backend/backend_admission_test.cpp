// Tests admission to one backend: queue order, early refusal, opening ahead of need, failure handling.
#include "declared/backend/backend_admission.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "declared/backend/admitted_connection.h"
#include "declared/backend/pool_knobs.h"
#include "tests/declared/backend/admission_fixture.h"

namespace cairnhollow::declared::backend {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Outcome of one caller's statement.
struct CallResult {
  std::string text;
  bool admitted = false;
  Reason reason;
  Duration admitted_after{0};
  Duration ended_after{0};
  ExecuteAnswer answer;
};
using CallResults = std::vector<CallResult>;

Awaitable<void> call(runtime::Runtime& runtime, BackendAdmission& admission, std::string text,
                     AdmissionRequest request, CallResults& results) {
  CallResult result;
  result.text = std::move(text);
  const auto began = runtime.now();
  {
    auto connection = co_await admission.admit(request, result.reason);
    result.admitted = connection != nullptr;
    result.admitted_after = runtime.now() - began;
    if (connection) {
      Statement statement;
      statement.text = result.text;
      Requirements requirements;
      requirements.deadline = request.deadline;
      Reason reason;
      result.answer = co_await connection->execute(std::move(statement), std::move(requirements), reason);
    }
  }
  result.ended_after = runtime.now() - began;
  results.push_back(std::move(result));
}

/// Begins a transaction, keeps it idle for `idle`, then runs one statement in it and commits.
Awaitable<void> run_transaction(runtime::Runtime& runtime, BackendAdmission& admission,
                                AdmissionRequest request, Duration idle, CallResults& results) {
  CallResult result;
  auto connection = co_await admission.admit(request, result.reason);
  result.admitted = connection != nullptr;
  if (!connection) {
    results.push_back(std::move(result));
    co_return;
  }
  Requirements requirements;
  requirements.deadline = request.deadline;
  Reason reason;
  const DatabaseName database("learners");
  const auto transaction = co_await connection->begin(database, requirements, reason);
  co_await runtime.sleep_for(idle);
  Statement statement;
  statement.text = "inside";
  co_await connection->execute_in(*transaction, std::move(statement), requirements, reason);
  result.answer = co_await connection->commit(*transaction, requirements, reason);
  results.push_back(std::move(result));
}

class BackendAdmissionTest : public AdmissionFixture<CallResult> {
  CPPUNIT_TEST_SUITE(BackendAdmissionTest);
  CPPUNIT_TEST(test_warm_backend_has_no_opening_delay);
  CPPUNIT_TEST(test_growing_load_finds_connections_open);
  CPPUNIT_TEST(test_runs_no_more_than_the_limit);
  CPPUNIT_TEST(test_queue_orders_by_priority_then_deadline);
  CPPUNIT_TEST(test_refuses_early_if_the_deadline_cannot_be_met);
  CPPUNIT_TEST(test_urgent_statement_is_not_refused_for_less_urgent_ones);
  CPPUNIT_TEST(test_full_queue_evicts_the_least_urgent);
  CPPUNIT_TEST(test_connections_refused_by_the_backend_limit_admission);
  CPPUNIT_TEST(test_unreachable_backend_fails_waiters_at_once);
  CPPUNIT_TEST(test_unreachable_backend_is_tried_with_one_connection_at_a_time);
  CPPUNIT_TEST(test_broken_connections_are_not_reused);
  CPPUNIT_TEST(test_idle_connections_are_closed_down_to_the_warm_ones);
  CPPUNIT_TEST(test_smaller_share_closes_connections);
  CPPUNIT_TEST(test_new_endpoint_replaces_connections);
  CPPUNIT_TEST(test_idle_transaction_holds_no_permit);
  CPPUNIT_TEST(test_open_transactions_do_not_wait_behind_statements_without_a_connection);
  CPPUNIT_TEST(test_busy_answers_lower_the_limit);
  CPPUNIT_TEST(test_busy_backend_is_sent_nothing_during_the_pause);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    AdmissionFixture::setUp();
    set_capacity({20, 4, 2});
  }

  void test_warm_backend_has_no_opening_delay() {
    admission_->maintain();
    world_->run_for(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(2U, script_->open);
    start("a");
    start("b");
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, results_.size());
    for (const auto& result : results_) CPPUNIT_ASSERT(result.admitted_after == Duration(0));
  }

  void test_growing_load_finds_connections_open() {
    admission_->maintain();
    world_->run_for(milliseconds(20));
    // The limit grows by one every 200 ms; each concurrent statement needs one more connection.
    for (int round = 0; round < 500; ++round) {
      while (admission_->statistics().running < admission_->statistics().limit) start("s");
      world_->run_for(milliseconds(5));
    }
    CPPUNIT_ASSERT_EQUAL(10U, admission_->statistics().limit);
    std::size_t delayed = 0;
    for (const auto& result : results_) delayed += result.admitted_after >= script_->opening_delay ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, delayed);
  }

  void test_runs_no_more_than_the_limit() {
    for (int statement = 0; statement < 40; ++statement) start("s");
    world_->run_for(milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(2U, script_->most_running);
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, results_.size());
    CPPUNIT_ASSERT(script_->most_running <= 10);
  }

  void test_queue_orders_by_priority_then_deadline() {
    script_->statement_duration = milliseconds(20);
    set_capacity({2, 1, 2});
    warm_up_one();
    start("running", 1, seconds(5));
    start("low", 2, seconds(1));
    start("normal late", 1, seconds(4));
    start("normal soon", 1, seconds(2));
    start("high late", 0, seconds(5));
    start("high soon", 0, seconds(3));
    start("high soon, second", 0, seconds(3));
    world_->run_for(seconds(1));
    const std::vector<std::string> expected{
        "running", "high soon", "high soon, second", "high late", "normal soon", "normal late", "low"};
    CPPUNIT_ASSERT(expected == script_->statements);
  }

  void test_refuses_early_if_the_deadline_cannot_be_met() {
    script_->statement_duration = milliseconds(100);
    set_capacity({2, 1, 2});
    warm_up_one();
    for (int statement = 0; statement < 6; ++statement) start("s", 1, seconds(2));
    start("hopeless", 1, milliseconds(150));
    // Refused without waiting: it would have waited at least 100 ms and then run for 100 ms.
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, results_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("hopeless"), results_.front().text);
    CPPUNIT_ASSERT(!results_.front().admitted);
    CPPUNIT_ASSERT(results_.front().reason.code == ReasonCode::kOverloaded);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, admission_->statistics().refused_early);
    CPPUNIT_ASSERT(admission_->suggested_retry_after() >= milliseconds(500));
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, results_.size());
    for (std::size_t result = 1; result < results_.size(); ++result) {
      CPPUNIT_ASSERT(results_[result].admitted);
    }
  }

  void test_urgent_statement_is_not_refused_for_less_urgent_ones() {
    script_->statement_duration = milliseconds(100);
    set_capacity({2, 1, 2});
    warm_up_one();
    for (int statement = 0; statement < 10; ++statement) start("low", 2, seconds(5));
    start("high", 0, milliseconds(350));
    world_->run_for(seconds(1));
    const auto urgent = std::find_if(results_.begin(), results_.end(),
                                     [](const CallResult& result) { return result.text == "high"; });
    CPPUNIT_ASSERT(urgent != results_.end() && urgent->admitted);
    CPPUNIT_ASSERT(urgent->ended_after <= milliseconds(350));
  }

  void test_full_queue_evicts_the_least_urgent() {
    script_->statement_duration = seconds(1);
    set_capacity({2, 1, 2});
    warm_up_one();
    start("running", 1, seconds(3600));
    start("least urgent", 2, seconds(3600));
    for (std::size_t waiting = 1; waiting < kQueueLimit; ++waiting) start("s", 1, seconds(3600));
    CPPUNIT_ASSERT_EQUAL(kQueueLimit, admission_->statistics().waiting);
    start("less urgent still", 3, seconds(3600));
    start("more urgent", 0, seconds(3600));
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, results_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("less urgent still"), results_[0].text);
    CPPUNIT_ASSERT_EQUAL(std::string("least urgent"), results_[1].text);
    for (const auto& result : results_) CPPUNIT_ASSERT(result.reason.code == ReasonCode::kOverloaded);
    script_->statement_duration = milliseconds(1);
    world_->run_for(seconds(30));
    CPPUNIT_ASSERT_EQUAL(kQueueLimit + 3, results_.size());
  }

  void test_connections_refused_by_the_backend_limit_admission() {
    script_->limit = 0;
    start("refused");
    world_->run_for(milliseconds(11));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, results_.size());
    CPPUNIT_ASSERT(results_.front().reason.code == ReasonCode::kOverloaded);
    script_->limit = 1;
    world_->run_for(seconds(1));
    for (int statement = 0; statement < 5; ++statement) start("s");
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, results_.size());
    for (std::size_t result = 1; result < results_.size(); ++result) {
      CPPUNIT_ASSERT(results_[result].admitted);
    }
    CPPUNIT_ASSERT_EQUAL(1U, script_->open);
    CPPUNIT_ASSERT(admission_->pool_statistics().refused_by_backend > 0);
  }

  void test_unreachable_backend_fails_waiters_at_once() {
    script_->opening_failure = Reason{ReasonCode::kDeadlineExceeded, "connect", "b", "no answer"};
    for (int statement = 0; statement < 3; ++statement) start("s", 1, seconds(10));
    world_->run_for(milliseconds(11));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, results_.size());
    for (const auto& result : results_) {
      CPPUNIT_ASSERT(result.reason.code == ReasonCode::kUnreachable);
      CPPUNIT_ASSERT_EQUAL(std::string("connect"), result.reason.step);
    }
    script_->opening_failure.reset();
    start("back");
    world_->run_for(milliseconds(20));
    CPPUNIT_ASSERT(results_.back().admitted);
  }

  void test_unreachable_backend_is_tried_with_one_connection_at_a_time() {
    script_->opening_failure = Reason{ReasonCode::kUnreachable, "connect", "b", "refused"};
    start("first");
    world_->run_for(milliseconds(20));
    const auto before = script_->openings;
    for (int statement = 0; statement < 8; ++statement) start("s", 1, seconds(10));
    world_->run_for(milliseconds(11));
    CPPUNIT_ASSERT_EQUAL(before + 1, script_->openings);
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, results_.size());
  }

  void test_broken_connections_are_not_reused() {
    admission_->maintain();
    world_->run_for(milliseconds(20));
    script_->break_connections = true;
    start("a");
    start("b");
    world_->run_for(milliseconds(8));  // a spare connection is still being opened
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, admission_->pool_statistics().broken);
    CPPUNIT_ASSERT_EQUAL(0U, admission_->pool_statistics().idle);
    script_->break_connections = false;
    start("c");
    world_->run_for(milliseconds(100));
    CPPUNIT_ASSERT(std::holds_alternative<Written>(results_.back().answer));
  }

  void test_idle_connections_are_closed_down_to_the_warm_ones() {
    script_->statement_duration = milliseconds(30);
    for (int statement = 0; statement < 400; ++statement) start("s", 1, seconds(60));
    world_->run_for(seconds(20));
    CPPUNIT_ASSERT(script_->open > 2);
    world_->run_for(kIdleLimit + seconds(1));
    admission_->maintain();
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(2U, script_->open);
    admission_->retire();
    world_->run_for(kIdleLimit + seconds(1));
    admission_->maintain();
    CPPUNIT_ASSERT_EQUAL(0U, script_->open);
  }

  void test_smaller_share_closes_connections() {
    for (int statement = 0; statement < 400; ++statement) start("s", 1, seconds(60));
    world_->run_for(seconds(20));
    CPPUNIT_ASSERT(script_->open > 2);
    set_capacity({20, 4, 10});
    admission_->maintain();
    CPPUNIT_ASSERT_EQUAL(2U, script_->open);
  }

  void test_new_endpoint_replaces_connections() {
    admission_->maintain();
    world_->run_for(milliseconds(20));
    const auto before = script_->openings;
    admission_->set_backend(Endpoint{"10.0.0.77", 1}, {20, 4, 2});
    CPPUNIT_ASSERT_EQUAL(0U, script_->open);
    admission_->maintain();
    world_->run_for(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(before + 2, script_->openings);
    CPPUNIT_ASSERT_EQUAL(2U, script_->open);
  }

  void test_idle_transaction_holds_no_permit() {
    set_capacity({8, 1, 2});
    for (int transaction = 0; transaction < 3; ++transaction) {
      runtime().spawn("transaction",
                      run_transaction(runtime(), *admission_, request(1, seconds(10)), seconds(2), results_));
    }
    world_->run_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(3U, admission_->pool_statistics().in_use);
    CPPUNIT_ASSERT_EQUAL(0U, admission_->statistics().running);
    start("beside them");
    world_->run_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, results_.size());
    CPPUNIT_ASSERT(results_.front().admitted);
    world_->run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, results_.size());
    for (const auto& result : results_) CPPUNIT_ASSERT(std::holds_alternative<Written>(result.answer));
    CPPUNIT_ASSERT_EQUAL(0U, admission_->pool_statistics().in_use);
    CPPUNIT_ASSERT(script_->most_running <= admission_->statistics().limit);
  }

  void test_open_transactions_do_not_wait_behind_statements_without_a_connection() {
    set_capacity({3, 4, 1});
    warm_up_one();
    for (int number = 0; number < 3; ++number) {
      runtime().spawn("call", run_transaction(runtime(), *admission_, request(1, seconds(2)),
                                              milliseconds(100), results_));
    }
    world_->run_for(milliseconds(50));
    start("waits for a connection");
    world_->run_for(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, results_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("waits for a connection"), results_.back().text);
    for (const auto& result : results_) {
      CPPUNIT_ASSERT_MESSAGE(result.reason.to_string(), !std::holds_alternative<Busy>(result.answer));
    }
  }

  void test_busy_answers_lower_the_limit() {
    admission_ = std::make_unique<BackendAdmission>(runtime(), *connector_, BackendName("b"));
    set_capacity({20, 8, 2});
    script_->busy = true;
    CPPUNIT_ASSERT_EQUAL(4U, admission_->statistics().limit);
    for (int statement = 0; statement < 20; ++statement) {
      start("s");
      world_->run_for(milliseconds(60));
    }
    CPPUNIT_ASSERT_EQUAL(1U, admission_->statistics().limit);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, admission_->statistics().busy_answers);
  }

  /// After the pause statements are admitted by priority.
  void test_busy_backend_is_sent_nothing_during_the_pause() {
    warm_up_one();
    script_->busy = true;
    start("refused");
    world_->run_for(milliseconds(1));
    script_->busy = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, results_.size());
    start("less urgent", 2);
    start("urgent", 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, script_->statements.size());
    world_->run_for(kMaxBusyPause + milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, script_->statements.size());
    CPPUNIT_ASSERT_EQUAL(std::string("urgent"), script_->statements[1]);
    CPPUNIT_ASSERT_EQUAL(std::string("less urgent"), script_->statements[2]);
  }

 private:
  AdmissionRequest request(std::uint8_t priority_class, Duration time) {
    return {priority_class, runtime().now() + time};
  }
  void start(const std::string& text, std::uint8_t priority_class = 1, Duration time = seconds(5)) {
    runtime().spawn("call", call(runtime(), *admission_, text, request(priority_class, time), results_));
    world_->run_for(Duration(0));
  }
  /// Runs one statement so that a connection is open and the latency is known, then clears the records.
  void warm_up_one() {
    start("warm up");
    world_->run_for(seconds(2));
    results_.clear();
    script_->statements.clear();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendAdmissionTest);

}  // namespace
}  // namespace cairnhollow::declared::backend
