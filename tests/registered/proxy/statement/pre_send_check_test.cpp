// A statement is checked again after each wait: after a change of its key, lease or primary nothing more is
// sent.
#include <array>

#include "tests/registered/proxy/statement/runner_fixture.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;

class PreSendCheckTest : public RunnerFixture {
  CPPUNIT_TEST_SUITE(PreSendCheckTest);
  CPPUNIT_TEST(runs_writes_at_the_primary);
  CPPUNIT_TEST(refuses_keys_removed_during_the_wait);
  CPPUNIT_TEST(refuses_keys_unconfirmed_after_the_wait);
  CPPUNIT_TEST(refuses_writes_after_lease_expiry);
  CPPUNIT_TEST(sends_nothing_to_a_replaced_primary);
  CPPUNIT_TEST(sets_no_session_state_at_a_replaced_primary);
  CPPUNIT_TEST(opens_no_link_to_a_replaced_primary);
  CPPUNIT_TEST(begins_no_transaction_without_lease);
  CPPUNIT_TEST(reports_why_backends_are_rejected);
  CPPUNIT_TEST(refuses_keys_of_another_tenant);
  CPPUNIT_TEST(reruns_need_a_token);
  CPPUNIT_TEST(refuses_writes_while_commits_stall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void runs_writes_at_the_primary() {
    const RunResult result = run(new_request());
    CPPUNIT_ASSERT(result.answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
    CPPUNIT_ASSERT_EQUAL(0, sent("two"));
  }

  void refuses_keys_removed_during_the_wait() {
    backends().during_setup = [this] { remove_key(); };
    const RunResult result = run(new_request());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kUnauthorized);
    CPPUNIT_ASSERT(result.nothing_run);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, local_refusals("key_unauthorized"));
  }

  void refuses_keys_unconfirmed_after_the_wait() {
    world_->run_for(milliseconds(4800));
    backends().setup_takes = milliseconds(200);
    const RunResult result = run(new_request());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, local_refusals("key_unconfirmed"));
  }

  void refuses_writes_after_lease_expiry() {
    lose_lease_after(milliseconds(50));
    backends().setup_takes = milliseconds(100);
    const RunResult result = run(new_request());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, local_refusals("no_lease"));
  }

  void sends_nothing_to_a_replaced_primary() {
    backends().during_setup = [this] { replace_primary(); };
    const RunResult result = run(new_request());
    CPPUNIT_ASSERT(result.answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, sent("two"));
  }

  void sets_no_session_state_at_a_replaced_primary() {
    backends().while_dialling = [this] { replace_primary(); };
    const RunResult result = run(new_request());
    CPPUNIT_ASSERT(result.answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(1, sent("two"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("set on the new primary's link only", 1, backends().values);
  }

  void opens_no_link_to_a_replaced_primary() {
    backends().statement_takes = milliseconds(100);
    std::array<RunResult, 3> results;
    for (RunResult& result : results) runtime_->spawn("run", keep(proxy_->runner.run(new_request()), result));
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the third waits for a slot", 2, sent("one"));
    replace_primary();
    world_->run_for(milliseconds(1200));
    CPPUNIT_ASSERT_EQUAL(2, backends().dials["one"]);
    CPPUNIT_ASSERT_EQUAL(2, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, sent("two"));
  }

  void begins_no_transaction_without_lease() {
    lose_lease_after(milliseconds(50));
    StatementRequest opening = new_request();
    opening.opens_transaction = true;
    backends().setup_takes = milliseconds(100);
    const RunResult result = run(opening);
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT(!result.pinned);
    CPPUNIT_ASSERT_EQUAL(0, backends().begun);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
  }

  void reports_why_backends_are_rejected() {
    registry::BackendEntry leaving = entry("one", 1);
    leaving.leaving = true;
    proxy_->view.find_group(kGroup)->put_backend(leaving);
    world_->run_for(milliseconds(5200));
    confirm();
    const RunResult result = run(new_request());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT_EQUAL(std::string("the backend that could run it is draining; retry in 300 ms"),
                         result.answer.detail);
    CPPUNIT_ASSERT_EQUAL(1, local_refusals("leaving"));
  }

  void refuses_keys_of_another_tenant() {
    backends().during_setup = [this] { move_key(); };
    const RunResult result = run(new_request());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kUnauthorized);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
  }

  void reruns_need_a_token() {
    limit_tenant();
    StatementRequest again = new_request();
    again.may_have_run = true;
    const RunResult result = run(again);
    CPPUNIT_ASSERT_MESSAGE("no proxy grants tokens for the tenant",
                           result.answer.refusal == Refusal::kOverLimit);
    CPPUNIT_ASSERT(!result.nothing_run);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, local_refusals("over_limit"));
  }

  void refuses_writes_while_commits_stall() {
    world_->run_for(milliseconds(10));
    backends().statement_takes = milliseconds(800);
    RunResult first;
    runtime_->spawn("run", keep(proxy_->runner.run(new_request()), first));
    world_->run_for(milliseconds(300));
    RunResult second;
    runtime_->spawn("run", keep(proxy_->runner.run(new_request()), second));
    world_->run_for(milliseconds(10));
    CPPUNIT_ASSERT(second.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, local_refusals("commits_stall"));
    world_->run_for(milliseconds(1000));
    CPPUNIT_ASSERT(first.answer.succeeded());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PreSendCheckTest);

}  // namespace cairnhollow::registered::proxy
