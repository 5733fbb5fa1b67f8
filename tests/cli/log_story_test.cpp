// What `explain` tells of a request out of log lines.
#include "cli/log_story.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace cairnhollow::cli {

namespace {

const char* const kLog =
    R"(  36.03 control-1 {"time":"2026-12-02T10:00:01.000000Z","level":"info","program":"cairnhollow-control","node":"control-1","zone":"a","event":"group_closing","group":"g1","term":"1","why":"not opened in time"}
{"time":"2026-12-02T10:00:00.900000Z","level":"warning","program":"cairnhollow-proxy","node":"proxy-1","zone":"a","event":"answer_lost","step":"receive","reason":"connection_lost","id":"q7","backend":"b1"}
{"time":"2026-12-02T10:00:01.100000Z","level":"warning","program":"cairnhollow-proxy","node":"proxy-1","zone":"a","event":"statement_refused","id":"q7","refusal":"in_doubt","why":"it was sent","group":"g1"}
{"time":"2026-12-02T10:00:01.050000Z","level":"warning","program":"cairnhollow-proxy","node":"proxy-1","zone":"a","event":"statement_refused","id":"q8","refusal":"busy","group":"g1"}
{"time":"2026-12-02T10:00:01.060000Z","level":"info","program":"cairnhollow-control","node":"control-1","zone":"a","event":"group_closing","group":"g2","term":"1"}
{"time":"2026-12-02T10:00:00.100000Z","level":"warning","program":"cairnhollow-proxy","node":"proxy-1","zone":"a","event":"lease_lost","revision":"4","left_out":"3"}
{"time":"2026-12-02T10:00:00.200000Z","level":"warning","program":"cairnhollow-proxy","node":"proxy-2","zone":"a","event":"lease_lost","revision":"4"}
{"time":"2026-12-02T09:59:50.000000Z","level":"info","program":"cairnhollow-proxy","node":"proxy-1","zone":"a","event":"started"}
{"time":"2026-12-02T10:00:01.5
)";

LogStory story_of(const std::string& id) {
  std::istringstream lines(kLog);
  LogReader reader;
  reader.read(lines);
  return reader.story_of(id);
}

}  // namespace

class LogStoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogStoryTest);
  CPPUNIT_TEST(lines_of_the_request_and_of_what_was_believed);
  CPPUNIT_TEST(printed_from_the_first_line_on);
  CPPUNIT_TEST(an_unknown_request_is_said_so);
  CPPUNIT_TEST(a_proxys_own_refusal_is_told_in_words);
  CPPUNIT_TEST_SUITE_END();

 public:
  void lines_of_the_request_and_of_what_was_believed() {
    const LogStory story = story_of("q7");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, story.own);
    std::string events;
    for (const LogEvent& event : story.events) events += event.node + ":" + event.event + " ";
    CPPUNIT_ASSERT_EQUAL(std::string("proxy-1:lease_lost proxy-1:answer_lost control-1:group_closing "
                                     "proxy-1:statement_refused "),
                         events);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, story.left_out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, story.unreadable);
  }

  void printed_from_the_first_line_on() {
    const std::string text = print_story(story_of("q7"), "q7");
    CPPUNIT_ASSERT(text.starts_with("q7: 2 lines name it; its first at 2026-12-02T10:00:00.900000Z\n"));
    CPPUNIT_ASSERT(text.find("    +100.0 ms  control-1          group_closing  group=g1  term=1") !=
                   std::string::npos);
    CPPUNIT_ASSERT(text.find(">     +200.0 ms  proxy-1            statement_refused  refusal=in_doubt") !=
                   std::string::npos);
    CPPUNIT_ASSERT(text.find("1 lines could not be read") != std::string::npos);
  }

  void an_unknown_request_is_said_so() {
    const LogStory story = story_of("q9");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, story.own);
    CPPUNIT_ASSERT(story.events.empty());
    CPPUNIT_ASSERT(
        print_story(story, "q9").starts_with("q9: none of 9 lines names it (1 could not be read)"));
  }

  void a_proxys_own_refusal_is_told_in_words() {
    std::istringstream lines(
        R"({"time":"2026-12-02T10:00:01.000000Z","node":"proxy-1","event":"statement_refused","id":"q1","since":"zone_evacuated","back_in_ms":"300","passed_over":"b1:zone_evacuated b2:lags"})");
    LogReader reader;
    reader.read(lines);
    const std::string text = print_story(reader.story_of("q1"), "q1");
    CPPUNIT_ASSERT_MESSAGE(text,
                           text.find("\n              refused since the zone of the backend that could run "
                                     "it is evacuated; to come back in 300 ms; backends passed over: "
                                     "b1:zone_evacuated b2:lags\n") != std::string::npos);
    std::istringstream busy(
        R"({"time":"2026-12-02T10:00:02.000000Z","node":"proxy-1","event":"statement_refused","id":"q2","since":"backends_busy","back_in_ms":"179","passed_over":"","gate":"hopeless","ahead":"9","expected_wait_ms":"160"})");
    LogReader gates;
    gates.read(busy);
    const std::string at_gate = print_story(gates.story_of("q2"), "q2");
    CPPUNIT_ASSERT_MESSAGE(at_gate, at_gate.find("; to come back in 179 ms; at the backend's gate hopeless, "
                                                 "with 9 ahead and 160 ms to wait\n") != std::string::npos);
    const std::string other = print_story(story_of("q7"), "q7");
    CPPUNIT_ASSERT_MESSAGE("a backend's refusal", other.find("refused since") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStoryTest);

}  // namespace cairnhollow::cli
