// The caller's result, and the number of sends to each backend, when the first attempt of a statement is
// refused or gets no answer.
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "tests/registered/proxy/statement/runner_fixture.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto kNotSent = runtime::SendState::kNotSent;
constexpr const char* kPrimary = "one";
constexpr const char* kReplica = "two";

/// "ok" or the refusal, then the number of sends to the primary and to the replica.
std::string text_of(const RunResult& result, int at_primary, int at_replica) {
  const std::string outcome = result.answer.refusal ? refusal_name(*result.answer.refusal) : "ok";
  return outcome + ' ' + std::to_string(at_primary) + ' ' + std::to_string(at_replica);
}

std::string name_of(const Failure& failure) {
  if (failure.refusal) return refusal_name(*failure.refusal);
  return failure.sent == kNotSent ? "not sent" : "no answer";
}

}  // namespace

class StatementOutcomesTest : public RunnerFixture {
  CPPUNIT_TEST_SUITE(StatementOutcomesTest);
  CPPUNIT_TEST(retries_single_statements);
  CPPUNIT_TEST(retries_first_statements_of_transactions);
  CPPUNIT_TEST(retries_refused_begins);
  CPPUNIT_TEST(does_not_retry_within_transactions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void retries_single_statements() {
    struct Row {
      Failure failure;
      std::string write;
      std::string primary_read;
      std::string replica_read;
    };
    const std::vector<Row> rows{
        {{Refusal::kBusy}, "ok 2 0", "ok 2 0", "ok 1 1"},
        {{Refusal::kAborted}, "aborted 1 0", "aborted 1 0", "aborted 0 1"},
        {{Refusal::kTooStale}, "ok 2 0", "ok 2 0", "ok 1 1"},
        {{Refusal::kNotPrimary}, "ok 2 0", "ok 2 0", "ok 1 1"},
        {{Refusal::kWrongBackend}, "ok 2 0", "ok 2 0", "ok 1 1"},
        {{Refusal::kConnectionLimit}, "ok 2 0", "ok 2 0", "ok 1 1"},
        {{Refusal::kInDoubt}, "in_doubt 1 0", "in_doubt 1 0", "in_doubt 0 1"},
        {{Refusal::kTimedOut}, "timed_out 1 0", "timed_out 1 0", "timed_out 0 1"},
        {{Refusal::kFailed}, "failed 1 0", "ok 2 0", "ok 1 1"},
        {{Refusal::kMalformed}, "malformed 1 0", "malformed 1 0", "malformed 0 1"},
        {{Refusal::kUnknownStatement}, "ok 2 0", "ok 2 0", "ok 1 1"},
        {{Refusal::kUnknownDatabase}, "unknown_database 1 0", "unknown_database 1 0", "unknown_database 0 1"},
        {{Refusal::kUnauthorized}, "ok 2 0", "ok 2 0", "ok 1 1"},
        {{Refusal::kOverLimit}, "ok 2 0", "ok 2 0", "ok 1 1"},
        {{std::nullopt, kNotSent}, "ok 2 0", "ok 2 0", "ok 1 1"},
        {{std::nullopt}, "in_doubt 1 0", "ok 2 0", "ok 1 1"},
    };
    for (const Row& row : rows) {
      const std::string what = name_of(row.failure);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("write: " + what, row.write,
                                   outcome_after(row.failure, kPrimary, write()));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("primary read: " + what, row.primary_read,
                                   outcome_after(row.failure, kPrimary, read()));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("replica read: " + what, row.replica_read,
                                   outcome_after(row.failure, kReplica, replica_read()));
    }
  }

  void retries_first_statements_of_transactions() {
    struct Row {
      Failure failure;
      std::string outcome;
    };
    const std::vector<Row> rows{
        {{Refusal::kBusy}, "ok 2 0"},         {{Refusal::kFailed}, "failed 1 0"},
        {{Refusal::kNotPrimary}, "ok 2 0"},   {{Refusal::kAborted}, "aborted 1 0"},
        {{std::nullopt, kNotSent}, "ok 2 0"}, {{std::nullopt}, "ok 2 0"},
    };
    for (const Row& row : rows)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name_of(row.failure), row.outcome,
                                   outcome_after(row.failure, kPrimary, opening()));
  }

