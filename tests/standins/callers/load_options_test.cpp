// The command line of cairnhollow-load: what it reads, and which words it refuses.
#include "standins/callers/load_options.h"

#include <cppunit/extensions/HelperMacros.h>

#include "standins/callers/load_program.h"

namespace cairnhollow::standins::callers {
namespace {

class LoadOptionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadOptionsTest);
  CPPUNIT_TEST(run_reads_every_option);
  CPPUNIT_TEST(seed_names_the_run);
  CPPUNIT_TEST(check_reads_a_history);
  CPPUNIT_TEST(values_out_of_range_are_refused);
  CPPUNIT_TEST(all_faults_are_named_at_once);
  CPPUNIT_TEST(unknown_words_are_refused);
  CPPUNIT_TEST(help_and_version_end_well);
  CPPUNIT_TEST_SUITE_END();

 public:
  void run_reads_every_option() {
    const auto options =
        accepted({"run", "--proxy=127.0.0.1:1", "--proxy=127.0.0.1:2", "--profile=scooter-fleet",
                  "--rate=2.5", "--duration=3s", "--sessions=7", "--deadline=250ms", "--patience=4s",
                  "--history=h", "--report=r", "--json"});
    CPPUNIT_ASSERT(options.command == LoadCommand::kRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, options.load.caller.proxies.size());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:2"), options.load.caller.proxies.back().to_string());
    CPPUNIT_ASSERT(options.load.profile == Profile::kScooterFleet);
    CPPUNIT_ASSERT_EQUAL(2.5, options.load.operations_per_second);
    CPPUNIT_ASSERT(options.load.duration == std::chrono::seconds(3));
    CPPUNIT_ASSERT_EQUAL(7U, options.load.sessions);
    CPPUNIT_ASSERT(options.load.caller.statement_limit == std::chrono::milliseconds(250));
    CPPUNIT_ASSERT(options.load.caller.operation_limit == std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::string("h"), options.history_file);
    CPPUNIT_ASSERT_EQUAL(std::string("r"), options.report_file);
    CPPUNIT_ASSERT(options.json);
  }

  void seed_names_the_run() {
    const auto options = accepted({"run", "--proxy=127.0.0.1:1", "--seed=255"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{255}, options.seed);
    CPPUNIT_ASSERT_EQUAL(std::string("run-ff"), options.load.run_name);
  }

  void check_reads_a_history() {
    const auto options = accepted({"check", "history.jsonl"});
    CPPUNIT_ASSERT(options.command == LoadCommand::kCheck);
    CPPUNIT_ASSERT_EQUAL(std::string("history.jsonl"), options.history_file);
  }

  void values_out_of_range_are_refused() {
    refused({"run", "--proxy=somewhere"}, "--proxy somewhere");
    refused({"run", "--proxy=127.0.0.1:1", "--rate=fast"}, "--rate fast");
    refused({"run", "--proxy=127.0.0.1:1", "--rate=0"}, "--rate 0");
    refused({"run", "--proxy=127.0.0.1:1", "--duration=10"}, "--duration 10");
    refused({"run", "--proxy=127.0.0.1:1", "--sessions=0"}, "--sessions 0");
    refused({"run", "--proxy=127.0.0.1:1", "--seed=-1"}, "--seed -1");
    refused({"run", "--proxy=127.0.0.1:1", "--profile=trams"}, "--profile trams");
  }

  void all_faults_are_named_at_once() {
    const std::vector<std::string> words{"run", "--proxy=1", "--rate=x", "--duration=5", "--profile=no"};
    for (const auto* name : {"--proxy 1: ", "--rate x: ", "--duration 5: ", "--profile no: "})
      refused(words, name);
  }

  void unknown_words_are_refused() {
    refused({}, "Usage");
    refused({"run"}, "Usage");
    refused({"run", "--proxy=127.0.0.1:1", "--speed=3"}, "Usage");
  }

  void help_and_version_end_well() {
    CPPUNIT_ASSERT_EQUAL(kLoadExitPassed, parse_load_options({"--help"}).exit_code);
    CPPUNIT_ASSERT_EQUAL(kLoadExitPassed, parse_load_options({"--version"}).exit_code);
  }

 private:
  static LoadOptions accepted(const std::vector<std::string>& words) {
    const LoadOptionsOutcome outcome = parse_load_options(words);
    CPPUNIT_ASSERT_MESSAGE(outcome.output, outcome.options.has_value());
    return *outcome.options;
  }
  static void refused(const std::vector<std::string>& words, const std::string& names) {
    const LoadOptionsOutcome outcome = parse_load_options(words);
    CPPUNIT_ASSERT(!outcome.options.has_value());
    CPPUNIT_ASSERT_EQUAL(kLoadExitUsage, outcome.exit_code);
    CPPUNIT_ASSERT_MESSAGE(outcome.output, outcome.output.find(names) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadOptionsTest);

}  // namespace
}  // namespace cairnhollow::standins::callers
