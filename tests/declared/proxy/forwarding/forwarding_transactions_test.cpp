// Tests transactions of a group that the proxy does not serve.
#include <cppunit/extensions/HelperMacros.h>

#include "tests/declared/proxy/calls/call_assertions.h"
#include "tests/declared/proxy/forwarding/forwarding_world.h"

namespace cairnhollow::declared::proxy {
namespace {

using standins::callers::CallOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ForwardingTransactionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardingTransactionsTest);
  CPPUNIT_TEST(test_transaction_stays_on_one_connection);
  CPPUNIT_TEST(test_caller_disconnect_rolls_back_at_the_remote_proxy);
  CPPUNIT_TEST(test_remote_proxy_crash_loses_the_transaction);
  CPPUNIT_TEST(test_commit_without_an_answer_is_resolved);
  CPPUNIT_TEST(test_unknown_transaction_of_a_group_elsewhere);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_transaction_stays_on_one_connection() {
    ForwardingWorld world;
    auto& caller = world.add_caller(world.from);
    const auto begun = world.begin(caller);
    assert_done(begun);
    CPPUNIT_ASSERT(begun.transaction.starts_with(ProxyWorld::proxy(world.remote)));
    assert_done(world.execute_in(caller, begun.transaction, "one"));
    assert_done(world.execute_in(caller, begun.transaction, "two"));
    CPPUNIT_ASSERT_EQUAL(1.0, world.metric(world.from, "cairnhollow_proxy_transactions_open"));
    assert_done(world.commit(caller, begun.transaction));
    const auto dropped = world.begin(caller);
    assert_done(world.execute_in(caller, dropped.transaction, "three"));
    assert_done(world.rollback(caller, dropped.transaction));
    CPPUNIT_ASSERT(entries_of(world.read(caller)) == (std::vector<std::string>{"one", "two"}));
    for (const auto index : {world.from, world.remote}) {
      CPPUNIT_ASSERT_EQUAL(0.0, world.metric(index, "cairnhollow_proxy_transactions_open"));
    }
  }

  void test_caller_disconnect_rolls_back_at_the_remote_proxy() {
    ForwardingWorld world;
    auto& caller = world.add_caller(world.from);
    const auto begun = world.begin(caller);
    assert_done(world.execute_in(caller, begun.transaction, "one"));
    CPPUNIT_ASSERT_EQUAL(1.0, world.metric(world.remote, "cairnhollow_proxy_transactions_open"));
    caller.client.move_to(ProxyWorld::proxy_endpoint(world.remote));  // closes the connection
    world.world().run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0.0, world.metric(world.remote, "cairnhollow_proxy_transactions_open"));
    CPPUNIT_ASSERT(entries_of(world.read(caller)).empty());
  }

  void test_remote_proxy_crash_loses_the_transaction() {
    ForwardingWorld world;
    auto& caller = world.add_caller(world.from);
    const auto begun = world.begin(caller);
    assert_done(world.execute_in(caller, begun.transaction, "one"));
    world.world().kill(ProxyWorld::proxy(world.remote));
    world.world().run_for(milliseconds(100));
    assert_refused(world.execute_in(caller, begun.transaction, "two"), CallOutcome::kNotRun,
                   ReasonCode::kTransactionLost);
    CPPUNIT_ASSERT_EQUAL(0.0, world.metric(world.from, "cairnhollow_proxy_transactions_open"));
    CPPUNIT_ASSERT(entries_of(world.read(caller)).empty());
  }

  void test_commit_without_an_answer_is_resolved() {
    ForwardingWorld world;
    auto& caller = world.add_caller(world.from);
    const auto begun = world.begin(caller);
    assert_done(world.execute_in(caller, begun.transaction, "one"));
    world.world().freeze(ProxyWorld::proxy(world.remote));
    assert_refused(world.commit(caller, begun.transaction), CallOutcome::kNotRun, ReasonCode::kAborted);
    world.world().thaw(ProxyWorld::proxy(world.remote));
    world.world().run_for(seconds(5));
    CPPUNIT_ASSERT(entries_of(world.read(caller)).empty());
  }

  void test_unknown_transaction_of_a_group_elsewhere() {
    ForwardingWorld world;
    auto& caller = world.add_caller(world.from);
    const auto lost = world.execute_in(caller, "proxy-9~0~1", "one");
    assert_refused(lost, CallOutcome::kNotRun, ReasonCode::kTransactionLost);
    const auto commit = world.commit(caller, "proxy-9~0~1");
    assert_refused(commit, CallOutcome::kNotRun, ReasonCode::kTransactionLost);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingTransactionsTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy
