// Tests the HTTP driver against a server that delays, crosses, repeats and truncates answers: every call gets
// its own complete answer or a failure, and a connection on which one failed is never used again.
#include "declared/backend/http_backend.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/standins/database/database_group.h"

namespace cairnhollow::declared::backend {
namespace {

using standins::database::DatabaseGroup;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCalls = 60;

/// Outcomes of the calls.
struct CallCounts {
  int answered = 0;
  int failed = 0;
};

class HttpBackendTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpBackendTest);
  CPPUNIT_TEST(test_crossed_answers_are_not_delivered);
  CPPUNIT_TEST(test_repeated_answers_are_not_delivered);
  CPPUNIT_TEST(test_truncated_answers_are_not_delivered);
  CPPUNIT_TEST(test_late_answers_are_not_delivered);
  CPPUNIT_TEST(test_missing_answer_closes_the_connection);
  CPPUNIT_TEST(test_concurrent_exchange_is_refused_unsent);
  CPPUNIT_TEST(test_closed_connection_sends_nothing);
  CPPUNIT_TEST(test_connection_limit_is_refused);
  CPPUNIT_TEST(test_control_connection_does_not_count_against_the_limit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    group_ = std::make_unique<DatabaseGroup>(41);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), group_->fail_over(1, "o1", {"a", "b", "c"}));
  }
  void tearDown() override { group_.reset(); }

  void test_crossed_answers_are_not_delivered() { expect_own_answers(R"({"crossed_answers":0.3})"); }
  void test_repeated_answers_are_not_delivered() { expect_own_answers(R"({"duplicated_answers":0.3})"); }
  void test_truncated_answers_are_not_delivered() { expect_own_answers(R"({"short_bodies":0.3})"); }
  void test_late_answers_are_not_delivered() {
    expect_own_answers(R"({"delayed_answers":0.3,"answer_delay_ms":300})");
  }

  void test_missing_answer_closes_the_connection() {
    auto connection = group_->connect("a");
    group_->world().freeze("a");
    const auto answer = write(*connection, 1);
    CPPUNIT_ASSERT(std::holds_alternative<Failed>(answer));
    CPPUNIT_ASSERT(std::get<Failed>(answer).sent == runtime::SendState::kMaybeSent);
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kDeadlineExceeded);
    CPPUNIT_ASSERT_EQUAL(DatabaseGroup::endpoint("a").to_string(), reason_.peer);
    CPPUNIT_ASSERT(!connection->is_open());
    group_->world().thaw("a");
    group_->world().run_for(seconds(1));
    CPPUNIT_ASSERT(!connection->is_open());
  }

  void test_concurrent_exchange_is_refused_unsent() {
    auto connection = group_->connect("a");
    Reason first_reason;
    const auto first = group_->start(
        connection->execute(DatabaseGroup::append_statement("one"), group_->requirements(1), first_reason));
    group_->world().run_for(milliseconds(1));
    const auto second = write(*connection, 2);
    CPPUNIT_ASSERT(std::holds_alternative<Failed>(second));
    CPPUNIT_ASSERT(std::get<Failed>(second).sent == runtime::SendState::kNotSent);
    group_->world().run_for(seconds(1));
    CPPUNIT_ASSERT(std::holds_alternative<Written>(**first));
  }

  void test_closed_connection_sends_nothing() {
    auto connection = group_->connect("a");
    connection->close();
    const auto answer = write(*connection, 1);
    CPPUNIT_ASSERT(std::holds_alternative<Failed>(answer));
    CPPUNIT_ASSERT(std::get<Failed>(answer).sent == runtime::SendState::kNotSent);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":[]})"), group_->content("a"));
  }

  void test_connection_limit_is_refused() {
    CPPUNIT_ASSERT(group_->set_faults("a", R"({"connections":2})"));
    auto first = group_->connect("a");
    auto second = group_->connect("a");
    CPPUNIT_ASSERT(first && second);
    CPPUNIT_ASSERT(!group_->connect("a"));
    CPPUNIT_ASSERT(group_->reason().code == ReasonCode::kOverloaded);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), group_->reason().peer);
    first->close();
    group_->world().run_for(milliseconds(50));
    CPPUNIT_ASSERT(group_->connect("a"));
  }

  void test_control_connection_does_not_count_against_the_limit() {
    CPPUNIT_ASSERT(group_->set_faults("a", R"({"connections":0})"));
    CPPUNIT_ASSERT(!group_->connect("a"));
    const auto control = group_->connect("a", ConnectionPurpose::kControl);
    CPPUNIT_ASSERT(control);
    const auto status = group_->run(control->status(group_->in(seconds(1)), reason_));
    CPPUNIT_ASSERT(status && status->role == BackendRole::kPrimary);
    CPPUNIT_ASSERT(group_->run(control->fence(2, "o2", group_->in(seconds(1)), reason_))->granted);
  }

 private:
  /// Appends the number; the answer holds its position in the record.
  ExecuteAnswer write(BackendConnection& connection, std::uint64_t number) {
    const RequestId request{SessionName("s"), number};
    auto required = group_->requirements(1, request);
    required.deadline = group_->in(milliseconds(200));
    reason_ = Reason{};
    return group_->run(
        connection.execute(DatabaseGroup::append_statement(std::to_string(number)), required, reason_));
  }

  /// Alternates between two connections, so that answers can be crossed. An answer is the call's own if the
  /// ledger has the same position for the request.
  CallCounts run_calls() {
    CallCounts counts;
    std::vector<std::shared_ptr<BackendConnection>> connections(2);
    for (std::uint64_t number = 1; number <= kCalls; ++number) {
      auto& connection = connections[number % connections.size()];
      if (!connection) connection = group_->connect("a");
      CPPUNIT_ASSERT(connection);
      const auto answer = write(*connection, number);
      if (const auto* written = std::get_if<Written>(&answer)) {
        ++counts.answered;
        const auto outcome = group_->resolve("a", 1, RequestId{SessionName("s"), number});
        CPPUNIT_ASSERT(outcome && outcome->committed);
        CPPUNIT_ASSERT(outcome->position == written->position);
        CPPUNIT_ASSERT(connection->is_open());
        continue;
      }
      ++counts.failed;
      CPPUNIT_ASSERT(std::holds_alternative<Failed>(answer));
      CPPUNIT_ASSERT(std::get<Failed>(answer).sent == runtime::SendState::kMaybeSent);
      CPPUNIT_ASSERT(!connection->is_open());
      connection.reset();
    }
    return counts;
  }

  void expect_own_answers(const std::string& faults) {
    CPPUNIT_ASSERT(group_->set_faults("a", faults));
    const auto counts = run_calls();
    CPPUNIT_ASSERT_EQUAL(kCalls, counts.answered + counts.failed);
    CPPUNIT_ASSERT(counts.answered > 0);
    CPPUNIT_ASSERT(counts.failed > 3);
  }

  std::unique_ptr<DatabaseGroup> group_;
  Reason reason_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpBackendTest);

}  // namespace
}  // namespace cairnhollow::declared::backend
