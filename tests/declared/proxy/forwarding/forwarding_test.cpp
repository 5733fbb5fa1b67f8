// Tests calls for a group that the proxy does not serve.
#include <cppunit/extensions/HelperMacros.h>

#include "declared/proxy/forwarding/forward_messages.h"
#include "http/problem.h"
#include "tests/declared/proxy/calls/call_assertions.h"
#include "tests/declared/proxy/forwarding/forwarding_world.h"

namespace cairnhollow::declared::proxy {
namespace {

using standins::callers::StatementKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ForwardingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardingTest);
  CPPUNIT_TEST(test_statements_are_forwarded);
  CPPUNIT_TEST(test_only_serving_proxies_connect_to_backends);
  CPPUNIT_TEST(test_moved_group_frees_its_connections);
  CPPUNIT_TEST(test_forwarded_request_is_not_forwarded_again);
  CPPUNIT_TEST(test_invalid_time_left_is_refused);
  CPPUNIT_TEST(test_time_left_shortens_the_deadline);
  CPPUNIT_TEST(test_explain_reports_the_forwarding_target);
  CPPUNIT_TEST(test_resolve_is_forwarded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_statements_are_forwarded() {
    ForwardingWorld world;
    auto& caller = world.add_caller(world.from);
    assert_done(world.write(caller, "one"));
    CPPUNIT_ASSERT(entries_of(world.read(caller)) == std::vector<std::string>{"one"});
    auto request = world.next_request(caller, StatementKind::kWrite, append("two"));
    assert_done(world.run(caller.client.execute(request)));
    caller.client.move_to(ProxyWorld::proxy_endpoint(world.outside[1]));
    assert_done(world.run(caller.client.execute(request)));  // the resend is recognized through another proxy
    CPPUNIT_ASSERT(entries_of(world.read(caller)) == (std::vector<std::string>{"one", "two"}));
    CPPUNIT_ASSERT(world.forwards_of(world.from, "answered") >= 3);
    CPPUNIT_ASSERT_EQUAL(0.0, world.forwards_of(world.remote, "answered"));
  }

  void test_only_serving_proxies_connect_to_backends() {
    ForwardingWorld world;
    for (const auto index : world.outside) {
      assert_done(world.write(world.add_caller(index), "x"));
      const auto& traffic = world.world().network().traffic_of(ProxyWorld::proxy(index));
      for (std::uint32_t database = 0; database < 3; ++database) {
        CPPUNIT_ASSERT(!traffic.contains(ProxyWorld::database(database)));
      }
    }
  }

  void test_moved_group_frees_its_connections() {
    ForwardingWorld world;
    // One proxy is listed by the platform as leaving: it is removed from the subset but still accepts
    // callers.
    const auto backends = [&](std::uint32_t index) {
      return world.metric(index, "cairnhollow_proxy_backend_connections{backend=\"database-0\"}");
    };
    CPPUNIT_ASSERT(backends(world.remote) > 0);
    world.control().set_leaving({ProxyWorld::proxy(world.remote)});
    world.world().run_for(seconds(2));
    CPPUNIT_ASSERT(world.forwards(world.remote));
    CPPUNIT_ASSERT_EQUAL(0.0, backends(world.remote));
    assert_done(world.write(world.add_caller(world.remote), "one"));
  }

  void test_forwarded_request_is_not_forwarded_again() {
    ForwardingWorld world;
    auto request = read_request();
    request.headers.fields[kForwardedByHeader] = "a-caller";
    const auto answer = world.exchange(world.from, request);
    CPPUNIT_ASSERT_EQUAL(200U, answer.status);
    CPPUNIT_ASSERT_EQUAL(0.0, world.forwards_of(world.from, "answered"));
  }

  void test_invalid_time_left_is_refused() {
    ForwardingWorld world;
    for (const auto* text : {"", "0", "soon", "12x", "60001", "-1"}) {
      auto request = read_request();
      request.headers.fields[kTimeLeftHeader] = text;
      const auto problem = http::parse_problem(world.exchange(world.remote, request).body);
      CPPUNIT_ASSERT_MESSAGE(text, problem.has_value());
      CPPUNIT_ASSERT(problem->reason.code == ReasonCode::kInvalidArgument);
      CPPUNIT_ASSERT(problem->reason.detail.find(kTimeLeftHeader) != std::string::npos);
    }
  }

  void test_time_left_shortens_the_deadline() {
    ForwardingWorld world;
    for (std::uint32_t index = 0; index < 3; ++index) world.world().freeze(ProxyWorld::database(index));
    auto request = read_request();
    request.headers.fields[kTimeLeftHeader] = "200";
    const auto asked = world.world().now();
    CPPUNIT_ASSERT(world.exchange(world.remote, request).status != 200);
    CPPUNIT_ASSERT(world.world().now() - asked < milliseconds(200));
  }

  void test_explain_reports_the_forwarding_target() {
    ForwardingWorld world;
    CPPUNIT_ASSERT(world.explain(world.from).find("this proxy does not serve the group") !=
                   std::string::npos);
    CPPUNIT_ASSERT(world.explain(world.remote).find("forwarded_to") == std::string::npos);
    auto& caller = world.add_caller(world.from);
    assert_done(world.write(caller, "one"));
    const auto recent = world.get(
        world.from, "/v1/explain?session=" + caller.session + "&number=" + std::to_string(caller.number));
    CPPUNIT_ASSERT(recent.body.find("forwarded to proxy " + ProxyWorld::proxy(world.remote)) !=
                   std::string::npos);
  }

  void test_resolve_is_forwarded() {
    ForwardingWorld world;
    auto& caller = world.add_caller(world.from);
    assert_done(world.write(caller, "one"));
    const auto ask = [&](std::uint64_t number) {
      return world.post(world.from, "/v1/resolve",
                        R"({"database":"decks","partition_key":"learner-1","session":")" + caller.session +
                            R"(","number":)" + std::to_string(number) + "}");
    };
    CPPUNIT_ASSERT(ask(caller.number).body.find(R"("outcome":"committed")") != std::string::npos);
    CPPUNIT_ASSERT(ask(caller.number + 1).body.find(R"("outcome":"aborted")") != std::string::npos);
  }

 private:
  static std::string append(const std::string& value) {
    return standins::callers::make_append_text(ProxyWorld::key(), value);
  }
  static runtime::HttpRequest read_request() {
    runtime::HttpRequest request;
    request.method = runtime::HttpMethod::kPost;
    request.target = "/v1/statements";
    request.body = R"({"database":"decks","partition_key":"learner-1","kind":"read","text":"{\"op\":\"get\",)"
                   R"(\"record\":\"answers\"}"})";
    return request;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy
