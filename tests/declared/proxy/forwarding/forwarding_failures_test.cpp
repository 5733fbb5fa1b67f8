// Tests forwarded calls when the proxies that serve the group fail, stall or refuse.
#include <cppunit/extensions/HelperMacros.h>

#include "http/problem.h"
#include "tests/declared/proxy/calls/call_assertions.h"
#include "tests/declared/proxy/forwarding/forwarding_world.h"

namespace cairnhollow::declared::proxy {
namespace {

using standins::callers::CallOutcome;
using standins::callers::StatementKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ForwardingFailuresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardingFailuresTest);
  CPPUNIT_TEST(test_unreachable_proxy_is_skipped);
  CPPUNIT_TEST(test_draining_proxy_is_skipped);
  CPPUNIT_TEST(test_lost_answer_is_resolved_without_duplicates);
  CPPUNIT_TEST(test_frozen_proxy_never_runs_an_aborted_write);
  CPPUNIT_TEST(test_read_is_retried_after_a_frozen_proxy);
  CPPUNIT_TEST(test_frozen_proxy_is_detected_early);
  CPPUNIT_TEST(test_slow_but_healthy_proxy_is_waited_for);
  CPPUNIT_TEST(test_no_proxy_left_refuses_at_once);
  CPPUNIT_TEST(test_refusal_is_passed_through);
  CPPUNIT_TEST(test_refused_forward_of_a_resend_has_an_unknown_outcome);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_unreachable_proxy_is_skipped() {
    ForwardingWorld world;
    auto& caller = world.add_caller(world.from);
    assert_done(world.write(caller, "one"));
    world.world().vanish(ProxyWorld::proxy(world.remote));
    world.world().run_for(seconds(4));  // the idle connection is closed: the next call needs a new one
    assert_done(world.write(caller, "two"));
    CPPUNIT_ASSERT(entries_of(world.read(caller)) == (std::vector<std::string>{"one", "two"}));
    CPPUNIT_ASSERT_EQUAL(1.0, world.forwards_of(world.from, "unreachable"));
  }

  void test_draining_proxy_is_skipped() {
    ForwardingWorld world;
    auto& held = world.add_caller(world.remote);
    assert_done(world.begin(held));  // keeps the remote proxy draining
    world.world().drain(ProxyWorld::proxy(world.remote), nullptr);
    auto& caller = world.add_caller(world.from);
    assert_done(world.write(caller, "one"));
    CPPUNIT_ASSERT_EQUAL(1.0, world.forwards_of(world.from, "declined"));
  }

  void test_lost_answer_is_resolved_without_duplicates() {
    ForwardingWorld world;
    auto& caller = world.add_caller(world.from);
    assert_done(world.write(caller, "one"));
    // The remote proxy receives the write and crashes before it answers.
    for (const auto delay : {milliseconds(2), milliseconds(4), milliseconds(6)}) {
      const auto call = world.start(
          caller.client.execute(world.next_request(caller, StatementKind::kWrite, append("two"))));
      world.world().run_for(delay);
      world.world().kill(ProxyWorld::proxy(world.remote));
      const auto answer = world.finish(call);
      world.world().restart(ProxyWorld::proxy(world.remote));
      world.world().run_for(seconds(10));
      const auto entries = entries_of(world.read(caller));
      const auto times = std::count(entries.begin(), entries.end(), "two");
      const bool aborted = answer.reason.code == ReasonCode::kAborted;
      CPPUNIT_ASSERT_MESSAGE(answer.reason.to_string(), aborted || answer.outcome == CallOutcome::kDone);
      CPPUNIT_ASSERT_EQUAL(aborted ? seen_ : seen_ + 1, static_cast<long>(times));
      seen_ = times;
    }
    CPPUNIT_ASSERT(world.forwards_of(world.from, "unanswered") > 0);
    CPPUNIT_ASSERT_EQUAL(world.forwards_of(world.from, "unanswered"),
                         world.forwards_of(world.from, "resolved"));
  }

  void test_frozen_proxy_never_runs_an_aborted_write() {
    ForwardingWorld world;
    auto& caller = world.add_caller(world.from);
    assert_done(world.write(caller, "one"));
    world.world().freeze(ProxyWorld::proxy(world.remote));
    const auto answer = world.write(caller, "two", seconds(2));
    assert_refused(answer, CallOutcome::kNotRun, ReasonCode::kAborted);
    world.world().thaw(ProxyWorld::proxy(world.remote));
    world.world().run_for(seconds(5));
    CPPUNIT_ASSERT(entries_of(world.read(caller)) == std::vector<std::string>{"one"});
  }

  void test_read_is_retried_after_a_frozen_proxy() {
    ForwardingWorld world;
    auto& caller = world.add_caller(world.from);
    assert_done(world.write(caller, "one"));
    world.world().freeze(ProxyWorld::proxy(world.remote));
    CPPUNIT_ASSERT(entries_of(world.read(caller, seconds(2))) == std::vector<std::string>{"one"});
  }

  void test_frozen_proxy_is_detected_early() {
    ForwardingWorld world;
    auto& caller = world.add_caller(world.from);
    assert_done(world.write(caller, "one"));
    world.world().freeze(ProxyWorld::proxy(world.remote));
    auto asked = world.world().now();
    assert_refused(world.write(caller, "two", seconds(30)), CallOutcome::kNotRun, ReasonCode::kAborted);
    CPPUNIT_ASSERT(world.world().now() - asked < seconds(1));
    // From then on one call at a time tries the proxy, and other calls are not delayed.
    world.world().run_for(seconds(1));
    const auto trial = world.start(caller.client.execute(world.next_request(
        caller, StatementKind::kRead, standins::callers::make_get_text(ProxyWorld::key()))));
    world.world().run_for(milliseconds(10));
    auto& other = world.add_caller(world.from);
    asked = world.world().now();
    CPPUNIT_ASSERT(entries_of(world.read(other)) == std::vector<std::string>{"one"});
    CPPUNIT_ASSERT(world.world().now() - asked < milliseconds(100));
    CPPUNIT_ASSERT(entries_of(world.finish(trial)) == std::vector<std::string>{"one"});
  }

  void test_slow_but_healthy_proxy_is_waited_for() {
    ForwardingWorld world;
    auto& caller = world.add_caller(world.from);
    assert_done(world.write(caller, "one"));
    for (std::uint32_t index = 0; index < 3; ++index) world.world().freeze(ProxyWorld::database(index));
    const auto call = world.start(caller.client.execute(world.next_request(
        caller, StatementKind::kRead, standins::callers::make_get_text(ProxyWorld::key()))));
    world.world().run_for(milliseconds(900));
    for (std::uint32_t index = 0; index < 3; ++index) world.world().thaw(ProxyWorld::database(index));
    CPPUNIT_ASSERT(entries_of(world.finish(call)) == std::vector<std::string>{"one"});
    CPPUNIT_ASSERT_EQUAL(0.0, world.forwards_of(world.from, "unanswered"));
  }

  void test_no_proxy_left_refuses_at_once() {
    ForwardingWorld world;
    for (const auto index : world.serving) world.world().kill(ProxyWorld::proxy(index));
    auto& caller = world.add_caller(world.from);
    const auto asked = world.world().now();
    assert_refused(world.write(caller, "one"), CallOutcome::kNotRun, ReasonCode::kUnreachable);
    CPPUNIT_ASSERT(world.world().now() - asked < seconds(1));
    CPPUNIT_ASSERT_EQUAL(1.0, world.forwards_of(world.from, "refused"));
  }

  void test_refusal_is_passed_through() {
    ForwardingWorld world;
    auto& caller = world.add_caller(world.from);
    const auto answer =
        world.run(caller.client.execute(world.next_request(caller, StatementKind::kWrite, "no statement")));
    assert_refused(answer, CallOutcome::kNotRun, ReasonCode::kInvalidArgument);
    CPPUNIT_ASSERT_EQUAL(ProxyWorld::database(0), answer.reason.peer);
  }

  void test_refused_forward_of_a_resend_has_an_unknown_outcome() {
    ForwardingWorld world;
    for (const auto index : world.serving) world.world().kill(ProxyWorld::proxy(index));
    const std::string body = R"({"database":"decks","partition_key":"learner-1","kind":"write","text":"{}",)"
                             R"("session":"s","number":1)";
    const auto first = http::parse_problem(world.post(world.from, "/v1/statements", body + "}").body);
    const auto again =
        http::parse_problem(world.post(world.from, "/v1/statements", body + R"(,"resent":true})").body);
    CPPUNIT_ASSERT(first && first->run_state == http::RunState::kNotRun);
    CPPUNIT_ASSERT(again && again->run_state == http::RunState::kUnknown);
    CPPUNIT_ASSERT(again->reason.code == ReasonCode::kUnreachable);
  }

 private:
  static std::string append(const std::string& value) {
    return standins::callers::make_append_text(ProxyWorld::key(), value);
  }

  long seen_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingFailuresTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy
