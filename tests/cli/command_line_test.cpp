// The operator's command line: what it accepts, what it refuses and by what words.
#include "cli/command_line.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cli/difference.h"
#include "tests/declared/config/test_objects.h"

namespace cairnhollow::cli {

class CommandLineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandLineTest);
  CPPUNIT_TEST(every_command_is_read);
  CPPUNIT_TEST(servers_come_from_flags_or_the_environment);
  CPPUNIT_TEST(labels_are_told_from_names);
  CPPUNIT_TEST(faults_name_the_argument);
  CPPUNIT_TEST(help_and_version);
  CPPUNIT_TEST(explain_takes_a_statement_or_a_request);
  CPPUNIT_TEST(difference_marks_lines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void every_command_is_read() {
    CPPUNIT_ASSERT(parse({"apply", "-f", "x", "-f", "y", "--wait"}).command == Command::kApply);
    CPPUNIT_ASSERT(parse({"diff", "-f", "x"}).command == Command::kDiff);
    CPPUNIT_ASSERT(parse({"get", "all"}).command == Command::kGet);
    CPPUNIT_ASSERT(parse({"describe", "group", "g"}).command == Command::kDescribe);
    CPPUNIT_ASSERT(parse({"delete", "route", "r"}).command == Command::kDelete);
    CPPUNIT_ASSERT(parse({"delete", "-f", "x"}).command == Command::kDelete);
    CPPUNIT_ASSERT(parse({"label", "proxy", "p", "a=b"}).command == Command::kLabel);
    CPPUNIT_ASSERT(parse({"drain", "proxies", "p"}).command == Command::kDrain);
    CPPUNIT_ASSERT(parse({"evacuate", "petone"}).command == Command::kDrain);
    CPPUNIT_ASSERT(!parse({"evacuate", "petone"}).undo);
    CPPUNIT_ASSERT(parse({"evacuate", "petone", "--end"}).undo);
    CPPUNIT_ASSERT(parse({"status"}).command == Command::kStatus);
    CPPUNIT_ASSERT(parse({"events", "--since", "4"}).since == 4U);
    CPPUNIT_ASSERT(!parse({"events"}).since);
    CPPUNIT_ASSERT(parse({"member", "list"}).command == Command::kMemberList);
    CPPUNIT_ASSERT(parse({"member", "add", "n", "--endpoint", "1.2.3.4:5", "--zone", "z"}).command ==
                   Command::kMemberAdd);
    CPPUNIT_ASSERT(parse({"member", "remove", "n"}).member == "n");
    const auto replace = parse({"member", "replace", "old", "new", "--endpoint", "1.2.3.4:5", "--zone", "z"});
    CPPUNIT_ASSERT(replace.command == Command::kMemberReplace);
    CPPUNIT_ASSERT_EQUAL(std::string("old"), replace.member);
    CPPUNIT_ASSERT_EQUAL(std::string("new"), replace.replacement);
    const auto switchover = parse({"switchover", "orders", "--to", "zone=k"});
    CPPUNIT_ASSERT((switchover.names == std::vector<std::string>{"orders"}));
    CPPUNIT_ASSERT(switchover.target == declared::config::selector_of("zone=k"));
    CPPUNIT_ASSERT(parse({"wait", "12"}).revision == 12);
    CPPUNIT_ASSERT(parse({"wait", "--timeout", "2m"}).timeout == std::chrono::minutes(2));
    const auto verbatim = parse({"apply", "-f", "x", "--change-id", "c", "--at-revision", "7"});
    CPPUNIT_ASSERT_EQUAL(std::string("c"), verbatim.change_id);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, verbatim.at_revision);
  }

  void servers_come_from_flags_or_the_environment() {
    const auto flags = parse({"status", "-s", "10.0.0.1:1", "--server", "[::1]:2"});
    CPPUNIT_ASSERT((flags.servers == std::vector<Endpoint>{{"10.0.0.1", 1}, {"::1", 2}}));
    CPPUNIT_ASSERT((parse({"status"}).servers == std::vector<Endpoint>{{"10.9.9.9", 9}, {"10.9.9.8", 8}}));
    CPPUNIT_ASSERT_EQUAL(std::string("aroha"), parse({"status"}).operator_name);
    CPPUNIT_ASSERT_EQUAL(std::string("tama"), parse({"status", "--operator", "tama"}).operator_name);
    Reason reason;
    CPPUNIT_ASSERT(!parse_command_line({"status"}, Environment{}, reason));
    CPPUNIT_ASSERT(reason.detail.find("CAIRNHOLLOW_SERVERS") != std::string::npos);
  }

  void labels_are_told_from_names() {
    const auto line = parse({"label", "backend", "a", "b", "tier=x", "old-", "empty="});
    CPPUNIT_ASSERT((line.names == std::vector<std::string>{"a", "b"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, line.label_changes.size());
    CPPUNIT_ASSERT(line.label_changes[0].value == "x");
    CPPUNIT_ASSERT_EQUAL(std::string("old"), line.label_changes[1].key);
    CPPUNIT_ASSERT(!line.label_changes[1].value);
    CPPUNIT_ASSERT(line.label_changes[2].value == "");
  }

  void faults_name_the_argument() {
    const std::vector<std::pair<std::vector<std::string>, std::string>> cases = {
        {{"get", "shard"}, "KIND: 'shard'"},
        {{"get", "backend", "-o", "xml"}, "--output: 'xml'"},
        {{"get", "backend", "-l", "a in b"}, "--selector"},
        {{"status", "--timeout", "5"}, "--timeout: '5'"},
        {{"status", "--timeout", "25h"}, "--timeout: '25h'"},
        {{"status", "-s", "localhost:1"}, "--server: 'localhost:1'"},
        {{"events", "--limit", "x"}, "--limit: 'x'"},
        {{"label", "backend", "a"}, "WORD"},
        {{"label", "backend", "a=b"}, "name objects or select them"},
        {{"label", "all", "a", "a=b"}, "KIND: name one kind"},
        {{"delete", "backend", "a", "-l", "x=y"}, "not both"},
        {{"drain", "route", "r"}, "KIND: only a proxy or backend drains"},
        {{"evacuate", "petone", "-l", "a=b"}, "evacuate takes a zone"},
        {{"evacuate", "pet one"}, "ZONE"},
        {{"evacuate"}, "--help"},
        {{"member", "add", "n"}, "--endpoint: is required"},
        {{"member", "add", "n", "--endpoint", "1.2.3.4:5"}, "--zone: is required"},
        {{"switchover"}, "name a group or select groups"},
        {{"apply", "-f", "x", "--change-id", "c"}, "--at-revision"},
        {{"apply", "-f", "x", "--at-revision", "1"}, "--change-id"},
        {{"drain", "proxy", "p", "--change-id", "c", "--at-revision", "1"}, "only with -f"},
        {{"explain", "--request-id", "s"}, "SESSION/NUMBER"},
        {{"frobnicate"}, "--help"},
        {{}, "--help"},
        {{"apply"}, "--help"},
    };
    for (const auto& [words, part] : cases) {
      Reason reason;
      CPPUNIT_ASSERT_MESSAGE(part, !parse_command_line(words, environment(), reason));
      CPPUNIT_ASSERT_MESSAGE(part + ": " + reason.detail, reason.detail.find(part) != std::string::npos);
      CPPUNIT_ASSERT(reason.code == ReasonCode::kInvalidArgument);
    }
  }

  void help_and_version() {
    Reason reason;
    const auto help = parse_command_line({"--help"}, Environment{}, reason);
    CPPUNIT_ASSERT(!help->command_line);
    for (const char* part :
         {"Usage:", "Commands:", "Options:", "Exit codes:", "Examples:", "--at-revision"}) {
      CPPUNIT_ASSERT_MESSAGE(part, help->text.find(part) != std::string::npos);
    }
    const auto version = parse_command_line({"--version"}, Environment{}, reason);
    CPPUNIT_ASSERT_EQUAL(std::string("cairnhollow 0.1.0\n"), version->text);
  }

  void explain_takes_a_statement_or_a_request() {
    const auto statement =
        parse({"explain", "learner", "card-17", "--write", "--label", "a=b", "--token", "t"});
    CPPUNIT_ASSERT_EQUAL(std::string("learner"), statement.question.database);
    CPPUNIT_ASSERT_EQUAL(std::string("card-17"), statement.question.key);
    CPPUNIT_ASSERT(statement.question.write);
    CPPUNIT_ASSERT(statement.question.labels.find("a") == "b");
    const auto from_logs = parse({"explain", "--request-id", "8f31", "--log", "a.log", "--log", "b.log"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, from_logs.question.logs.size());
    CPPUNIT_ASSERT_EQUAL(std::string("8f31"), from_logs.question.request_id);
    const auto request = parse({"explain", "--request-id", "session/4", "--proxy", "10.0.0.1:1"});
    CPPUNIT_ASSERT_EQUAL(std::string("session/4"), request.question.request_id);
    CPPUNIT_ASSERT((request.question.proxy == Endpoint{"10.0.0.1", 1}));
  }

  void difference_marks_lines() {
    CPPUNIT_ASSERT_EQUAL(std::string(), line_difference("a\nb\n", "a\nb\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("  a\n- b\n+ x\n  c\n"), line_difference("a\nb\nc\n", "a\nx\nc\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("+ a\n"), line_difference("", "a\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("- a\n  b\n"), line_difference("a\nb\n", "b\n"));
  }

 private:
  static Environment environment() { return {"10.9.9.9:9, 10.9.9.8:8", "aroha"}; }

  static CommandLine parse(const std::vector<std::string>& words) {
    Reason reason;
    const auto parsed = parse_command_line(words, environment(), reason);
    CPPUNIT_ASSERT_MESSAGE(reason.detail, parsed && parsed->command_line);
    return *parsed->command_line;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);

}  // namespace cairnhollow::cli