  void retries_refused_begins() {
    for (const Failure& failure : std::vector<Failure>{{Refusal::kBusy},
                                                       {Refusal::kTooStale},
                                                       {Refusal::kNotPrimary},
                                                       {Refusal::kWrongBackend},
                                                       {Refusal::kFailed},
                                                       {std::nullopt}}) {
      restart();
      backends().begin_failures[kPrimary] = failure;
      const RunResult result = run(opening());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name_of(failure), std::string("ok 1 0"),
                                   text_of(result, sent(kPrimary), sent(kReplica)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name_of(failure), 2, backends().begun);
      CPPUNIT_ASSERT(result.pinned && result.pinned->at_primary);
    }
  }

  void does_not_retry_within_transactions() {
    struct Row {
      Failure failure;
      std::string statement;
      std::string commit;
      std::string empty_commit;
    };
    const std::vector<Row> rows{
        {{Refusal::kBusy}, "busy", "busy", "busy"},
        {{Refusal::kFailed}, "failed", "failed", "failed"},
        {{Refusal::kAborted}, "aborted", "aborted", "aborted"},
        {{std::nullopt, kNotSent}, "aborted", "aborted", "aborted"},
        {{std::nullopt}, "aborted", "in_doubt", "aborted"},
    };
    for (const Row& row : rows) {
      const std::string what = name_of(row.failure);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, row.statement, in_transaction(row.failure, false, true));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, row.commit, in_transaction(row.failure, true, true));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, row.empty_commit, in_transaction(row.failure, true, false));
    }
  }

 private:
  void restart() {
    tearDown();
    setUp();
  }
  StatementRequest write() { return new_request(); }
  StatementRequest read() {
    StatementRequest statement = new_request();
    statement.writes = false;
    return statement;
  }
  StatementRequest opening() {
    StatementRequest statement = new_request();
    statement.opens_transaction = true;
    return statement;
  }
  StatementRequest replica_read() {
    StatementRequest statement = read();
    statement.route.reads = registry::ReadPolicy::kBoundedStaleness;
    statement.route.max_staleness_ms = 900;
    return statement;
  }

  /// The outcome on a new proxy if the first attempt at `backend` fails with `failure`.
  std::string outcome_after(const Failure& failure, const char* backend, StatementRequest statement) {
    restart();
    statement.group = proxy_->view.find_group(kGroup);
    // Bounded staleness requires a replica to hold the position that the primary reported a second ago.
    world_->run_for(seconds(2));
    statement.group->positions.record(runtime_->now() - seconds(1), Position{1, 5});
    statement.group->positions.record(runtime_->now(), Position{1, 6});
    statement.arrived = runtime_->now();
    statement.deadline = statement.arrived + milliseconds(statement.route.timeout_ms);
    backends().statement_failures[backend] = failure;
    const RunResult result = run(std::move(statement));
    return text_of(result, sent(kPrimary), sent(kReplica));
  }

  /// The caller's result if a statement or commit of an open transaction fails with `failure`.
  std::string in_transaction(const Failure& failure, bool commits, bool wrote) {
    restart();
    const RunResult opened = run(opening());
    CPPUNIT_ASSERT(opened.pinned);
    backends().statement_failures[kPrimary] = failure;
    Answer answer;
    runtime_->spawn(
        "run",
        keep(proxy_->runner.transactions().run(*opened.pinned, new_request(), commits, wrote), answer));
    world_->run_for(milliseconds(1200));
    return answer.refusal ? refusal_name(*answer.refusal) : "ok";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementOutcomesTest);

}  // namespace cairnhollow::registered::proxy
