// Tests encoding and decoding of the wire protocol: the examples of its documentation, and malformed input.
#include "platform/wire_words.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "tests/declared/config/properties.h"

namespace cairnhollow::platform {

using registered::Refusal;
using registered::StatementKind;

class WireWordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WireWordsTest);
  CPPUNIT_TEST(parses_documented_statements);
  CPPUNIT_TEST(invalid_statements_are_unknown);
  CPPUNIT_TEST(formats_documented_answers);
  CPPUNIT_TEST(formats_documented_requests);
  CPPUNIT_TEST(parses_and_formats_positions);
  CPPUNIT_TEST(refusal_codes_round_trip);
  CPPUNIT_TEST(any_text_is_kept_unchanged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void parses_documented_statements() {
    const auto prepare = parse_statement("5c0e7a21d94b36f8", "PREPARE s1 WRITE q2c");
    CPPUNIT_ASSERT(prepare.kind == StatementKind::kPrepare);
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), prepare.name);
    CPPUNIT_ASSERT_EQUAL(std::string("q2c"), prepare.argument);
    CPPUNIT_ASSERT(prepare.writes);
    const auto execute = parse_statement("5c0e7a21d94b36f8", "EXEC s1 1a4 xkqpwnzd");
    CPPUNIT_ASSERT(execute.kind == StatementKind::kExecute);
    CPPUNIT_ASSERT_EQUAL(std::string("1a4 xkqpwnzd"), execute.argument);
    CPPUNIT_ASSERT(parse_statement("i", "BEGIN").kind == StatementKind::kBegin);
    CPPUNIT_ASSERT(parse_statement("i", "BEGIN READ").kind == StatementKind::kBeginReadOnly);
    CPPUNIT_ASSERT(parse_statement("i", "READ 1a4").kind == StatementKind::kRead);
    const auto set = parse_statement("i", "SET locale en NZ");
    CPPUNIT_ASSERT(set.kind == StatementKind::kSetValue);
    CPPUNIT_ASSERT_EQUAL(std::string("en NZ"), set.argument);
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), parse_statement("i", "DEALLOC s1").name);
  }

  void invalid_statements_are_unknown() {
    for (const char* text :
         {"", "READ", "WRITE", "BEGIN WRITE", "COMMIT now", "AFTER 3.1 READ x", "PREPARE s1",
          "PREPARE s1 SCAN q", "PREPARE s1 READ", "RESET", "STATUS", "DEMOTE 4", "read x"}) {
      CPPUNIT_ASSERT_MESSAGE(text, parse_statement("i", text).kind == StatementKind::kUnknown);
    }
  }

  void formats_documented_answers() {
    registered::Answer answer;
    answer.rows = {"qhzkwmtrbelo"};
    answer.signature = "7.1f3.c.2b.90e1c4d2a7b3f655";
    answer.position = Position{3, 1209};
    CPPUNIT_ASSERT_EQUAL(
        std::string("ROW qhzkwmtrbelo\r\nDONE 7.1f3.c.2b.90e1c4d2a7b3f655\r\nREADY I 3.1209\r\n"),
        print_answer(answer));
    registered::Answer refused;
    refused.refusal = Refusal::kNotPrimary;
    refused.detail = "i-7f3a91c2";
    refused.state = registered::TransactionState::kFailed;
    refused.position = Position{3, 1209};
    CPPUNIT_ASSERT_EQUAL(std::string("ERR READONLY i-7f3a91c2\r\nREADY E 3.1209\r\n"), print_answer(refused));
    registered::Answer own;
    own.signature = "-";
    CPPUNIT_ASSERT_EQUAL(std::string("DONE -\r\nREADY I -\r\n"), print_answer(own));
  }

  void formats_documented_requests() {
    registered::SimpleQuery read{"5c0e7a21d94b36f8", "READ 1a4", Position{3, 1207}};
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c0e7a21d94b36f8 AFTER 3.1207 READ 1a4\r\n"),
                         print_request(read));
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY - STATUS\r\n"), print_request(registered::GetStatus{}));
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY - BEGIN\r\n"), print_request(registered::Begin{}));
    registered::Begin begin{true, Position{3, 7}};
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY - AFTER 3.7 BEGIN READ\r\n"), print_request(begin));
    registered::Execute execute{"5c0e", "p4", "1a4 xkqpwnzd", std::nullopt};
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c0e EXEC p4 1a4 xkqpwnzd\r\n"), print_request(execute));
    registered::Prepare prepare{"p4", true, "q2c"};
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY - PREPARE p4 WRITE q2c\r\n"), print_request(prepare));
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY - DEMOTE 4\r\n"), print_request(registered::Demote{4}));
  }

  void parses_and_formats_positions() {
    CPPUNIT_ASSERT(parse_position("3.1207") == (Position{3, 1207}));
    for (const char* text : {"-", "", "3", "3.", ".4", "3.x", "3.4.5", "-3.4", "3.99999999999999999999"})
      CPPUNIT_ASSERT_MESSAGE(text, !parse_position(text));
    CPPUNIT_ASSERT_EQUAL(std::string("-"), print_position(std::nullopt));
  }

  void refusal_codes_round_trip() {
    for (const char* word : {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT", "INDOUBT",
                             "TIMEOUT", "FAILED", "MALFORMED", "NOSTMT", "NODB"}) {
      const auto refusal = parse_refusal_code(word);
      CPPUNIT_ASSERT_MESSAGE(word, refusal);
      CPPUNIT_ASSERT_EQUAL(std::string(word), std::string(refusal_code(*refusal)));
    }
    CPPUNIT_ASSERT(!parse_refusal_code("busy"));
    CPPUNIT_ASSERT(registered::guarantees_no_effect(Refusal::kConnectionLimit));
    CPPUNIT_ASSERT(!registered::guarantees_no_effect(Refusal::kInDoubt));
    CPPUNIT_ASSERT(!registered::guarantees_no_effect(Refusal::kFailed));
  }

  void any_text_is_kept_unchanged() {
    declared::config::assert_property("any text is forwarded unchanged", [](const std::string& text) {
      const auto statement = parse_statement("id", text);
      RC_ASSERT(statement.text == text);
      RC_ASSERT(statement.name.size() + statement.argument.size() <= text.size());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireWordsTest);

}  // namespace cairnhollow::platform
