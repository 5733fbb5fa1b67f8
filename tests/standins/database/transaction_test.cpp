// Transactions: never mixed, never seen before commit, never outliving their connection or their term.
#include <cppunit/extensions/HelperMacros.h>

#include "tests/standins/database/database_group.h"

namespace cairnhollow::standins::database {
namespace {

using declared::backend::Rows;
using declared::backend::StatementRefused;
using declared::backend::Written;
using std::chrono::milliseconds;

/// A connection with a transaction open on it.
struct Session {
  std::shared_ptr<declared::backend::BackendConnection> connection;
  TransactionId transaction;
};

class DatabaseTransactionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatabaseTransactionTest);
  CPPUNIT_TEST(test_writes_are_seen_by_nobody_before_commit);
  CPPUNIT_TEST(test_statement_of_another_transaction_is_refused);
  CPPUNIT_TEST(test_commit_is_refused_when_what_it_read_was_written_since);
  CPPUNIT_TEST(test_transaction_dies_with_its_connection);
  CPPUNIT_TEST(test_transaction_does_not_outlive_its_term);
  CPPUNIT_TEST(test_commit_runs_once);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    group_ = std::make_unique<DatabaseGroup>(31);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), group_->fail_over(1, "o1", {"a", "b", "c"}));
  }
  void tearDown() override { group_.reset(); }

  void test_writes_are_seen_by_nobody_before_commit() {
    auto first = begin();
    auto second = begin();
    CPPUNIT_ASSERT(std::holds_alternative<Written>(append(first, first.transaction, "one")));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":["one"]})"), read(first));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":[]})"), read(second));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":[]})"), group_->content("a"));
    CPPUNIT_ASSERT(std::holds_alternative<Written>(commit(first, 1)));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":["one"]})"), group_->content("a"));
  }

  void test_statement_of_another_transaction_is_refused() {
    auto first = begin();
    auto second = begin();
    CPPUNIT_ASSERT(first.transaction != second.transaction);
    CPPUNIT_ASSERT(std::holds_alternative<StatementRefused>(append(second, first.transaction, "mixed")));
    Session crossed{second.connection, first.transaction};
    CPPUNIT_ASSERT(std::holds_alternative<StatementRefused>(commit(crossed, 1)));
    CPPUNIT_ASSERT(std::holds_alternative<Written>(append(first, first.transaction, "one")));
    CPPUNIT_ASSERT(std::holds_alternative<Written>(commit(first, 2)));
    CPPUNIT_ASSERT(std::holds_alternative<Written>(commit(second, 3)));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":["one"]})"), group_->content("a"));
  }

  void test_commit_is_refused_when_what_it_read_was_written_since() {
    auto first = begin();
    read(first);
    append(first, first.transaction, "stale");
    CPPUNIT_ASSERT(std::holds_alternative<Written>(group_->append("a", 1, "other")));
    CPPUNIT_ASSERT(std::holds_alternative<StatementRefused>(commit(first, 1)));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":["other"]})"), group_->content("a"));
    CPPUNIT_ASSERT(!group_->resolve("a", 1, RequestId{SessionName("s"), 1})->committed);
  }

  void test_transaction_dies_with_its_connection() {
    auto first = begin();
    append(first, first.transaction, "gone");
    first.connection->close();
    group_->world().run_for(milliseconds(50));
    Session other{group_->connect("a"), first.transaction};
    CPPUNIT_ASSERT(std::holds_alternative<StatementRefused>(commit(other, 1)));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":[]})"), group_->content("a"));
  }

  void test_transaction_does_not_outlive_its_term() {
    auto first = begin();
    append(first, first.transaction, "old");
    CPPUNIT_ASSERT_EQUAL(std::string("a"), group_->fail_over(2, "o2", {"a", "b", "c"}));
    const auto answer = commit(first, 1);
    CPPUNIT_ASSERT(std::holds_alternative<declared::backend::NotPrimary>(answer));
    CPPUNIT_ASSERT(std::holds_alternative<Written>(group_->append("a", 2, "new")));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":["new"]})"), group_->content("a"));
  }

  void test_commit_runs_once() {
    auto first = begin();
    append(first, first.transaction, "one");
    CPPUNIT_ASSERT(std::holds_alternative<Written>(commit(first, 1)));
    auto second = begin();
    append(second, second.transaction, "one");
    const auto repeated = commit(second, 1);
    CPPUNIT_ASSERT(std::holds_alternative<declared::backend::AlreadyDecided>(repeated));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":["one"]})"), group_->content("a"));
  }

 private:
  Session begin() {
    Session session;
    session.connection = group_->connect("a");
    const DatabaseName database("learners");
    const auto begun = group_->run(session.connection->begin(database, group_->requirements(1), reason_));
    CPPUNIT_ASSERT_MESSAGE(reason_.to_string(), begun.has_value());
    session.transaction = *begun;
    return session;
  }
  declared::backend::ExecuteAnswer append(Session& session, const TransactionId& transaction,
                                          const std::string& value) {
    return group_->run(session.connection->execute_in(transaction, DatabaseGroup::append_statement(value),
                                                      group_->requirements(1), reason_));
  }
  std::string read(Session& session) {
    const auto answer = group_->run(session.connection->execute_in(
        session.transaction, DatabaseGroup::read_statement(), group_->requirements(1), reason_));
    const auto* rows = std::get_if<Rows>(&answer);
    return rows != nullptr ? rows->body : reason_.to_string();
  }
  declared::backend::ExecuteAnswer commit(Session& session, std::uint64_t number) {
    const RequestId request{SessionName("s"), number};
    return group_->run(
        session.connection->commit(session.transaction, group_->requirements(1, request), reason_));
  }

  std::unique_ptr<DatabaseGroup> group_;
  Reason reason_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseTransactionTest);

}  // namespace
}  // namespace cairnhollow::standins::database
