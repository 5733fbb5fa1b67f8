// Tests the bodies and headers of the caller API: all errors are reported, and invalid requests are not
// accepted in part.
#include "declared/proxy/calls/caller_request.h"

#include <cppunit/extensions/HelperMacros.h>

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

runtime::HttpRequest with_body(std::string body) {
  runtime::HttpRequest request;
  request.method = runtime::HttpMethod::kPost;
  request.body = std::move(body);
  return request;
}

ParseContext context() { return ParseContext{TimePoint(seconds(10)), seconds(5)}; }

/// Returns a complete statement body followed by the members in `extra`.
std::string statement(const std::string& extra) {
  return R"({"database":"decks","partition_key":"learner-1","text":"{}")" + extra + "}";
}

void assert_error(const std::string& body, const std::string& error) {
  Reason reason;
  const auto parsed = parse_statement(with_body(body), context(), reason);
  CPPUNIT_ASSERT_MESSAGE(body, !parsed.has_value());
  CPPUNIT_ASSERT(reason.code == ReasonCode::kInvalidArgument);
  CPPUNIT_ASSERT_MESSAGE(reason.detail, reason.detail.find(error) != std::string::npos);
}

class CallerRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerRequestTest);
  CPPUNIT_TEST(test_parses_a_complete_statement);
  CPPUNIT_TEST(test_rejects_malformed_json);
  CPPUNIT_TEST(test_each_error_names_its_field);
  CPPUNIT_TEST(test_reports_all_errors_together);
  CPPUNIT_TEST(test_reads_the_request_id_from_the_header);
  CPPUNIT_TEST(test_undecodable_token_is_treated_as_absent);
  CPPUNIT_TEST(test_answer_is_due_before_the_callers_deadline);
  CPPUNIT_TEST(test_rejects_bodies_that_are_too_long);
  CPPUNIT_TEST(test_validates_the_other_request_bodies);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_parses_a_complete_statement() {
    Reason reason;
    const auto parsed = parse_statement(
        with_body(
            statement(R"(,"kind":"write","session":"s-1","number":7,"answered_up_to":6,"repeatable":true,)"
                      R"("priority":"high","deadline_ms":1000,"labels":{"city":"is"},"resent":true)")),
        context(), reason);
    CPPUNIT_ASSERT_MESSAGE(reason.detail, parsed.has_value());
    const auto& call = parsed->call;
    CPPUNIT_ASSERT(call.statement.kind == backend::StatementKind::kWrite);
    CPPUNIT_ASSERT(call.request_id == (RequestId{SessionName("s-1"), 7}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, call.answered_up_to);
    CPPUNIT_ASSERT(call.priority == Priority::kHigh);
    CPPUNIT_ASSERT(call.resent);
    CPPUNIT_ASSERT_EQUAL(std::string("is"), *call.labels.find("city"));
    CPPUNIT_ASSERT_EQUAL(std::string("decks"), *call.labels.find("database"));
    CPPUNIT_ASSERT(!parsed->transaction.has_value());
  }

  void test_rejects_malformed_json() {
    assert_error("", "database: required");
    assert_error("{", "body:");
    assert_error("[]", "body: must be a JSON object");
    assert_error("\"text\"", "body: must be a JSON object");
    assert_error(statement(R"(,"kind":"read"})") + "}", "body:");
    assert_error("\xff\xfe", "body:");
  }

  void test_each_error_names_its_field() {
    assert_error(statement(""), "kind: required");
    assert_error(statement(R"(,"kind":"delete")"), "kind: must be \"read\" or \"write\"");
    assert_error(statement(R"(,"kind":7)"), "kind: must be a string");
    assert_error(statement(R"(,"kind":"read","priority":"urgent")"), "priority: must be");
    assert_error(statement(R"(,"kind":"read","deadline_ms":0)"), "deadline_ms:");
    assert_error(statement(R"(,"kind":"read","deadline_ms":60001)"), "deadline_ms:");
    assert_error(statement(R"(,"kind":"read","deadline_ms":-5)"), "deadline_ms:");
    assert_error(statement(R"(,"kind":"read","deadline_ms":1.5)"), "deadline_ms:");
    assert_error(statement(R"(,"kind":"read","deadline_ms":"soon")"), "deadline_ms:");
    assert_error(statement(R"(,"kind":"write")"), "session, number: required");
    assert_error(statement(R"(,"kind":"write","session":"s")"), "session, number: both or neither");
    assert_error(statement(R"(,"kind":"write","session":"a b","number":1)"), "session: must be 1 to 128");
    assert_error(statement(R"(,"kind":"write","session":"s","number":0)"), "number:");
    assert_error(statement(R"(,"kind":"write","session":"s","number":3,"answered_up_to":3)"),
                 "answered_up_to: must be below number");
    assert_error(statement(R"(,"kind":"read","repeatable":"yes")"), "repeatable:");
    assert_error(statement(R"(,"kind":"read","labels":[])"), "labels:");
    assert_error(statement(R"(,"kind":"read","labels":{"a":1})"), "labels");
    assert_error(statement(R"(,"kind":"read","session_token":5)"), "session_token: must be a string");
    assert_error(statement(R"(,"kind":"read","colour":"red")"), "colour");
    assert_error(R"({"database":"","partition_key":"k","text":"t","kind":"read"})", "database: required");
  }

  void test_reports_all_errors_together() {
    const std::string body = R"({"database":5,"kind":"write","priority":"x","colour":1})";
    for (const char* field :
         {"database:", "partition_key:", "text:", "priority:", "session, number", "colour"}) {
      assert_error(body, field);
    }
  }

  void test_reads_the_request_id_from_the_header() {
    auto request = with_body(statement(R"(,"kind":"write")"));
    request.headers.fields["idempotency-key"] = "s-1:9";
    Reason reason;
    const auto parsed = parse_statement(request, context(), reason);
    CPPUNIT_ASSERT_MESSAGE(reason.detail, parsed.has_value());
    CPPUNIT_ASSERT(parsed->call.request_id == (RequestId{SessionName("s-1"), 9}));
    for (const char* key :
         {"", ":", "s-1", "s-1:", ":9", "s-1:0", "s-1:x", "s-1:9x", "a b:9", "s-1:99999999999999999999"}) {
      request.headers.fields["idempotency-key"] = key;
      CPPUNIT_ASSERT_MESSAGE(key, !parse_statement(request, context(), reason).has_value());
      CPPUNIT_ASSERT_MESSAGE(key, reason.detail.find("Idempotency-Key:") != std::string::npos);
    }
    request.body = statement(R"(,"kind":"write","session":"s-1","number":8)");
    request.headers.fields["idempotency-key"] = "s-1:9";
    CPPUNIT_ASSERT(!parse_statement(request, context(), reason).has_value());
    CPPUNIT_ASSERT(reason.detail.find("does not match session:number in the body") != std::string::npos);
  }

  void test_undecodable_token_is_treated_as_absent() {
    Reason reason;
    const auto parsed = parse_statement(with_body(statement(R"(,"kind":"read","session_token":"garbage")")),
                                        context(), reason);
    CPPUNIT_ASSERT(parsed.has_value());
    CPPUNIT_ASSERT(!parsed->call.token.has_value());
  }

  void test_answer_is_due_before_the_callers_deadline() {
    Reason reason;
    const auto long_wait =
        parse_statement(with_body(statement(R"(,"kind":"read","deadline_ms":1000)")), context(), reason);
    CPPUNIT_ASSERT(long_wait->call.deadline == context().now + seconds(1) - kAnswerMargin);
    const auto short_wait =
        parse_statement(with_body(statement(R"(,"kind":"read","deadline_ms":4)")), context(), reason);
    CPPUNIT_ASSERT(short_wait->call.deadline == context().now + milliseconds(3));
    const auto no_deadline = parse_statement(with_body(statement(R"(,"kind":"read")")), context(), reason);
    CPPUNIT_ASSERT(no_deadline->call.deadline == context().now + seconds(5) - kAnswerMargin);
  }

  void test_rejects_bodies_that_are_too_long() {
    assert_error(std::string(kMaximumBodyLength + 1, ' '), "body: longer than");
    const auto text = std::string(kMaximumTextLength + 1, 'x');
    assert_error(R"({"database":"d","partition_key":"k","kind":"read","text":")" + text + "\"}",
                 "text: longer");
    const auto key = std::string(kMaximumPartitionKeyLength + 1, 'x');
    assert_error(R"({"database":"d","text":"t","kind":"read","partition_key":")" + key + "\"}",
                 "partition_key: longer");
  }

  void test_validates_the_other_request_bodies() {
    Reason reason;
    CPPUNIT_ASSERT(!parse_begin(with_body("{}"), context(), reason).has_value());
    CPPUNIT_ASSERT(reason.detail.find("database") != std::string::npos);
    CPPUNIT_ASSERT(!parse_commit(with_body(R"({"database":"d"})"), context(), reason).has_value());
    CPPUNIT_ASSERT(reason.detail.find("session, number: required") != std::string::npos);
    CPPUNIT_ASSERT(reason.detail.find("database, partition_key: both or neither") != std::string::npos);
    CPPUNIT_ASSERT(!parse_rollback(with_body(R"({"deadline_ms":"x"})"), context(), reason).has_value());
    CPPUNIT_ASSERT(reason.detail.find("deadline_ms") != std::string::npos);
    CPPUNIT_ASSERT(!parse_resolve(with_body(R"({"number":1})"), context(), reason).has_value());
    CPPUNIT_ASSERT(reason.detail.find("session, number: both or neither") != std::string::npos);
    CPPUNIT_ASSERT(
        !parse_transaction_statement(with_body(R"({"kind":"read"})"), context(), reason).has_value());
    CPPUNIT_ASSERT(reason.detail.find("text: required") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerRequestTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy
