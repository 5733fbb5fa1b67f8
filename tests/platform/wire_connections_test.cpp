// Tests the wire protocol over connections: complete answers, and answers of a faulty backend.
#include <cppunit/extensions/HelperMacros.h>

#include "platform/wire_backends.h"
#include "platform/wire_callers.h"
#include "simulation/world.h"

namespace cairnhollow::platform {

using simulation::VirtualRuntime;
using simulation::World;
using std::chrono::seconds;

namespace {

const Endpoint kBackend{"10.0.0.2", 9000};

/// Answers each line of a connection with the next text of `script`, then sends nothing more.
Awaitable<void> answer_by_script(VirtualRuntime& runtime, std::vector<std::string> script) {
  Reason reason;
  auto listener = runtime.lines().listen(kBackend, reason);
  auto lines = co_await listener->accept(reason);
  for (auto& text : script) {
    const auto line = co_await lines->read_line(TimePoint::max(), reason);
    if (!line) co_return;
    co_await lines->write(std::move(text), reason);
  }
  co_await runtime.sleep_for(seconds(60));
}

struct Outcome {
  bool opened = false;
  std::optional<registered::Refusal> refusal;
  std::optional<registered::Answer> answer;
  bool is_link_open = false;
  runtime::SendState sent = runtime::SendState::kNotSent;
  Reason reason;
  bool finished = false;
};

Awaitable<void> run_statement(VirtualRuntime& runtime, Outcome& outcome) {
  const auto dialer = make_wire_dialer(runtime, NodeName("proxy-1"));
  const registered::BackendAddress address{kBackend, GroupName("huvo11a"), BackendName("i-7f3a91c2")};
  const TimePoint deadline = runtime.now() + seconds(1);
  auto link = co_await dialer->open(address, deadline, outcome.refusal, outcome.reason);
  outcome.opened = link != nullptr;
  if (link) {
    registered::BackendRequest request = registered::SimpleQuery{"5c0e", "READ 1a4", std::nullopt};
    outcome.answer = co_await link->run(std::move(request), deadline, outcome.sent, outcome.reason);
    outcome.is_link_open = link->is_open();
  }
  outcome.finished = true;
}

Outcome run_against_script(std::vector<std::string> script) {
  World world({});
  Outcome outcome;
  VirtualRuntime& backend = world.start_bare({"backend", kBackend.address, ZoneName("a")});
  backend.spawn("script", answer_by_script(backend, std::move(script)));
  VirtualRuntime& proxy = world.start_bare({"proxy", "10.0.0.1", ZoneName("a")});
  proxy.spawn("ask", run_statement(proxy, outcome));
  world.run_for(seconds(3));
  CPPUNIT_ASSERT(outcome.finished);
  CPPUNIT_ASSERT(world.faults().empty());
  return outcome;
}

}  // namespace

class WireConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WireConnectionsTest);
  CPPUNIT_TEST(assembles_answer_of_several_lines);
  CPPUNIT_TEST(reports_reason_of_refused_start);
  CPPUNIT_TEST(closes_link_on_unexpected_line);
  CPPUNIT_TEST(closes_link_on_truncated_answer);
  CPPUNIT_TEST(closes_link_at_deadline_without_answer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void assembles_answer_of_several_lines() {
    const Outcome outcome =
        run_against_script({"READY I 3.1207\r\n", "ROW one\r\nROW two\r\nDONE sig\r\nREADY I 3.1209\r\n"});
    CPPUNIT_ASSERT(outcome.answer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outcome.answer->rows.size());
    CPPUNIT_ASSERT_EQUAL(std::string("sig"), outcome.answer->signature);
    CPPUNIT_ASSERT(outcome.answer->position == (Position{3, 1209}));
    CPPUNIT_ASSERT(outcome.is_link_open);
  }

  void reports_reason_of_refused_start() {
    const Outcome outcome = run_against_script({"ERR CONNLIMIT full\r\n"});
    CPPUNIT_ASSERT(!outcome.opened);
    CPPUNIT_ASSERT(outcome.refusal == registered::Refusal::kConnectionLimit);
  }

  void closes_link_on_unexpected_line() {
    for (const char* answer : {"READY I 3.1\r\n", "DONE a\r\nDONE b\r\nREADY I 3.1\r\n",
                               "DONE a\r\nROW late\r\n", "HELLO\r\n", "DONE a\r\nREADY X 3.1\r\n", "\r\n"}) {
      const Outcome outcome = run_against_script({"READY I -\r\n", answer});
      CPPUNIT_ASSERT_MESSAGE(answer, !outcome.answer);
      CPPUNIT_ASSERT_MESSAGE(answer, !outcome.is_link_open);
      CPPUNIT_ASSERT(outcome.sent == runtime::SendState::kMaybeSent);
    }
  }

  void closes_link_on_truncated_answer() {
    const Outcome outcome = run_against_script({"READY I -\r\n", "ROW one\r\nDONE si"});
    CPPUNIT_ASSERT(!outcome.answer);
    CPPUNIT_ASSERT(!outcome.is_link_open);
  }

  void closes_link_at_deadline_without_answer() {
    const Outcome outcome = run_against_script({"READY I -\r\n"});
    CPPUNIT_ASSERT(!outcome.answer);
    CPPUNIT_ASSERT(outcome.reason.code == ReasonCode::kDeadlineExceeded);
    CPPUNIT_ASSERT(!outcome.is_link_open);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireConnectionsTest);

}  // namespace cairnhollow::platform
