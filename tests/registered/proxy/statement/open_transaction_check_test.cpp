// An open transaction is checked before and after the wait of each of its statements.
#include "tests/registered/proxy/statement/runner_fixture.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;

class OpenTransactionCheckTest : public RunnerFixture {
  CPPUNIT_TEST_SUITE(OpenTransactionCheckTest);
  CPPUNIT_TEST(aborts_when_the_key_is_removed);
  CPPUNIT_TEST(aborts_when_the_key_is_removed_during_the_wait);
  CPPUNIT_TEST(aborts_when_the_key_is_unconfirmed);
  CPPUNIT_TEST(aborts_when_the_lease_expires);
  CPPUNIT_TEST(aborts_when_the_primary_is_replaced);
  CPPUNIT_TEST(refuses_commits_while_commits_stall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void aborts_when_the_key_is_removed() {
    const PinnedLink pinned = open_transaction();
    remove_key();
    check_ended(pinned, "key_unauthorized");
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no session value is set for the refused statement", 1, backends().values);
  }

  void aborts_when_the_key_is_removed_during_the_wait() {
    const PinnedLink pinned = open_transaction();
    backends().during_setup = [this] { remove_key(); };
    check_ended(pinned, "key_unauthorized");
  }

  void aborts_when_the_key_is_unconfirmed() {
    const PinnedLink pinned = open_transaction();
    world_->run_for(milliseconds(4950));
    check_ended(pinned, "key_unconfirmed");
  }

  void aborts_when_the_lease_expires() {
    lose_lease_after(milliseconds(50));
    const PinnedLink pinned = open_transaction();
    backends().setup_takes = milliseconds(100);
    check_ended(pinned, "primary_given_up");
  }

  void aborts_when_the_primary_is_replaced() {
    const PinnedLink pinned = open_transaction();
    replace_primary();
    check_ended(pinned, "primary_given_up");
  }

  void refuses_commits_while_commits_stall() {
    const PinnedLink pinned = open_transaction();
    backends().statement_takes = milliseconds(800);
    RunResult write;
    runtime_->spawn("run", keep(proxy_->runner.run(new_request()), write));
    world_->run_for(milliseconds(300));
    Answer answer;
    runtime_->spawn("commit",
                    keep(proxy_->runner.transactions().run(pinned, new_request(), true, true), answer));
    world_->run_for(milliseconds(10));
    CPPUNIT_ASSERT(answer.refusal == Refusal::kAborted);
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "earlier commits have no answer yet; the transaction was aborted and its changes are not kept"),
        answer.detail);
    CPPUNIT_ASSERT_EQUAL(2, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, local_refusals("commits_stall"));
    world_->run_for(milliseconds(1000));
  }

 private:
  PinnedLink open_transaction() {
    StatementRequest opening = new_request();
    opening.opens_transaction = true;
    std::optional<RunResult> result;
    runtime_->spawn("open", open(opening, result));
    world_->run_for(milliseconds(20));
    CPPUNIT_ASSERT(result && result->answer.succeeded() && result->pinned);
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
    return *result->pinned;
  }
  Awaitable<void> open(StatementRequest request, std::optional<RunResult>& result) {
    result = co_await proxy_->runner.run(std::move(request));
  }

  /// Asserts that the next statement, which changes a session value, is not sent and the transaction is
  /// aborted.
  void check_ended(const PinnedLink& pinned, const std::string& reason_name) {
    Answer answer;
    StatementRequest further = new_request("second");
    runtime_->spawn(
        "further", keep(proxy_->runner.transactions().run(pinned, std::move(further), false, false), answer));
    world_->run_for(milliseconds(1200));
    CPPUNIT_ASSERT(answer.refusal == Refusal::kAborted);
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, local_refusals(reason_name));
    CPPUNIT_ASSERT_MESSAGE("closing the link makes the backend roll back", !pinned.link->link().is_open());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenTransactionCheckTest);

}  // namespace cairnhollow::registered::proxy
