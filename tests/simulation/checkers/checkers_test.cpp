// Each checker with global knowledge rejects a history that breaks its promise, and accepts one that keeps
// it.
#include "simulation/checkers/checkers.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::simulation {
namespace {

using standins::callers::OperationKind;
using standins::callers::OperationOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kRecord = "learner/key/answers";
const GroupName kGroup("records-1");

TimePoint at(Duration time) { return TimePoint(time); }

OperationRecord append(std::uint64_t number, OperationOutcome outcome, Duration invoked) {
  OperationRecord operation;
  operation.session = SessionName("s");
  operation.number = number;
  operation.kind = OperationKind::kAppend;
  operation.records = {kRecord};
  operation.value = "s:" + std::to_string(number);
  operation.outcome = outcome;
  operation.served_by = "records-1-a";
  operation.invoked = invoked.count();
  operation.answered = (invoked + milliseconds(5)).count();
  return operation;
}

LoggedWrite logged(std::uint64_t number, Position position, bool took_effect = true) {
  LoggedWrite write;
  write.request = {SessionName("s"), number};
  write.position = position;
  write.took_effect = took_effect;
  write.values = {"s:" + std::to_string(number)};
  return write;
}

GroupLog log_of(std::vector<LoggedWrite> writes) {
  GroupLog log;
  log.group = kGroup;
  log.writes = std::move(writes);
  return log;
}

MemberLog member_log(const std::string& backend, const std::vector<Position>& positions) {
  MemberLog log;
  log.backend = BackendName(backend);
  for (const Position& position : positions) {
    log.entries.push_back({position, standins::database::NoOperation{}});
  }
  return log;
}

ChangeRecord change(const std::string& id, std::uint64_t based_on,
                    const std::vector<std::uint64_t>& revisions, Duration answered = seconds(1)) {
  ChangeRecord record;
  record.request.change_id = id;
  declared::config::ObjectChange object;
  object.object.name = "route";
  object.object.spec = declared::config::RouteSpec{};
  object.based_on = based_on;
  record.request.changes.push_back(object);
  record.answered = at(answered);
  for (const std::uint64_t revision : revisions) {
    declared::config::ChangeOutcome outcome;
    outcome.accepted = revision > 0;
    outcome.revision = revision;
    record.answers.push_back(outcome);
  }
  return record;
}

ProxyObservation observation(Duration time, std::uint64_t revision, bool serves = true) {
  return {"proxy-1", at(time), at(time + milliseconds(1)), revision, serves};
}

class CheckersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CheckersTest);
  CPPUNIT_TEST(test_logs_agree);
  CPPUNIT_TEST(test_acknowledged_write_missing_in_log);
  CPPUNIT_TEST(test_write_committed_by_replaced_primary);
  CPPUNIT_TEST(test_not_run_ran);
  CPPUNIT_TEST(test_ran_twice);
  CPPUNIT_TEST(test_mixed_transactions);
  CPPUNIT_TEST(test_leaving_backend);
  CPPUNIT_TEST(test_work_of_leaving);
  CPPUNIT_TEST(test_planned_stop);
  CPPUNIT_TEST(test_two_winners);
  CPPUNIT_TEST(test_resend_answered_otherwise);
  CPPUNIT_TEST(test_same_revision_twice);
  CPPUNIT_TEST(test_in_force);
  CPPUNIT_TEST(test_reverted);
  CPPUNIT_TEST(test_revisions_are_by_domain);
  CPPUNIT_TEST(test_liveness);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_logs_agree() {
    GroupLog log = log_of({});
    log.members = {member_log("a", {{1, 1}, {1, 2}}), member_log("b", {{1, 1}})};
    CPPUNIT_ASSERT(check_logs_agree({log}).empty());
    log.members.push_back(member_log("c", {{1, 1}, {2, 2}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_logs_agree({log}).size());
  }

  void test_acknowledged_write_missing_in_log() {
    History history;
    history.operations = {append(1, OperationOutcome::kAcknowledged, seconds(1))};
    CPPUNIT_ASSERT(check_replaced_primaries(history, {log_of({logged(1, {1, 2})})}, {}).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_replaced_primaries(history, {log_of({})}, {}).size());
    const auto without_effect = log_of({logged(1, {1, 2}, false)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_replaced_primaries(history, {without_effect}, {}).size());
  }

  void test_write_committed_by_replaced_primary() {
    const std::vector<PrimaryChange> changes{{kGroup, 2, BackendName("records-1-b"), at(seconds(5))}};
    const std::vector<GroupLog> logs{log_of({logged(1, {1, 2})})};
    History history;
    history.operations = {append(1, OperationOutcome::kAcknowledged, seconds(4))};
    CPPUNIT_ASSERT(check_replaced_primaries(history, logs, changes).empty());
    history.operations = {append(1, OperationOutcome::kAcknowledged, seconds(6))};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_replaced_primaries(history, logs, changes).size());
  }

  void test_not_run_ran() {
    History history;
    history.operations = {append(1, OperationOutcome::kNotRun, seconds(1))};
    CPPUNIT_ASSERT(check_not_run(history, {log_of({logged(1, {1, 2}, false)})}).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_not_run(history, {log_of({logged(1, {1, 2})})}).size());
  }

  void test_ran_twice() {
    CPPUNIT_ASSERT(check_at_most_once({log_of({logged(1, {1, 2}), logged(1, {1, 3}, false)})}).empty());
    const auto twice = log_of({logged(1, {1, 2}), logged(1, {1, 3})});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_at_most_once({twice}).size());
    // The same request in two groups is as wrong.
    const std::vector<GroupLog> groups{log_of({logged(1, {1, 2})}), log_of({logged(1, {1, 2})})};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_at_most_once(groups).size());
  }

  void test_mixed_transactions() {
    LoggedWrite write = logged(1, {1, 2});
    write.values.push_back("s:1");
    CPPUNIT_ASSERT(check_transaction_entries({log_of({write})}).empty());
    write.values.push_back("other:7");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_transaction_entries({log_of({write})}).size());
  }

  void test_leaving_backend() {
    const std::vector<LeavingBackend> leaving{{BackendName("records-1-a"), at(seconds(10))}};
    History history;
    history.operations = {append(1, OperationOutcome::kAcknowledged, seconds(10) + kLeavingLimit),
                          append(2, OperationOutcome::kNotRun, seconds(60))};
    CPPUNIT_ASSERT(check_leaving_backends(history, leaving).empty());
    history.operations.push_back(
        append(3, OperationOutcome::kAcknowledged, seconds(10) + kLeavingLimit + milliseconds(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_leaving_backends(history, leaving).size());
  }

  void test_work_of_leaving() {
    const BackendName left("records-1-a");
    const std::vector<LeavingBackend> leaving{{left, at(seconds(10))}};
    std::vector<SentWork> work{{at(seconds(10) + kLeavingLimit), "proxy-1", left},
                               {at(seconds(60)), "proxy-1", BackendName("records-1-b")}};
    CPPUNIT_ASSERT(check_work_of_leaving(work, leaving).empty());
    work.push_back({at(seconds(10) + kLeavingLimit + milliseconds(1)), "proxy-1", left});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_work_of_leaving(work, leaving).size());
  }

  void test_planned_stop() {
    History history;
    history.operations = {append(1, OperationOutcome::kNotRun, seconds(1)),
                          append(2, OperationOutcome::kAcknowledged, seconds(1))};
    CPPUNIT_ASSERT(check_planned_stops(history).empty());
    history.operations.push_back(append(3, OperationOutcome::kUnknown, seconds(1)));
    history.operations.push_back(append(4, OperationOutcome::kNoAnswer, seconds(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, check_planned_stops(history).size());
  }

  void test_two_winners() {
    ChangeHistory changes;
    changes.changes = {change("one", 3, {4}), change("two", 3, {0}), change("three", 4, {5})};
    CPPUNIT_ASSERT(check_changes(changes).empty());
    changes.changes.push_back(change("four", 4, {6}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_changes(changes).size());
  }

  void test_resend_answered_otherwise() {
    ChangeHistory changes;
    changes.changes = {change("one", 3, {4, 4})};
    CPPUNIT_ASSERT(check_changes(changes).empty());
    changes.changes = {change("one", 3, {4, 5})};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_changes(changes).size());
    changes.changes = {change("one", 3, {4, 0})};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_changes(changes).size());
  }

  void test_same_revision_twice() {
    ChangeHistory changes;
    changes.changes = {change("one", 3, {4}), change("two", 4, {4})};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_changes(changes).size());
  }

  void test_in_force() {
    const Duration lease = seconds(2);
    ChangeHistory changes;
    changes.changes = {change("one", 3, {4}, seconds(10))};
    const Duration late = seconds(10) + lease + kInForceMargin;
    CPPUNIT_ASSERT(check_in_force(changes, {observation(late - milliseconds(1), 3)}, lease).empty());
    CPPUNIT_ASSERT(check_in_force(changes, {observation(late, 3, false)}, lease).empty());
    CPPUNIT_ASSERT(check_in_force(changes, {observation(late, 4)}, lease).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_in_force(changes, {observation(late, 3)}, lease).size());
  }

  void test_reverted() {
    CPPUNIT_ASSERT(check_never_reverted({observation(seconds(1), 4), observation(seconds(2), 4)}).empty());
    const std::vector<ProxyObservation> reverted{
        observation(seconds(1), 4), observation(seconds(2), 0, false), observation(seconds(3), 3)};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_never_reverted(reverted).size());
  }

  void test_revisions_are_by_domain() {
    const Duration late = seconds(20);
    const auto of = [](const char* domain, ProxyObservation seen) {
      seen.domain = DomainName(domain);
      return seen;
    };
    ChangeHistory changes;
    changes.changes = {change("one", 3, {4}, seconds(10)), change("two", 3, {4}, seconds(11))};
    CPPUNIT_ASSERT(!check_changes(changes).empty());
    changes.changes[0].domain = DomainName("north");
    changes.changes[1].domain = DomainName("south");
    CPPUNIT_ASSERT(check_changes(changes).empty());
    CPPUNIT_ASSERT(check_in_force(changes, {of("north", observation(late, 4))}, seconds(2)).empty());
    const auto behind = of("south", observation(late, 3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_in_force(changes, {behind}, seconds(2)).size());
    const auto before = of("south", observation(seconds(1), 4));
    CPPUNIT_ASSERT(check_never_reverted({before, of("north", observation(late, 3))}).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_never_reverted({before, behind}).size());
  }

  void test_liveness() {
    History history;
    history.operations = {append(1, OperationOutcome::kNotRun, seconds(10)),
                          append(2, OperationOutcome::kAcknowledged, seconds(30))};
    CPPUNIT_ASSERT(check_liveness(history, at(seconds(10))).empty());
    history.operations.push_back(append(3, OperationOutcome::kNotRun, seconds(10) + kRecoveryLimit));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check_liveness(history, at(seconds(10))).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckersTest);

}  // namespace
}  // namespace cairnhollow::simulation
