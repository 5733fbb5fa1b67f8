// Tests transactions through a proxy: what ends them, and that a planned stop interrupts none.
#include <cppunit/extensions/HelperMacros.h>

#include "declared/proxy/knobs.h"
#include "tests/declared/proxy/calls/call_assertions.h"
#include "tests/declared/proxy/proxy_world.h"

namespace cairnhollow::declared::proxy {
namespace {

using standins::callers::CallAnswer;
using standins::callers::CallOutcome;
using standins::callers::StatementKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

void assert_lost(const CallAnswer& answer, CallOutcome outcome) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.reason.to_string(), std::string("transaction_lost"),
                               std::string(reason_code_name(answer.reason.code)));
  CPPUNIT_ASSERT(answer.outcome == outcome);
}

class ProxyTransactionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProxyTransactionsTest);
  CPPUNIT_TEST(test_rollback_leaves_no_trace);
  CPPUNIT_TEST(test_transactions_do_not_see_each_other);
  CPPUNIT_TEST(test_closed_caller_connection_rolls_back);
  CPPUNIT_TEST(test_caller_disconnect_during_begin_rolls_back);
  CPPUNIT_TEST(test_calls_at_a_frozen_primary_end_before_the_deadline);
  CPPUNIT_TEST(test_idle_transaction_is_rolled_back);
  CPPUNIT_TEST(test_commit_resent_to_another_proxy);
  CPPUNIT_TEST(test_commit_of_a_transaction_lost_with_its_proxy);
  CPPUNIT_TEST(test_commit_without_an_answer_is_resolved);
  CPPUNIT_TEST(test_conflicting_commit_is_refused);
  CPPUNIT_TEST(test_primary_replaced_within_a_transaction);
  CPPUNIT_TEST(test_calls_at_a_lost_primary_end_once_a_new_primary_is_known);
  CPPUNIT_TEST(test_work_waiting_for_a_lost_primary_moves_to_its_successor);
  CPPUNIT_TEST(test_drain_answers_what_is_in_flight);
  CPPUNIT_TEST(test_drain_lets_a_transaction_commit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_rollback_leaves_no_trace() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    const auto begun = deployment.begin(caller);
    assert_done(begun);
    assert_done(deployment.execute_in(caller, begun.transaction, "one"));
    assert_done(deployment.rollback(caller, begun.transaction));
    CPPUNIT_ASSERT_EQUAL(std::string("0"), open_transactions(deployment, 0));
    CPPUNIT_ASSERT(entries(deployment, caller).empty());
    assert_lost(deployment.execute_in(caller, begun.transaction, "two"), CallOutcome::kNotRun);
  }

  void test_transactions_do_not_see_each_other() {
    ProxyWorld deployment;
    auto& first = deployment.add_caller(0);
    auto& second = deployment.add_caller(0);
    const auto first_begun = deployment.begin(first);
    const auto second_begun = deployment.begin(second);
    CPPUNIT_ASSERT(first_begun.transaction != second_begun.transaction);
    assert_done(deployment.execute_in(first, first_begun.transaction, "first"));
    assert_done(deployment.execute_in(second, second_begun.transaction, "second"));
    assert_done(deployment.rollback(first, first_begun.transaction));
    assert_done(deployment.commit(second, second_begun.transaction));
    CPPUNIT_ASSERT(entries(deployment, second) == std::vector<std::string>{"second"});
  }

  void test_closed_caller_connection_rolls_back() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    const auto begun = deployment.begin(caller);
    assert_done(deployment.execute_in(caller, begun.transaction, "one"));
    caller.client.move_to(ProxyWorld::proxy_endpoint(0));
    deployment.world().run_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::string("0"), open_transactions(deployment, 0));
    assert_lost(deployment.execute_in(caller, begun.transaction, "two"), CallOutcome::kNotRun);
    CPPUNIT_ASSERT(entries(deployment, caller).empty());
  }

  void test_caller_disconnect_during_begin_rolls_back() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    auto request = deployment.next_request(caller, StatementKind::kWrite, "");
    deployment.start(caller.client.begin(std::move(request)));
    deployment.world().run_for(milliseconds(2));  // still beginning: opening a connection takes 10 ms
    caller.client.move_to(ProxyWorld::proxy_endpoint(0));
    deployment.world().run_for(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::string("0"), open_transactions(deployment, 0));
  }

  void test_calls_at_a_frozen_primary_end_before_the_deadline() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    auto& other = deployment.add_caller(0);
    const auto begun = deployment.begin(caller);
    assert_done(begun);
    deployment.world().freeze(ProxyWorld::database(0));
    const TimePoint frozen_at = deployment.world().now();
    const auto refused = deployment.begin(other);
    CPPUNIT_ASSERT(refused.outcome == CallOutcome::kNotRun);
    CPPUNIT_ASSERT(refused.retry_after > Duration(0));
    CPPUNIT_ASSERT(deployment.world().now() - frozen_at < kWriteAttemptLimit + milliseconds(500));
    const TimePoint asked_at = deployment.world().now();
    assert_lost(deployment.execute_in(caller, begun.transaction, "one"), CallOutcome::kNotRun);
    CPPUNIT_ASSERT(deployment.world().now() - asked_at < kWriteAttemptLimit + milliseconds(500));
  }

  void test_idle_transaction_is_rolled_back() {
    ProxyWorldSettings settings;
    settings.adjust_proxy = [](ProxySettings& proxy) { proxy.transaction_idle_limit = milliseconds(500); };
    ProxyWorld deployment(settings);
    auto& caller = deployment.add_caller(0);
    const auto begun = deployment.begin(caller);
    deployment.world().run_for(milliseconds(400));
    assert_done(deployment.execute_in(caller, begun.transaction, "one"));
    deployment.world().run_for(milliseconds(400));
    assert_done(deployment.execute_in(caller, begun.transaction, "two"));
    deployment.world().run_for(milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(std::string("0"), open_transactions(deployment, 0));
    assert_lost(deployment.execute_in(caller, begun.transaction, "three"), CallOutcome::kNotRun);
    CPPUNIT_ASSERT(entries(deployment, caller).empty());
  }

  void test_commit_resent_to_another_proxy() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    const auto begun = deployment.begin(caller);
    assert_done(deployment.execute_in(caller, begun.transaction, "one"));
    const auto commit = deployment.next_request(caller, StatementKind::kWrite, "");
    assert_done(deployment.run(caller.client.commit(begun.transaction, commit)));
    caller.client.move_to(ProxyWorld::proxy_endpoint(1));
    assert_done(deployment.run(caller.client.commit(begun.transaction, commit)));
    CPPUNIT_ASSERT(entries(deployment, caller) == std::vector<std::string>{"one"});
  }

  void test_commit_of_a_transaction_lost_with_its_proxy() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    const auto begun = deployment.begin(caller);
    assert_done(deployment.execute_in(caller, begun.transaction, "one"));
    deployment.world().kill(ProxyWorld::proxy(0));
    caller.client.move_to(ProxyWorld::proxy_endpoint(1));
    assert_lost(deployment.commit(caller, begun.transaction), CallOutcome::kNotRun);
    CPPUNIT_ASSERT(entries(deployment, caller).empty());
  }

  void test_commit_without_an_answer_is_resolved() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    const auto begun = deployment.begin(caller);
    assert_done(deployment.execute_in(caller, begun.transaction, "one"));
    deployment.set_faults(0, R"({"short_bodies":1})");
    const auto committed = deployment.commit(caller, begun.transaction);
    deployment.set_faults(0, R"({"short_bodies":0})");
    assert_done(committed);
    CPPUNIT_ASSERT(entries(deployment, caller) == std::vector<std::string>{"one"});
  }

  void test_conflicting_commit_is_refused() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    auto& other = deployment.add_caller(0);
    const auto begun = deployment.begin(caller);
    auto get = deployment.next_request(caller, StatementKind::kRead,
                                       standins::callers::make_get_text(ProxyWorld::key()));
    assert_done(deployment.run(caller.client.execute_in(begun.transaction, std::move(get))));
    assert_done(deployment.execute_in(caller, begun.transaction, "mine"));
    assert_done(deployment.write(other, "theirs"));
    const auto refused = deployment.commit(caller, begun.transaction);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.reason.to_string(), std::string("conflict"),
                                 std::string(reason_code_name(refused.reason.code)));
    CPPUNIT_ASSERT(refused.outcome == CallOutcome::kNotRun);
    CPPUNIT_ASSERT(entries(deployment, other) == std::vector<std::string>{"theirs"});
  }

  void test_primary_replaced_within_a_transaction() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    const auto begun = deployment.begin(caller);
    assert_done(deployment.execute_in(caller, begun.transaction, "one"));
    deployment.promote(1, 2, {0, 1, 2});
    assert_lost(deployment.commit(caller, begun.transaction), CallOutcome::kNotRun);
    CPPUNIT_ASSERT(entries(deployment, caller).empty());
    assert_done(deployment.write(caller, "two"));
  }

  /// Two transactions about to execute and to commit, and an idle one.
  void test_calls_at_a_lost_primary_end_once_a_new_primary_is_known() {
    ProxyWorld deployment;
    auto& executing = deployment.add_caller(0);
    auto& committing = deployment.add_caller(0);
    auto& idle = deployment.add_caller(0);
    const auto first = deployment.begin(executing);
    const auto second = deployment.begin(committing);
    const auto third = deployment.begin(idle);
    assert_done(deployment.execute_in(committing, second.transaction, "second"));
    deployment.world().vanish(ProxyWorld::database(0));
    const auto execute_call = deployment.start(executing.client.execute_in(
        first.transaction,
        deployment.next_request(executing, StatementKind::kWrite,
                                standins::callers::make_append_text(ProxyWorld::key(), "first"))));
    const auto commit_call = deployment.start(committing.client.commit(
        second.transaction, deployment.next_request(committing, StatementKind::kWrite, "")));
    deployment.world().run_for(milliseconds(300));
    deployment.promote(1, 2, {1, 2});
    const TimePoint replaced = deployment.world().now();
    assert_lost(deployment.finish(execute_call), CallOutcome::kNotRun);
    CPPUNIT_ASSERT(deployment.finish(commit_call).outcome == CallOutcome::kNotRun);
    assert_lost(deployment.execute_in(idle, third.transaction, "third"), CallOutcome::kNotRun);
    CPPUNIT_ASSERT(deployment.world().now() - replaced < kReplacedPrimaryGrace + milliseconds(50));
  }

  /// They wait for a connection that will never be accepted, and nothing of them was sent.
  void test_work_waiting_for_a_lost_primary_moves_to_its_successor() {
    ProxyWorldSettings settings;
    settings.connections = 2;  // one for each proxy
    ProxyWorld deployment(settings);
    auto& holder = deployment.add_caller(0);
    auto& beginning = deployment.add_caller(0);
    auto& writing = deployment.add_caller(0);
    assert_done(deployment.begin(holder));
    deployment.world().vanish(ProxyWorld::database(0));
    const auto begin_call = deployment.start(
        beginning.client.begin(deployment.next_request(beginning, StatementKind::kWrite, "")));
    const auto write_call = deployment.start(writing.client.execute(deployment.next_request(
        writing, StatementKind::kWrite, standins::callers::make_append_text(ProxyWorld::key(), "one"))));
    deployment.world().run_for(milliseconds(300));
    deployment.promote(1, 2, {1, 2});
    const TimePoint replaced = deployment.world().now();
    const auto begun = deployment.finish(begin_call);
    assert_done(begun);
    assert_done(deployment.rollback(beginning, begun.transaction));
    assert_done(deployment.finish(write_call));
    CPPUNIT_ASSERT(deployment.world().now() - replaced < kReplacedPrimaryGrace + milliseconds(50));
  }

  void test_drain_answers_what_is_in_flight() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    auto& other = deployment.add_caller(0);
    assert_done(deployment.write(other, "warm"));
    deployment.set_faults(0, R"({"statement_duration_ms":300})");
    auto request = deployment.next_request(caller, StatementKind::kWrite,
                                           standins::callers::make_append_text(ProxyWorld::key(), "one"));
    const auto call = deployment.start(caller.client.execute(std::move(request)));
    deployment.world().run_for(milliseconds(50));
    bool drained = false;
    deployment.world().drain(ProxyWorld::proxy(0), [&] { drained = true; });
    deployment.world().run_for(milliseconds(20));
    const auto refused = deployment.write(other, "two");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.reason.to_string(), std::string("draining"),
                                 std::string(reason_code_name(refused.reason.code)));
    CPPUNIT_ASSERT(refused.outcome == CallOutcome::kNotRun);
    CPPUNIT_ASSERT_MESSAGE("the draining proxy did not close the caller's connection",
                           !other.client.is_connected());
    assert_done(deployment.finish(call));
    CPPUNIT_ASSERT(!caller.client.is_connected());
    deployment.world().run_for(seconds(3));
    CPPUNIT_ASSERT(drained);
    CPPUNIT_ASSERT(deployment.control().saw_draining());
  }

  void test_drain_lets_a_transaction_commit() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    const auto begun = deployment.begin(caller);
    assert_done(deployment.execute_in(caller, begun.transaction, "one"));
    bool drained = false;
    deployment.world().drain(ProxyWorld::proxy(0), [&] { drained = true; });
    deployment.world().run_for(seconds(1));
    CPPUNIT_ASSERT(!drained);
    assert_done(deployment.execute_in(caller, begun.transaction, "two"));
    assert_done(deployment.commit(caller, begun.transaction));
    deployment.world().run_for(seconds(3));
    CPPUNIT_ASSERT(drained);
    auto& reader = deployment.add_caller(1);
    const std::vector<std::string> both = {"one", "two"};
    CPPUNIT_ASSERT(entries(deployment, reader) == both);
  }

 private:
  static std::vector<std::string> entries(ProxyWorld& deployment, Caller& caller) {
    const auto answer = deployment.read(caller);
    Reason reason;
    const auto entries = standins::callers::parse_entries(answer.result, reason);
    CPPUNIT_ASSERT_MESSAGE(answer.reason.to_string() + reason.to_string(), entries.has_value());
    return *entries;
  }

  static std::string open_transactions(ProxyWorld& deployment, std::uint32_t proxy) {
    const auto text = deployment.get(proxy, "/metrics").body;
    const std::string name = "\ncairnhollow_proxy_transactions_open ";
    const auto start = text.find(name);
    CPPUNIT_ASSERT(start != std::string::npos);
    const auto value = start + name.size();
    return text.substr(value, text.find('\n', value) - value);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyTransactionsTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy
