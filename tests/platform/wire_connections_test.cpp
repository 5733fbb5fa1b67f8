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
  bool still_open = false;
  runtime::SendState sent = runtime::SendState::kNotSent;
  Reason reason;
  bool finished = false;
};

Awaitable<void> ask(VirtualRuntime& runtime, Outcome& outcome) {
  const auto dialer = make_wire_backends(runtime, NodeName("proxy-1"));
  const registered::BackendAddress address{kBackend, GroupName("huvo11a"), BackendName("i-7f3a91c2")};
  const TimePoint deadline = runtime.now() + seconds(1);
  auto link = co_await dialer->open(address, deadline, outcome.refusal, outcome.reason);
  outcome.opened = link != nullptr;
  if (link) {
    registered::BackendRequest request = registered::PassOn{"5c0e", "READ 1a4", std::nullopt};
    outcome.answer = co_await link->run(std::move(request), deadline, outcome.sent, outcome.reason);
    outcome.still_open = link->is_open();
  }
  outcome.finished = true;
}

Outcome ask_a_backend_that_says(std::vector<std::string> script) {
  World world({});
  Outcome outcome;
  VirtualRuntime& backend = world.start_bare({"backend", kBackend.address, ZoneName("a")});
  backend.spawn("script", answer_by_script(backend, std::move(script)));
  VirtualRuntime& proxy = world.start_bare({"proxy", "10.0.0.1", ZoneName("a")});
  proxy.spawn("ask", ask(proxy, outcome));
  world.run_for(seconds(3));
  CPPUNIT_ASSERT(outcome.finished);
  CPPUNIT_ASSERT(world.faults().empty());
  return outcome;
}

}  // namespace

class WireConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WireConnectionsTest);
  CPPUNIT_TEST(an_answer_in_pieces_is_put_together);
  CPPUNIT_TEST(a_refused_start_says_why);
  CPPUNIT_TEST(an_answer_out_of_order_closes_the_link);
  CPPUNIT_TEST(an_answer_that_breaks_off_closes_the_link);
  CPPUNIT_TEST(a_silent_backend_closes_the_link_at_the_deadline);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_answer_in_pieces_is_put_together() {
    const Outcome outcome = ask_a_backend_that_says(
        {"READY I 3.1207\r\n", "ROW one\r\nROW two\r\nDONE sig\r\nREADY I 3.1209\r\n"});
    CPPUNIT_ASSERT(outcome.answer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outcome.answer->rows.size());
    CPPUNIT_ASSERT_EQUAL(std::string("sig"), outcome.answer->signature);
    CPPUNIT_ASSERT(outcome.answer->position == (Position{3, 1209}));
    CPPUNIT_ASSERT(outcome.still_open);
  }

  void a_refused_start_says_why() {
    const Outcome outcome = ask_a_backend_that_says({"ERR CONNLIMIT full\r\n"});
    CPPUNIT_ASSERT(!outcome.opened);
    CPPUNIT_ASSERT(outcome.refusal == registered::Refusal::kConnectionLimit);
  }

  void an_answer_out_of_order_closes_the_link() {
    for (const char* answer : {"READY I 3.1\r\n", "DONE a\r\nDONE b\r\nREADY I 3.1\r\n",
                               "DONE a\r\nROW late\r\n", "HELLO\r\n", "DONE a\r\nREADY X 3.1\r\n", "\r\n"}) {
      const Outcome outcome = ask_a_backend_that_says({"READY I -\r\n", answer});
      CPPUNIT_ASSERT_MESSAGE(answer, !outcome.answer);
      CPPUNIT_ASSERT_MESSAGE(answer, !outcome.still_open);
      CPPUNIT_ASSERT(outcome.sent == runtime::SendState::kMaybeSent);
    }
  }

  void an_answer_that_breaks_off_closes_the_link() {
    const Outcome outcome = ask_a_backend_that_says({"READY I -\r\n", "ROW one\r\nDONE si"});
    CPPUNIT_ASSERT(!outcome.answer);
    CPPUNIT_ASSERT(!outcome.still_open);
  }

  void a_silent_backend_closes_the_link_at_the_deadline() {
    const Outcome outcome = ask_a_backend_that_says({"READY I -\r\n"});
    CPPUNIT_ASSERT(!outcome.answer);
    CPPUNIT_ASSERT(outcome.reason.code == ReasonCode::kDeadlineExceeded);
    CPPUNIT_ASSERT(!outcome.still_open);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireConnectionsTest);

}  // namespace cairnhollow::platform
