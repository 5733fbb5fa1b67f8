// An open transaction is checked before and after the wait of each of its statements.
#include "tests/registered/proxy/statement/runner_stand.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;

class TransactionLookTest : public RunnerStand {
  CPPUNIT_TEST_SUITE(TransactionLookTest);
  CPPUNIT_TEST(a_transaction_ends_with_its_key);
  CPPUNIT_TEST(a_transaction_ends_with_a_key_that_is_removed_while_it_waits);
  CPPUNIT_TEST(a_transaction_ends_when_its_key_is_not_confirmed);
  CPPUNIT_TEST(a_transaction_ends_with_its_lease);
  CPPUNIT_TEST(a_transaction_ends_with_its_primary);
  CPPUNIT_TEST(a_commit_is_not_sent_while_commits_stall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_transaction_ends_with_its_key() {
    const PinnedLink pinned = open_transaction();
    remove_key();
    check_ended(pinned, "key_unauthorized");
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no session value is set for the refused statement", 1, backends().values);
  }

  void a_transaction_ends_with_a_key_that_is_removed_while_it_waits() {
    const PinnedLink pinned = open_transaction();
    backends().meanwhile = [this] { remove_key(); };
    check_ended(pinned, "key_unauthorized");
  }

  void a_transaction_ends_when_its_key_is_not_confirmed() {
    const PinnedLink pinned = open_transaction();
    world_->run_for(milliseconds(4950));
    check_ended(pinned, "key_unconfirmed");
  }

  void a_transaction_ends_with_its_lease() {
    lose_lease_after(milliseconds(50));
    const PinnedLink pinned = open_transaction();
    backends().takes = milliseconds(100);
    check_ended(pinned, "primary_given_up");
  }

  void a_transaction_ends_with_its_primary() {
    const PinnedLink pinned = open_transaction();
    replace_primary();
    check_ended(pinned, "primary_given_up");
  }

  void a_commit_is_not_sent_while_commits_stall() {
    const PinnedLink pinned = open_transaction();
    backends().statement_takes = milliseconds(800);
    RunResult write;
    runtime_->spawn("run", keep(proxy_->runner.run(order()), write));
    world_->run_for(milliseconds(300));
    Answer answer;
    runtime_->spawn("commit", keep(proxy_->runner.transactions().run(pinned, order(), true, true), answer));
    world_->run_for(milliseconds(10));
    CPPUNIT_ASSERT(answer.refusal == Refusal::kAborted);
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "earlier commits have no answer yet; the transaction was aborted and its changes are not kept"),
        answer.detail);
    CPPUNIT_ASSERT_EQUAL(2, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, unplaced("commits_stall"));
    world_->run_for(milliseconds(1000));
  }

 private:
  PinnedLink open_transaction() {
    StatementRequest opening = order();
    opening.opens_transaction = true;
    std::optional<RunResult> result;
    runtime_->spawn("open", open(opening, result));
    world_->run_for(milliseconds(20));
    CPPUNIT_ASSERT(result && result->answer.succeeded() && result->pinned);
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
    return *result->pinned;
  }
  Awaitable<void> open(StatementRequest order, std::optional<RunResult>& result) {
    result = co_await proxy_->runner.run(std::move(order));
  }

  /// Asserts that the next statement, which changes a session value, is not sent and the transaction is
  /// aborted.
  void check_ended(const PinnedLink& pinned, const std::string& since) {
    Answer answer;
    StatementRequest further = order("second");
    runtime_->spawn(
        "further", keep(proxy_->runner.transactions().run(pinned, std::move(further), false, false), answer));
    world_->run_for(milliseconds(1200));
    CPPUNIT_ASSERT(answer.refusal == Refusal::kAborted);
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, unplaced(since));
    CPPUNIT_ASSERT_MESSAGE("closing the link makes the backend roll back", !pinned.link->link().is_open());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransactionLookTest);

}  // namespace cairnhollow::registered::proxy
