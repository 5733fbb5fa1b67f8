// A statement is checked again after each wait: after a change of its key, lease or primary nothing more is
// sent.
#include <array>

#include "tests/registered/proxy/statement/runner_stand.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;

class LastLookTest : public RunnerStand {
  CPPUNIT_TEST_SUITE(LastLookTest);
  CPPUNIT_TEST(a_write_runs_at_the_primary);
  CPPUNIT_TEST(a_key_removed_meanwhile_runs_nothing);
  CPPUNIT_TEST(a_key_not_confirmed_any_more_runs_nothing);
  CPPUNIT_TEST(a_lease_lost_meanwhile_runs_nothing);
  CPPUNIT_TEST(a_primary_replaced_meanwhile_gets_nothing);
  CPPUNIT_TEST(a_former_primarys_link_gets_no_session_state);
  CPPUNIT_TEST(a_former_primary_is_not_dialled);
  CPPUNIT_TEST(a_transaction_is_not_begun_without_lease);
  CPPUNIT_TEST(a_refusal_tells_what_each_backend_lacks);
  CPPUNIT_TEST(a_key_that_proves_another_tenant_runs_nothing);
  CPPUNIT_TEST(what_runs_again_needs_a_token);
  CPPUNIT_TEST(a_write_is_not_sent_while_commits_stall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_write_runs_at_the_primary() {
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
    CPPUNIT_ASSERT_EQUAL(0, sent("two"));
  }

  void a_key_removed_meanwhile_runs_nothing() {
    backends().meanwhile = [this] { remove_key(); };
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kUnauthorized);
    CPPUNIT_ASSERT(result.nothing_run);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, unplaced("key_unauthorized"));
  }

  void a_key_not_confirmed_any_more_runs_nothing() {
    world_->run_for(milliseconds(4800));
    backends().takes = milliseconds(200);
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, unplaced("key_unconfirmed"));
  }

  void a_lease_lost_meanwhile_runs_nothing() {
    lose_lease_after(milliseconds(50));
    backends().takes = milliseconds(100);
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, unplaced("no_lease"));
  }

  void a_primary_replaced_meanwhile_gets_nothing() {
    backends().meanwhile = [this] { replace_primary(); };
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, sent("two"));
  }

  void a_former_primarys_link_gets_no_session_state() {
    backends().while_dialling = [this] { replace_primary(); };
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(1, sent("two"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("set on the new primary's link only", 1, backends().values);
  }

  void a_former_primary_is_not_dialled() {
    backends().statement_takes = milliseconds(100);
    std::array<RunResult, 3> results;
    for (RunResult& result : results) runtime_->spawn("run", keep(proxy_->runner.run(order()), result));
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the third waits for a slot", 2, sent("one"));
    replace_primary();
    world_->run_for(milliseconds(1200));
    CPPUNIT_ASSERT_EQUAL(2, backends().dials["one"]);
    CPPUNIT_ASSERT_EQUAL(2, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, sent("two"));
  }

  void a_transaction_is_not_begun_without_lease() {
    lose_lease_after(milliseconds(50));
    StatementRequest opening = order();
    opening.opens_transaction = true;
    backends().takes = milliseconds(100);
    const RunResult result = run(opening);
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT(!result.pinned);
    CPPUNIT_ASSERT_EQUAL(0, backends().begun);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
  }

  void a_refusal_tells_what_each_backend_lacks() {
    registry::BackendEntry leaving = entry("one", 1);
    leaving.leaving = true;
    proxy_->view.find_group(kGroup)->put_backend(leaving);
    world_->run_for(milliseconds(5200));
    confirm();
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT_EQUAL(std::string("the backend that could run it is draining; retry in 300 ms"),
                         result.answer.detail);
    CPPUNIT_ASSERT_EQUAL(1, unplaced("leaving"));
  }

  void a_key_that_proves_another_tenant_runs_nothing() {
    backends().meanwhile = [this] { move_key(); };
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kUnauthorized);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
  }

  void what_runs_again_needs_a_token() {
    limit_tenant();
    StatementRequest again = order();
    again.may_have_run = true;
    const RunResult result = run(again);
    CPPUNIT_ASSERT_MESSAGE("no proxy grants tokens for the tenant",
                           result.answer.refusal == Refusal::kOverLimit);
    CPPUNIT_ASSERT(!result.nothing_run);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, unplaced("over_limit"));
  }

  void a_write_is_not_sent_while_commits_stall() {
    world_->run_for(milliseconds(10));
    backends().statement_takes = milliseconds(800);
    RunResult first;
    runtime_->spawn("run", keep(proxy_->runner.run(order()), first));
    world_->run_for(milliseconds(300));
    RunResult second;
    runtime_->spawn("run", keep(proxy_->runner.run(order()), second));
    world_->run_for(milliseconds(10));
    CPPUNIT_ASSERT(second.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, unplaced("commits_stall"));
    world_->run_for(milliseconds(1000));
    CPPUNIT_ASSERT(first.answer.succeeded());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LastLookTest);

}  // namespace cairnhollow::registered::proxy
