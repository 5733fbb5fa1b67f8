// Tests a proxy at three times the capacity of a group: what is served meanwhile, what is refused, and that
// it recovers afterwards.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "tests/declared/proxy/proxy_world.h"

namespace cairnhollow::declared::proxy {
namespace {

using standins::callers::CallAnswer;
using standins::callers::CallOutcome;
using standins::callers::Priority;
using standins::callers::StatementKind;
using standins::callers::StatementRequest;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 2;
constexpr Duration kStatementDuration = milliseconds(10);
/// Statements per second of the three members, 200 each.
constexpr double kCapacity = 600;
constexpr Duration kTripEndLimit = seconds(1);
constexpr Duration kReadLimit = milliseconds(500);

struct Tally {
  int sent = 0;
  int done = 0;
  int refused = 0;
  int late_refusals = 0;  ///< refused after their own deadline
  int without_retry_after = 0;
  Duration shortest_retry_after = Duration::max();
  Duration slowest{0};
};

Awaitable<void> call_once(simulation::VirtualRuntime& runtime, StatementRequest request, Tally& tally) {
  standins::callers::ProxyClient client(runtime, ProxyWorld::proxy_endpoint(0));
  ++tally.sent;
  const TimePoint begun = runtime.now();
  const Duration limit = request.time_limit;
  const CallAnswer answer = co_await client.execute(std::move(request));
  const Duration took = runtime.now() - begun;
  tally.slowest = std::max(tally.slowest, took);
  if (answer.outcome == CallOutcome::kDone) {
    ++tally.done;
    co_return;
  }
  ++tally.refused;
  if (took > limit) ++tally.late_refusals;
  if (answer.retry_after <= Duration(0)) ++tally.without_retry_after;
  tally.shortest_retry_after = std::min(tally.shortest_retry_after, answer.retry_after);
}

class ProxyOverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProxyOverloadTest);
  CPPUNIT_TEST(test_overload_serves_at_capacity_and_recovers);
  CPPUNIT_TEST(test_retry_after_covers_the_time_to_drain_the_queue);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_overload_serves_at_capacity_and_recovers() {
    ProxyWorldSettings settings;
    settings.proxies = 1;
    settings.slots = kSlots;
    settings.connections = 12;
    settings.statement_duration = kStatementDuration;
    ProxyWorld deployment(settings);
    auto& caller = deployment.add_caller(0);
    const auto warm = deployment.write(caller, "warm");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(warm.reason.to_string(), std::string("done"), warm.stated_outcome);
    deployment.world().run_for(seconds(1));

    Tally trip_ends;
    Tally map_reads;
    offer(deployment, caller, seconds(5), milliseconds(20), trip_ends, 35, map_reads);
    const double served = (trip_ends.done + map_reads.done) / 5.0;
    const auto report = "trip-ends " + text(trip_ends) + ", map reads " + text(map_reads) + ", served " +
                        std::to_string(served) + " a second";
    CPPUNIT_ASSERT_MESSAGE(report, served >= 0.8 * kCapacity);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report, trip_ends.sent, trip_ends.done);
    CPPUNIT_ASSERT_MESSAGE(report, trip_ends.slowest < kTripEndLimit);
    CPPUNIT_ASSERT_MESSAGE(report, map_reads.refused > 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report, 0, map_reads.late_refusals);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report, 0, map_reads.without_retry_after);

    deployment.world().run_for(seconds(2));
    Tally later_trip_ends;
    Tally later_reads;
    offer(deployment, caller, seconds(2), milliseconds(20), later_trip_ends, 3, later_reads);
    const auto later = "trip-ends " + text(later_trip_ends) + ", map reads " + text(later_reads);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(later, later_trip_ends.sent, later_trip_ends.done);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(later, later_reads.sent, later_reads.done);
    CPPUNIT_ASSERT_MESSAGE(later, later_reads.slowest < milliseconds(100));
  }

  /// With one slot and statements of 100 ms, a caller refused while one runs must not be told to retry after
  /// 50 ms.
  void test_retry_after_covers_the_time_to_drain_the_queue() {
    ProxyWorldSettings settings;
    settings.proxies = 1;
    settings.slots = 1;
    settings.connections = 2;
    settings.statement_duration = milliseconds(100);
    ProxyWorld deployment(settings);
    auto& caller = deployment.add_caller(0);
    for (int warm = 0; warm < 3; ++warm) deployment.write(caller, "warm");
    Tally writes;
    for (int write = 0; write < 30; ++write) {
      auto request = deployment.next_request(caller, StatementKind::kWrite,
                                             standins::callers::make_append_text(ProxyWorld::key(), "end"));
      request.time_limit = milliseconds(500);
      caller.runtime.spawn("write", call_once(caller.runtime, std::move(request), writes));
    }
    deployment.world().run_for(seconds(2));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text(writes), writes.sent, writes.done + writes.refused);
    CPPUNIT_ASSERT_MESSAGE(text(writes), writes.refused > 10);
    CPPUNIT_ASSERT_MESSAGE(text(writes), writes.shortest_retry_after >= milliseconds(100));
  }

 private:
  /// Sends one trip-end and `reads` map reads every `interval`, regardless of earlier answers.
  static void offer(ProxyWorld& deployment, Caller& caller, Duration duration, Duration interval,
                    Tally& trip_ends, int reads, Tally& map_reads) {
    for (Duration passed{0}; passed < duration; passed += interval) {
      auto trip_end = deployment.next_request(caller, StatementKind::kWrite,
                                              standins::callers::make_append_text(ProxyWorld::key(), "end"));
      trip_end.priority = Priority::kHigh;
      trip_end.time_limit = kTripEndLimit;
      caller.runtime.spawn("trip_end", call_once(caller.runtime, std::move(trip_end), trip_ends));
      for (int read = 0; read < reads; ++read) {
        auto request = deployment.next_request(caller, StatementKind::kRead,
                                               standins::callers::make_get_text(ProxyWorld::key()));
        request.priority = Priority::kLow;
        request.time_limit = kReadLimit;
        caller.runtime.spawn("map_read", call_once(caller.runtime, std::move(request), map_reads));
      }
      deployment.world().run_for(interval);
    }
    deployment.world().run_for(kTripEndLimit + seconds(1));
  }

  static std::string text(const Tally& tally) {
    return std::to_string(tally.done) + " of " + std::to_string(tally.sent) + " done, slowest " +
           std::to_string(std::chrono::duration_cast<milliseconds>(tally.slowest).count()) + " ms";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyOverloadTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy
