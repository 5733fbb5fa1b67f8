// Tests a complete proxy on the virtual runtime with stand-in databases.
#include <cppunit/extensions/HelperMacros.h>

#include "tests/declared/proxy/calls/call_assertions.h"
#include "tests/declared/proxy/proxy_world.h"

namespace cairnhollow::declared::proxy {
namespace {

using standins::callers::CallOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ProxyServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProxyServerTest);
  CPPUNIT_TEST(test_write_is_read_back_through_another_proxy);
  CPPUNIT_TEST(test_transaction_commits);
  CPPUNIT_TEST(test_health_readiness_and_metrics);
  CPPUNIT_TEST(test_reads_on_the_primary_are_counted_by_cause);
  CPPUNIT_TEST(test_expired_lease_refusal_suggests_the_next_renewal);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_write_is_read_back_through_another_proxy() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    const auto written = deployment.write(caller, "one");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(written.reason.to_string(), std::string("done"), written.stated_outcome);
    CPPUNIT_ASSERT_EQUAL(ProxyWorld::database(0), written.backend);
    CPPUNIT_ASSERT_EQUAL(std::string("session-1:1"), written.request_id);
    caller.client.move_to(ProxyWorld::proxy_endpoint(1));
    const auto rows = deployment.read(caller);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(rows.reason.to_string(), std::string("done"), rows.stated_outcome);
    CPPUNIT_ASSERT(entries_of(rows) == std::vector<std::string>{"one"});
    CPPUNIT_ASSERT(deployment.world().faults().empty());
  }

  void test_transaction_commits() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    const auto begun = deployment.begin(caller);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(begun.reason.to_string(), std::string("done"), begun.stated_outcome);
    const auto first = deployment.execute_in(caller, begun.transaction, "one");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first.reason.to_string(), std::string("done"), first.stated_outcome);
    const auto second = deployment.execute_in(caller, begun.transaction, "two");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(second.reason.to_string(), std::string("done"), second.stated_outcome);
    const auto committed = deployment.commit(caller, begun.transaction);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(committed.reason.to_string(), std::string("done"), committed.stated_outcome);
    const std::vector<std::string> both = {"one", "two"};
    CPPUNIT_ASSERT(entries_of(deployment.read(caller)) == both);
  }

  void test_reads_on_the_primary_are_counted_by_cause() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    deployment.read(caller);  // without a session token
    const auto metrics = deployment.get(0, "/metrics");
    const auto line = [&](const std::string& reason, const std::string& count) {
      return metrics.body.find("cairnhollow_proxy_primary_reads_total{reason=\"" + reason + "\"} " + count +
                               "\n") != std::string::npos;
    };
    CPPUNIT_ASSERT_MESSAGE(metrics.body, line("no_token", "1"));
    CPPUNIT_ASSERT_MESSAGE(metrics.body, line("position", "0"));
    CPPUNIT_ASSERT_MESSAGE(metrics.body, line("replica_stale", "0"));
  }

  void test_expired_lease_refusal_suggests_the_next_renewal() {
    constexpr Duration kFollowInterval = milliseconds(300);
    ProxyWorldSettings settings;
    settings.adjust_proxy = [&](ProxySettings& proxy) { proxy.follow_interval = kFollowInterval; };
    ProxyWorld deployment(settings);
    auto& caller = deployment.add_caller(0);
    deployment.control().set_answering(false);
    deployment.world().run_for(seconds(3));
    for (const auto& refused :
         {deployment.write(caller, "one"), deployment.read(caller), deployment.begin(caller)}) {
      CPPUNIT_ASSERT(refused.reason.code == ReasonCode::kLeaseExpired);
      CPPUNIT_ASSERT(refused.retry_after == kFollowInterval);
    }
  }

  void test_health_readiness_and_metrics() {
    ProxyWorld deployment;
    CPPUNIT_ASSERT_EQUAL(200U, deployment.get(0, "/healthz").status);
    CPPUNIT_ASSERT_EQUAL(200U, deployment.get(0, "/readyz").status);
    auto& caller = deployment.add_caller(0);
    deployment.write(caller, "one");
    const auto metrics = deployment.get(0, "/metrics");
    const std::string line = R"(cairnhollow_proxy_statements_total{kind="write",outcome="done"} 1)";
    CPPUNIT_ASSERT_MESSAGE(metrics.body, metrics.body.find(line) != std::string::npos);
    deployment.control().set_answering(false);
    deployment.world().run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(200U, deployment.get(0, "/healthz").status);
    CPPUNIT_ASSERT_EQUAL(503U, deployment.get(0, "/readyz").status);
    const auto refused = deployment.write(caller, "two");
    CPPUNIT_ASSERT(refused.outcome == CallOutcome::kNotRun);
    CPPUNIT_ASSERT(refused.reason.code == ReasonCode::kLeaseExpired);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyServerTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy
