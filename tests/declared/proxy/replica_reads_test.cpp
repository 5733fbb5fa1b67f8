// Tests reads right after a session's own write, with replicas that lag.
#include <cppunit/extensions/HelperMacros.h>

#include "tests/declared/proxy/proxy_world.h"

namespace cairnhollow::declared::proxy {
namespace {

using standins::callers::CallAnswer;
using standins::callers::CallOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLag = milliseconds(100);

struct TimedRead {
  CallAnswer answer;
  Duration took{0};
  bool saw_own_write = false;
};

class ReplicaReadsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaReadsTest);
  CPPUNIT_TEST(test_read_after_write_is_held_until_a_replica_can_serve_it);
  CPPUNIT_TEST(test_read_with_little_time_goes_to_the_primary_at_once);
  CPPUNIT_TEST(test_route_without_wait_reads_at_the_primary_at_once);
  CPPUNIT_TEST(test_reads_do_not_wait_for_lost_replicas);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_read_after_write_is_held_until_a_replica_can_serve_it() {
    ProxyWorld deployment(lagging());
    auto& caller = learn_lag(deployment);
    for (int round = 0; round < 10; ++round) {
      const auto read = read_after_write(deployment, caller, seconds(5));
      CPPUNIT_ASSERT_MESSAGE(read.answer.reason.to_string(), read.saw_own_write);
      CPPUNIT_ASSERT_MESSAGE(read.answer.backend, !read.answer.backend_is_primary);
      CPPUNIT_ASSERT(read.took > kLag / 2);
      CPPUNIT_ASSERT(read.took < 2 * kLag);
      deployment.world().run_for(milliseconds(370));
    }
    CPPUNIT_ASSERT(deployment.world().faults().empty());
  }

  void test_read_with_little_time_goes_to_the_primary_at_once() {
    ProxyWorld deployment(lagging());
    auto& caller = learn_lag(deployment);
    assert_primary_at_once(deployment, caller, milliseconds(200));
  }

  void test_route_without_wait_reads_at_the_primary_at_once() {
    auto settings = lagging();
    settings.replica_wait_milliseconds = 0;
    ProxyWorld deployment(settings);
    auto& caller = learn_lag(deployment);
    assert_primary_at_once(deployment, caller, seconds(5));
  }

  void test_reads_do_not_wait_for_lost_replicas() {
    ProxyWorld deployment(lagging());
    auto& caller = learn_lag(deployment);
    deployment.world().kill(ProxyWorld::database(1));
    deployment.world().run_for(seconds(2));
    // The other replica remains and serves reads; writes also need it.
    const auto with_one = read_after_write(deployment, caller, seconds(5));
    CPPUNIT_ASSERT_MESSAGE(with_one.answer.reason.to_string(), with_one.saw_own_write);
    CPPUNIT_ASSERT_EQUAL(ProxyWorld::database(2), with_one.answer.backend);
    const auto written = deployment.write(caller, "before the loss", seconds(5));
    CPPUNIT_ASSERT(written.outcome == CallOutcome::kDone);
    deployment.world().kill(ProxyWorld::database(2));
    const TimePoint begun = caller.runtime.now();
    const auto answer = deployment.read(caller, seconds(5));
    CPPUNIT_ASSERT_MESSAGE(answer.reason.to_string(), answer.outcome == CallOutcome::kDone);
    CPPUNIT_ASSERT(answer.backend_is_primary);
    CPPUNIT_ASSERT(caller.runtime.now() - begun < 2 * kLag);
  }

 private:
  static ProxyWorldSettings lagging() {
    ProxyWorldSettings settings;
    settings.replication_lag = kLag;
    return settings;
  }

  /// Returns a caller whose proxy has observed enough to estimate the replicas' lag.
  static Caller& learn_lag(ProxyWorld& deployment) {
    auto& caller = deployment.add_caller(0);
    for (int round = 0; round < 40; ++round) {
      deployment.write(caller, "warm", seconds(5));
      deployment.world().run_for(milliseconds(110));
    }
    deployment.world().run_for(seconds(1));
    return caller;
  }

  static TimedRead read_after_write(ProxyWorld& deployment, Caller& caller, Duration time_limit) {
    const std::string value = "value-" + std::to_string(caller.number);
    const auto written = deployment.write(caller, value, seconds(5));
    CPPUNIT_ASSERT_MESSAGE(written.reason.to_string(), written.outcome == CallOutcome::kDone);
    TimedRead read;
    const TimePoint begun = caller.runtime.now();
    read.answer = deployment.read(caller, time_limit);
    read.took = caller.runtime.now() - begun;
    Reason reason;
    const auto entries = standins::callers::parse_entries(read.answer.result, reason);
    read.saw_own_write = entries && !entries->empty() && entries->back() == value;
    return read;
  }

  static void assert_primary_at_once(ProxyWorld& deployment, Caller& caller, Duration time_limit) {
    const auto read = read_after_write(deployment, caller, time_limit);
    CPPUNIT_ASSERT_MESSAGE(read.answer.reason.to_string(), read.saw_own_write);
    CPPUNIT_ASSERT_MESSAGE(read.answer.backend, read.answer.backend_is_primary);
    CPPUNIT_ASSERT(read.took < kLag / 4);
    const auto metrics = deployment.get(0, "/metrics");
    const std::string line = R"(cairnhollow_proxy_primary_reads_total{reason="position"} 1)";
    CPPUNIT_ASSERT_MESSAGE(metrics.body, metrics.body.find(line) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaReadsTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy
