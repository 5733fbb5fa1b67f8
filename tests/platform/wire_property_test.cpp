// Property tests of the wire protocol: arbitrary input in arbitrary fragments leads to an error or a closed
// connection, never to a crash or to the answer of another statement.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "platform/wire_backends.h"
#include "simulation/registered_fleet.h"

namespace cairnhollow::platform {

using simulation::RegisteredFleet;
using simulation::RegisteredFleetSettings;
using simulation::VirtualRuntime;
using simulation::World;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Endpoint kBackend{"10.0.0.2", 9000};
const Endpoint kProxy{"10.2.0.1", 8784};

/// Fragments of a byte stream, each sent with a separate write.
using Fragments = std::vector<std::string>;

Fragments cut(const std::string& bytes, const std::vector<std::size_t>& sizes) {
  Fragments fragments;
  std::size_t begin = 0;
  for (const std::size_t size : sizes) {
    if (begin >= bytes.size()) break;
    fragments.push_back(bytes.substr(begin, size + 1));
    begin += size + 1;
  }
  if (begin < bytes.size()) fragments.push_back(bytes.substr(begin));
  return fragments;
}

rc::Gen<std::string> joined(rc::Gen<std::vector<std::string>> lines) {
  return rc::gen::map(std::move(lines), [](const std::vector<std::string>& parts) {
    std::string bytes;
    for (const std::string& part : parts) bytes += part;
    return bytes;
  });
}

rc::Gen<Fragments> in_fragments(rc::Gen<std::string> bytes) {
  const auto sizes = rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 40));
  return rc::gen::apply(
      [](const std::string& whole, const std::vector<std::size_t>& parts) { return cut(whole, parts); },
      std::move(bytes), sizes);
}

/// Generates answers of a backend to one statement, valid or malformed.
rc::Gen<Fragments> backend_bytes() {
  const auto line = rc::gen::elementOf(std::vector<std::string>{
      "ROW one\r\n", "ROW two\r\n", "DONE sig\r\n", "READY I 3.9\r\n", "READY T 3.9\r\n", "READY E -\r\n",
      "READY X 3.9\r\n", "READY I 3\r\n", "ERR BUSY full\r\n", "ERR NONSENSE\r\n", "DONE\r\n", "ROW\r\n",
      "\r\n", "\n", "HELLO\r\n", "DON", std::string("\0\r\n", 3)});
  return in_fragments(joined(rc::gen::container<std::vector<std::string>>(line)));
}

/// Replaces each '#' by a unique number: the checker reports a write token that occurs twice.
std::string with_unique_tokens(const std::string& bytes) {
  static std::size_t next = 0;
  std::string own;
  for (const char character : bytes) {
    if (character == '#') own += std::to_string(++next);
    if (character != '#') own += character;
  }
  return own;
}

/// Generates input that a client sends after START, valid or malformed.
rc::Gen<Fragments> caller_bytes() {
  const auto line = rc::gen::elementOf(std::vector<std::string>{"START records x\r\n",
                                                                "QUERY a1 READ r1\r\n",
                                                                "QUERY a2 WRITE r9 h#\r\n",
                                                                "QUERY a3 BEGIN\r\n",
                                                                "QUERY a4 COMMIT\r\n",
                                                                "QUERY a5 ROLLBACK\r\n",
                                                                "QUERY a6 SET tag foreign\r\n",
                                                                "QUERY a7 PREPARE s1 READ q\r\n",
                                                                "QUERY a8 EXEC s1 r1\r\n",
                                                                "QUERY a9 DEALLOC s1\r\n",
                                                                "QUERY\r\n",
                                                                "QUERY - STATUS\r\n",
                                                                "QUERY b1 DEMOTE 99\r\n",
                                                                "QUERY b2 PAUSE 99\r\n",
                                                                "QUERY b3 AFTER 9.9 READ r1\r\n",
                                                                "BYE\r\n",
                                                                "\r\n",
                                                                "READ r1\r\n",
                                                                "QUERY b4 ",
                                                                std::string("\0\xff\r\n", 4)});
  return in_fragments(
      rc::gen::map(joined(rc::gen::container<std::vector<std::string>>(line)), with_unique_tokens));
}

Awaitable<void> write_fragments(VirtualRuntime& runtime, std::shared_ptr<runtime::LineConnection> lines,
                                Fragments fragments) {
  Reason reason;
  for (std::string& fragment : fragments) {
    co_await lines->write(std::move(fragment), reason);
    co_await runtime.sleep_for(milliseconds(1));
  }
}

Awaitable<void> answer_with(VirtualRuntime& runtime, Fragments fragments) {
  Reason reason;
  auto listener = runtime.lines().listen(kBackend, reason);
  auto lines = co_await listener->accept(reason);
  co_await lines->read_line(TimePoint::max(), reason);
  std::string ready = "READY I -\r\n";
  co_await lines->write(std::move(ready), reason);
  co_await lines->read_line(TimePoint::max(), reason);
  co_await write_fragments(runtime, lines, std::move(fragments));
  co_await runtime.sleep_for(seconds(60));
}

struct Outcome {
  std::optional<registered::Answer> answer;
  bool is_link_open = false;
  bool finished = false;
  Reason reason;
};

Awaitable<void> run_statement(VirtualRuntime& runtime, Outcome& outcome) {
  const auto dialer = make_wire_dialer(runtime, NodeName("proxy-1"));
  const registered::BackendAddress address{kBackend, GroupName("group"), BackendName("backend")};
  const TimePoint deadline = runtime.now() + seconds(1);
  std::optional<registered::Refusal> refusal;
  auto link = co_await dialer->open(address, deadline, refusal, outcome.reason);
  registered::BackendRequest request = registered::SimpleQuery{"5c0e", "READ 1a4", std::nullopt};
  runtime::SendState sent = runtime::SendState::kNotSent;
  outcome.answer = co_await link->run(std::move(request), deadline, sent, outcome.reason);
  outcome.is_link_open = link->is_open();
  outcome.finished = true;
}

/// What a client received after it sent arbitrary input.
struct ClientResult {
  std::size_t ready = 0;
  std::size_t foreign = 0;  ///< lines that are not part of the wire protocol
  bool finished = false;
};

Awaitable<void> run_client(VirtualRuntime& runtime, Fragments fragments, ClientResult& result) {
  Reason reason;
  const auto lines = co_await runtime.lines().connect(kProxy, runtime.now() + seconds(1), reason);
  if (lines) {
    std::string start = "START records hostile\r\n";
    co_await lines->write(std::move(start), reason);
    runtime.spawn("pieces", write_fragments(runtime, lines, std::move(fragments)));
    while (const auto line = co_await lines->read_line(runtime.now() + seconds(2), reason)) {
      if (line->starts_with("READY ")) ++result.ready;
      const bool known = line->starts_with("READY ") || line->starts_with("ERR ") ||
                         line->starts_with("ROW ") || line->starts_with("DONE ") || *line == "ROW";
      if (!known) ++result.foreign;
    }
  }
  result.finished = true;
}

std::size_t count_lines(const Fragments& fragments) {
  std::size_t count = 0;
  for (const std::string& fragment : fragments)
    count += static_cast<std::size_t>(std::count(fragment.begin(), fragment.end(), '\n'));
  return count;
}

}  // namespace

class WirePropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WirePropertyTest);
  CPPUNIT_TEST(any_backend_answer_is_complete_or_closes_the_link);
  CPPUNIT_TEST(any_client_input_is_answered_or_closed_without_harm);
  CPPUNIT_TEST(closes_connection_on_overlong_line);
  CPPUNIT_TEST_SUITE_END();

 public:
  void any_backend_answer_is_complete_or_closes_the_link() {
    CPPUNIT_ASSERT(rc::check("an answer is complete, or the link is closed", [] {
      const Fragments fragments = *backend_bytes();
      World world({});
      Outcome outcome;
      VirtualRuntime& backend = world.start_bare({"backend", kBackend.address, ZoneName("a")});
      backend.spawn("answer", answer_with(backend, fragments));
      VirtualRuntime& proxy = world.start_bare({"proxy", "10.0.0.1", ZoneName("a")});
      proxy.spawn("ask", run_statement(proxy, outcome));
      world.run_for(seconds(3));
      RC_ASSERT(outcome.finished);
      RC_ASSERT(world.faults().empty());
      RC_ASSERT(outcome.answer.has_value() || !outcome.is_link_open);
      if (!outcome.answer) RC_ASSERT(outcome.reason.failed());
    }));
  }

  void any_client_input_is_answered_or_closed_without_harm() {
    RegisteredFleet fleet(RegisteredFleetSettings{});
    CPPUNIT_ASSERT(fleet.start());
    std::size_t number = 0;
    CPPUNIT_ASSERT(rc::check("a client gets at most one answer per line", [&] {
      const Fragments fragments = *caller_bytes();
      const std::string name = fmt::format("hostile-{}", ++number);
      VirtualRuntime& client = fleet.world().start_bare(
          {name, fmt::format("10.7.{}.{}", number / 200, number % 200 + 1), ZoneName("a")});
      ClientResult result;
      client.spawn("attack", run_client(client, fragments, result));
      fleet.world().run_until([&] { return result.finished; }, seconds(12));
      RC_ASSERT(result.finished);
      RC_ASSERT(result.foreign == 0);
      RC_ASSERT(result.ready <= count_lines(fragments) + 1);
    }));
    for (const std::string& violation : fleet.finish()) CPPUNIT_ASSERT_EQUAL(std::string(), violation);
  }

  void closes_connection_on_overlong_line() {
    RegisteredFleet fleet(RegisteredFleetSettings{});
    CPPUNIT_ASSERT(fleet.start());
    VirtualRuntime& client = fleet.world().start_bare({"hostile", "10.7.0.1", ZoneName("a")});
    ClientResult result;
    const Fragments fragments{"QUERY a1 READ ", std::string(runtime::kMaximumLineBytes, 'x'), "\r\n"};
    client.spawn("attack", run_client(client, fragments, result));
    fleet.world().run_until([&] { return result.finished; }, seconds(5));
    CPPUNIT_ASSERT(result.finished);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("only START is answered", std::size_t{1}, result.ready);
    for (const std::string& violation : fleet.finish()) CPPUNIT_ASSERT_EQUAL(std::string(), violation);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WirePropertyTest);

}  // namespace cairnhollow::platform
