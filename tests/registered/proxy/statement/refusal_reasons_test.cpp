// Every refusal of a statement is logged and counted with its reason and its step.
#include <string>
#include <vector>

#include "tests/registered/proxy/statement/runner_fixture.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RefusalReasonsTest : public RunnerFixture {
  CPPUNIT_TEST_SUITE(RefusalReasonsTest);
  CPPUNIT_TEST(names_what_the_backend_did);
  CPPUNIT_TEST(names_what_became_of_an_open_transaction);
  CPPUNIT_TEST(names_what_this_proxy_lacks);
  CPPUNIT_TEST(names_the_step_of_the_last_attempt);
  CPPUNIT_TEST(names_what_other_proxies_did);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    RunnerFixture::setUp();
    lines_.clear();
    world_->trace().observe_log([this](const std::string& line) { lines_.push_back(line); });
  }

  void names_what_the_backend_did() {
    backends().statement_failures["one"] = {Refusal::kMalformed};
    run(new_request());
    CPPUNIT_ASSERT_EQUAL(std::string("refused_by_backend at run_statement"), last_refusal());
    CPPUNIT_ASSERT_EQUAL(1, local_refusals("refused_by_backend"));
    backends().statement_failures["one"] = {std::nullopt};
    run(new_request());
    CPPUNIT_ASSERT_EQUAL(std::string("answer_lost at run"), last_refusal());
    CPPUNIT_ASSERT_EQUAL(1, local_refusals("answer_lost"));
  }

  void names_what_became_of_an_open_transaction() {
    PinnedLink pinned = open_transaction();
    backends().statement_failures["one"] = {Refusal::kFailed};
    CPPUNIT_ASSERT_EQUAL(std::string("refused_by_backend at run_statement"), refusal_within(pinned));
    pinned = open_transaction();
    backends().statement_failures["one"] = {std::nullopt};
    CPPUNIT_ASSERT_EQUAL(std::string("answer_lost at run"), refusal_within(pinned));
    pinned = open_transaction();
    pinned.link->link().close();
    CPPUNIT_ASSERT_EQUAL(std::string("transaction_lost at continue_transaction"), refusal_within(pinned));
    pinned = open_transaction();
    replace_primary();
    CPPUNIT_ASSERT_EQUAL(std::string("primary_given_up at continue_transaction"), refusal_within(pinned));
  }

  void names_what_this_proxy_lacks() {
    lose_lease_after(milliseconds(1));
    world_->run_for(seconds(2));
    run(new_request());
    CPPUNIT_ASSERT_EQUAL(std::string("no_lease at place"), last_refusal());
    confirm();
    proxy_->view.find_group(kGroup)->set_term({kGroup, 1, BackendName("one"), false, 2, 1});
    run(new_request());
    CPPUNIT_ASSERT_EQUAL(std::string("group_closed at place"), last_refusal());
  }

  void names_the_step_of_the_last_attempt() {
    const auto primary = proxy_->view.find_group(kGroup)->backends.all().at(BackendName("one"));
    primary->pool.retire();
    run(new_request());
    CPPUNIT_ASSERT_EQUAL(std::string("primary_unreachable at acquire_link"), last_refusal());
  }

  void names_what_other_proxies_did() {
    registry::FleetDelta delta = fleet();
    delta.backends[0].zone = ZoneName("b");
    delta.proxies = {{NodeName("proxy"), 1, ZoneName("a"), {"10.0.0.1", 7440}, false},
                     {NodeName("there-1"), 1, ZoneName("b"), {"10.0.0.3", 7440}, false},
                     {NodeName("there-2"), 1, ZoneName("b"), {"10.0.0.4", 7440}, false},
                     {NodeName("there-3"), 1, ZoneName("b"), {"10.0.0.5", 7440}, false}};
    proxy_->view.apply(delta);
    StatementRequest impatient = new_request();
    impatient.route.target_latency_ms = 100;
    run(std::move(impatient));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("nobody listens there", std::string("no_proxy at open_connection"),
                                 last_refusal());
    CPPUNIT_ASSERT_MESSAGE("after a pause it runs here", run(new_request()).answer.succeeded());
  }

 private:
  PinnedLink open_transaction() {
    tearDown();
    setUp();
    StatementRequest opening = new_request();
    opening.opens_transaction = true;
    const RunResult opened = run(std::move(opening));
    CPPUNIT_ASSERT(opened.pinned);
    return *opened.pinned;
  }
  std::string refusal_within(PinnedLink pinned) {
    Answer answer;
    runtime_->spawn(
        "run",
        keep(proxy_->runner.transactions().run(std::move(pinned), new_request(), false, false), answer));
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT(answer.refusal);
    return last_refusal();
  }
  /// "SINCE at STEP" of the last refused statement.
  [[nodiscard]] std::string last_refusal() const {
    std::string refusal;
    for (const std::string& line : lines_) {
      if (line.find(" statement_refused ") == std::string::npos) continue;
      const std::string step = word_after(line, " step=");
      refusal = word_after(line, " since=") + " at " + (step.empty() ? failed_step(line) : step);
    }
    return refusal;
  }
  /// The characters up to the next blank after the first `prefix`; empty if the line lacks it.
  static std::string word_after(const std::string& line, const std::string& prefix, std::size_t from = 0) {
    const std::size_t found = line.find(prefix, from);
    if (found == std::string::npos) return {};
    const std::size_t begin = found + prefix.size();
    return line.substr(begin, line.find(' ', begin) - begin);
  }
  /// The step of a line whose failure is printed as "REASON at STEP ".
  static std::string failed_step(const std::string& line) {
    for (std::size_t quote = line.find('"'); quote != std::string::npos; quote = line.find('"', quote + 1)) {
      const std::size_t end = line.find(' ', quote);
      if (end != std::string::npos && line.compare(end, 4, " at ") == 0) return word_after(line, " at ", end);
    }
    return {};
  }

  std::vector<std::string> lines_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusalReasonsTest);

}  // namespace cairnhollow::registered::proxy
