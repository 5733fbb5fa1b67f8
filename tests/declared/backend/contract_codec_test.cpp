// Checks that malformed bodies are refused with an error that names the invalid field.
#include "declared/backend/contract_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include "standins/database/statement_text.h"
#include "standins/database/tunables.h"

namespace cairnhollow::declared::backend {
namespace {

class ContractCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ContractCodecTest);
  CPPUNIT_TEST(test_malformed_call_is_refused_with_its_field);
  CPPUNIT_TEST(test_malformed_fault_settings_are_refused_with_their_field);
  CPPUNIT_TEST(test_malformed_statement_is_refused_as_its_text);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_malformed_call_is_refused_with_its_field() {
    expect_refused<TermCall>("{", "body: ");
    expect_refused<TermCall>("[]", "body: ");
    expect_refused<TermCall>(R"({"owner":"a"})", "term: is required");
    expect_refused<TermCall>(R"({"term":"x","owner":"a"})", "term: must be a whole number");
    expect_refused<TermCall>(R"({"term":-1,"owner":"a"})", "term: must be a whole number");
    expect_refused<TermCall>(R"({"term":1,"owner":2})", "owner: must be a string");
    expect_refused<StatementCall>(R"({"transaction":"","statement":5})", "statement: must be an object");
    expect_refused<FollowCall>(R"({"term":1,"primary":"b","endpoint":"c"})", "endpoint: ");
    expect_refused<ResolveCall>(R"({"term":1,"time_left_us":1})", "request_id: is required");
  }

  void test_malformed_fault_settings_are_refused_with_their_field() {
    for (const std::string field : {"slots", "replication_lag_ms", "short_bodies", "odd"}) {
      standins::database::Tunables tunables;
      Reason reason;
      const std::string body = R"({")" + field + R"(":"many"})";
      CPPUNIT_ASSERT(!standins::database::update_tunables(body, tunables, reason));
      CPPUNIT_ASSERT_MESSAGE(reason.detail, reason.detail.starts_with(field + ": "));
    }
  }

  void test_malformed_statement_is_refused_as_its_text() {
    for (const std::string text :
         {"not json", "5", "[5]", "{}", R"({"op":"jump"})", R"({"op":"get","record":1})"}) {
      Reason reason;
      CPPUNIT_ASSERT(!standins::database::parse_statement(DatabaseName("d"), text, reason));
      CPPUNIT_ASSERT_MESSAGE(reason.detail, reason.detail.starts_with("text: "));
      CPPUNIT_ASSERT_MESSAGE(reason.detail, reason.detail.find("boost") == std::string::npos);
    }
  }

 private:
  template <class Call>
  static void expect_refused(const std::string& body, const std::string& prefix) {
    Reason reason;
    CPPUNIT_ASSERT(!decode_call<Call>(body, TimePoint(), reason));
    CPPUNIT_ASSERT(reason.code == ReasonCode::kInvalidArgument);
    CPPUNIT_ASSERT_MESSAGE(reason.detail, reason.detail.starts_with(prefix));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContractCodecTest);

}  // namespace
}  // namespace cairnhollow::declared::backend
