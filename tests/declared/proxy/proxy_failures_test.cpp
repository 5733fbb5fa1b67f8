// Tests a proxy's handling of failures of databases, control nodes, callers and the connections between them.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "declared/proxy/knobs.h"
#include "http/problem.h"
#include "tests/declared/proxy/calls/call_assertions.h"
#include "tests/declared/proxy/proxy_world.h"

namespace cairnhollow::declared::proxy {
namespace {

using standins::callers::CallAnswer;
using standins::callers::CallOutcome;
using standins::callers::StatementKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ProxyFailuresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProxyFailuresTest);
  CPPUNIT_TEST(test_resent_write_runs_once);
  CPPUNIT_TEST(test_write_without_an_answer_is_resolved);
  CPPUNIT_TEST(test_crossed_answers_never_reach_another_caller);
  CPPUNIT_TEST(test_write_waits_for_a_new_primary);
  CPPUNIT_TEST(test_write_is_refused_at_once_when_no_primary_comes);
  CPPUNIT_TEST(test_write_sent_to_a_crashing_primary_is_resolved_by_its_successor);
  CPPUNIT_TEST(test_connections_opened_before_a_backend_outage_are_not_used);
  CPPUNIT_TEST(test_write_at_a_lost_primary_is_resolved_once_a_new_primary_is_known);
  CPPUNIT_TEST(test_ledger_query_to_a_lost_primary_is_repeated_at_its_successor);
  CPPUNIT_TEST(test_same_request_id_twice_at_once);
  CPPUNIT_TEST(test_refused_resend_has_an_unknown_outcome);
  CPPUNIT_TEST(test_expired_lease_refuses_without_waiting);
  CPPUNIT_TEST(test_failed_write_is_reported_to_control);
  CPPUNIT_TEST(test_read_falls_back_to_the_primary_when_replicas_lag);
  CPPUNIT_TEST(test_read_survives_a_crashed_replica);
  CPPUNIT_TEST(test_read_moves_away_from_an_unresponsive_replica);
  CPPUNIT_TEST(test_slow_read_continues_while_its_replica_answers_probes);
  CPPUNIT_TEST(test_read_at_a_lost_primary_continues_at_its_successor);
  CPPUNIT_TEST(test_leaving_replica_gets_no_reads);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_resent_write_runs_once() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    auto request = deployment.next_request(caller, StatementKind::kWrite, append("one"));
    assert_done(deployment.run(caller.client.execute(request)));
    caller.client.move_to(ProxyWorld::proxy_endpoint(1));
    assert_done(deployment.run(caller.client.execute(request)));
    CPPUNIT_ASSERT(entries_of(deployment.read(caller)) == std::vector<std::string>{"one"});
  }

  void test_write_without_an_answer_is_resolved() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    deployment.set_faults(0, R"({"short_bodies":1})");
    const auto written = deployment.write(caller, "one");
    deployment.set_faults(0, R"({"short_bodies":0})");
    assert_done(written);
    CPPUNIT_ASSERT(entries_of(deployment.read(caller)) == std::vector<std::string>{"one"});
  }

  void test_crossed_answers_never_reach_another_caller() {
    ProxyWorld deployment;
    deployment.set_faults(0, R"({"crossed_answers":0.3,"duplicated_answers":0.3})");
    std::vector<std::pair<Caller*, std::shared_ptr<std::optional<CallAnswer>>>> calls;
    for (int number = 0; number < 8; ++number) {
      auto& caller = deployment.add_caller(static_cast<std::uint32_t>(number % 2));
      auto request = deployment.next_request(caller, StatementKind::kWrite, append(caller.session));
      calls.emplace_back(&caller, deployment.start(caller.client.execute(std::move(request))));
    }
    std::vector<std::string> acknowledged;
    for (auto& [caller, call] : calls) {
      const auto answer = deployment.finish(call);
      CPPUNIT_ASSERT_EQUAL(caller->session + ":1", answer.request_id);
      if (answer.outcome == CallOutcome::kDone) acknowledged.push_back(caller->session);
    }
    deployment.set_faults(0, R"({"crossed_answers":0,"duplicated_answers":0})");
    auto entries = entries_of(deployment.read(deployment.add_caller(0)));
    std::sort(entries.begin(), entries.end());
    CPPUNIT_ASSERT(std::adjacent_find(entries.begin(), entries.end()) == entries.end());
    for (const auto& session : acknowledged) {
      CPPUNIT_ASSERT(std::binary_search(entries.begin(), entries.end(), session));
    }
    CPPUNIT_ASSERT(!acknowledged.empty());
  }

  void test_write_waits_for_a_new_primary() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(1);
    assert_done(deployment.write(caller, "one"));
    deployment.world().kill(ProxyWorld::database(0));
    deployment.world().run_for(milliseconds(10));  // the proxy sees its connections close: nothing is sent
    auto request = deployment.next_request(caller, StatementKind::kWrite, append("two"));
    const auto call = deployment.start(caller.client.execute(std::move(request)));
    deployment.world().run_for(milliseconds(300));
    CPPUNIT_ASSERT(!call->has_value());
    deployment.promote(1, 2, {1, 2});
    assert_done(deployment.finish(call));
    const std::vector<std::string> both = {"one", "two"};
    CPPUNIT_ASSERT(entries_of(deployment.read(caller)) == both);
  }

  void test_write_is_refused_at_once_when_no_primary_comes() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    assert_done(deployment.write(caller, "one"));
    deployment.world().kill(ProxyWorld::database(0));
    deployment.world().run_for(milliseconds(10));
    const TimePoint begun = deployment.world().now();
    const auto refused = deployment.write(caller, "two", seconds(30));
    assert_refused(refused, CallOutcome::kNotRun, ReasonCode::kUnreachable);
    CPPUNIT_ASSERT(deployment.world().now() - begun < kPrimaryWaitLimit + seconds(1));
    CPPUNIT_ASSERT(refused.retry_after > Duration(0));
    CPPUNIT_ASSERT_EQUAL(ProxyWorld::database_endpoint(0).to_string(), refused.reason.peer);
  }

  void test_write_sent_to_a_crashing_primary_is_resolved_by_its_successor() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(1);
    assert_done(deployment.write(caller, "one"));
    deployment.world().kill(ProxyWorld::database(0));  // the write is still sent on an open connection
    auto request = deployment.next_request(caller, StatementKind::kWrite, append("two"));
    const auto call = deployment.start(caller.client.execute(request));
    deployment.world().run_for(milliseconds(300));
    CPPUNIT_ASSERT(!call->has_value());
    deployment.promote(1, 2, {1, 2});
    assert_refused(deployment.finish(call), CallOutcome::kNotRun, ReasonCode::kAborted);
    // The refusal applies to every later copy.
    assert_refused(deployment.run(caller.client.execute(request)), CallOutcome::kNotRun,
                   ReasonCode::kAborted);
    CPPUNIT_ASSERT(entries_of(deployment.read(caller)) == std::vector<std::string>{"one"});
  }

  /// After a power failure of a replica's machine nothing tells the proxy that its idle connections are
  /// broken. When the replica becomes primary, no write may be lost on them.
  void test_connections_opened_before_a_backend_outage_are_not_used() {
    for (const auto away : {milliseconds(300), milliseconds(4000)}) {
      ProxyWorld deployment;
      auto& caller = deployment.add_caller(0);
      assert_done(deployment.write(caller, "one"));
      deployment.world().run_for(seconds(1));
      deployment.world().vanish(ProxyWorld::database(1));
      deployment.world().run_for(away);
      deployment.world().restart(ProxyWorld::database(1));
      deployment.world().run_for(seconds(3));
      deployment.world().kill(ProxyWorld::database(0));
      deployment.promote(1, 2, {1, 2});
      for (const auto* value : {"two", "three"}) {
        auto request = deployment.next_request(caller, StatementKind::kWrite, append(value));
        request.repeatable = false;
        assert_done(deployment.run(caller.client.execute(std::move(request))));
      }
    }
  }

  /// The answer never arrives. Waiting for it up to kWriteAttemptLimit would lengthen every failover.
  void test_write_at_a_lost_primary_is_resolved_once_a_new_primary_is_known() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(1);
    assert_done(deployment.write(caller, "one"));
    deployment.world().vanish(ProxyWorld::database(0));
    auto request = deployment.next_request(caller, StatementKind::kWrite, append("two"));
    const auto call = deployment.start(caller.client.execute(request));
    deployment.world().run_for(milliseconds(300));
    deployment.promote(1, 2, {1, 2});
    const TimePoint replaced = deployment.world().now();
    assert_refused(deployment.finish(call), CallOutcome::kNotRun, ReasonCode::kAborted);
    CPPUNIT_ASSERT(deployment.world().now() - replaced < kReplacedPrimaryGrace + milliseconds(50));
    assert_done(deployment.write(caller, "three"));
    const std::vector<std::string> kept = {"one", "three"};
    CPPUNIT_ASSERT(entries_of(deployment.read(caller)) == kept);
  }

  void test_ledger_query_to_a_lost_primary_is_repeated_at_its_successor() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(1);
    assert_done(deployment.write(caller, "one"));
    standins::callers::ResolveRequest request;
    request.database = ProxyWorld::key().database;
    request.partition_key = ProxyWorld::key().partition_key;
    request.id = RequestId{SessionName(caller.session), 1};
    Reason reason;
    CPPUNIT_ASSERT(deployment.run(caller.client.resolve(request, seconds(5), reason)));  // connects
    deployment.world().vanish(ProxyWorld::database(0));
    const auto call = deployment.start(caller.client.resolve(request, seconds(5), reason));
    deployment.world().run_for(milliseconds(100));
    deployment.promote(1, 2, {1, 2});
    const TimePoint replaced = deployment.world().now();
    const auto resolved = deployment.finish(call);
    CPPUNIT_ASSERT_MESSAGE(reason.to_string(), resolved.has_value());
    CPPUNIT_ASSERT(resolved->outcome == standins::callers::ResolvedOutcome::kCommitted);
    CPPUNIT_ASSERT_EQUAL(ProxyWorld::database(1), resolved->backend);
    CPPUNIT_ASSERT(deployment.world().now() - replaced < kReplacedPrimaryGrace + milliseconds(100));
  }

  void test_same_request_id_twice_at_once() {
    ProxyWorld deployment;
    auto& first = deployment.add_caller(0);
    auto& second = deployment.add_caller(0);
    deployment.set_faults(0, R"({"statement_duration_ms":200})");
    const auto request = deployment.next_request(first, StatementKind::kWrite, append("one"));
    const auto call = deployment.start(first.client.execute(request));
    deployment.world().run_for(milliseconds(50));
    assert_refused(deployment.run(second.client.execute(request)), CallOutcome::kUnknown,
                   ReasonCode::kConflict);
    assert_done(deployment.finish(call));
  }

  void test_refused_resend_has_an_unknown_outcome() {
    ProxyWorld deployment;
    deployment.control().set_answering(false);
    deployment.world().run_for(seconds(3));
    const std::string body = R"({"database":"decks","partition_key":"learner-1","kind":"write","text":"{}",)"
                             R"("session":"s","number":1)";
    const auto first = http::parse_problem(deployment.post(0, "/v1/statements", body + "}").body);
    const auto again =
        http::parse_problem(deployment.post(0, "/v1/statements", body + R"(,"resent":true})").body);
    CPPUNIT_ASSERT(first && again);
    CPPUNIT_ASSERT(first->run_state == http::RunState::kNotRun);
    CPPUNIT_ASSERT(again->run_state == http::RunState::kUnknown);
  }

  void test_expired_lease_refuses_without_waiting() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    assert_done(deployment.write(caller, "one"));
    deployment.control().set_answering(false);
    deployment.world().run_for(seconds(3));
    const TimePoint begun = deployment.world().now();
    assert_refused(deployment.write(caller, "two"), CallOutcome::kNotRun, ReasonCode::kLeaseExpired);
    assert_refused(deployment.read(caller), CallOutcome::kNotRun, ReasonCode::kLeaseExpired);
    CPPUNIT_ASSERT(deployment.world().now() - begun < milliseconds(50));
    deployment.control().set_answering(true);
    deployment.world().run_for(seconds(3));
    assert_done(deployment.write(caller, "three"));
  }

  void test_failed_write_is_reported_to_control() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    assert_done(deployment.write(caller, "one"));
    CPPUNIT_ASSERT(deployment.control().suspects().empty());
    deployment.world().kill(ProxyWorld::database(0));
    deployment.write(caller, "two");
    CPPUNIT_ASSERT(!deployment.control().suspects().empty());
    const auto& suspect = deployment.control().suspects().front();
    CPPUNIT_ASSERT_EQUAL(ProxyWorld::database(0), suspect.backend.value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, suspect.term);
  }

  void test_read_falls_back_to_the_primary_when_replicas_lag() {
    ProxyWorldSettings settings;
    settings.replication_lag = milliseconds(400);
    ProxyWorld deployment(settings);
    auto& caller = deployment.add_caller(1);
    for (int number = 0; number < 20; ++number) {
      const auto value = std::to_string(number);
      assert_done(deployment.write(caller, value));
      const auto at_once = deployment.read(caller);
      CPPUNIT_ASSERT_EQUAL(value, entries_of(at_once).back());
      deployment.world().run_for(milliseconds(600));
      const auto later = deployment.read(caller);
      CPPUNIT_ASSERT_EQUAL(value, entries_of(later).back());
      CPPUNIT_ASSERT_MESSAGE("the primary served a read that a replica could serve",
                             !later.backend_is_primary);
    }
  }

  void test_read_survives_a_crashed_replica() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(1);
    assert_done(deployment.write(caller, "one"));
    deployment.world().run_for(seconds(1));
    deployment.world().kill(ProxyWorld::database(1));
    for (int number = 0; number < 20; ++number) {
      const auto rows = deployment.read(caller);
      assert_done(rows);
      CPPUNIT_ASSERT(rows.backend != ProxyWorld::database(1));
      deployment.world().run_for(milliseconds(100));
    }
  }

  void test_read_moves_away_from_an_unresponsive_replica() {
    ProxyWorld deployment;
    auto& caller = read_at_first_replica(deployment);
    deployment.world().freeze(ProxyWorld::database(1));
    const TimePoint begun = deployment.world().now();
    const auto rows = deployment.read(caller);
    assert_done(rows);
    CPPUNIT_ASSERT(rows.backend != ProxyWorld::database(1));
    CPPUNIT_ASSERT(deployment.world().now() - begun < kReadAttemptLimit / 2);
  }

  void test_slow_read_continues_while_its_replica_answers_probes() {
    ProxyWorld deployment;
    auto& caller = read_at_first_replica(deployment);
    deployment.set_faults(1, R"({"statement_duration_ms":800})");
    const TimePoint begun = deployment.world().now();
    const auto rows = deployment.read(caller);
    assert_done(rows);
    CPPUNIT_ASSERT_EQUAL(ProxyWorld::database(1), rows.backend);
    CPPUNIT_ASSERT(deployment.world().now() - begun >= milliseconds(800));
  }

  /// Without a session's position only the primary may serve the read.
  void test_read_at_a_lost_primary_continues_at_its_successor() {
    ProxyWorld deployment;
    assert_done(deployment.write(deployment.add_caller(0), "one"));
    auto& caller = deployment.add_caller(0);
    deployment.world().run_for(seconds(1));
    deployment.world().freeze(ProxyWorld::database(0));
    auto request = deployment.next_request(caller, StatementKind::kRead,
                                           standins::callers::make_get_text(ProxyWorld::key()));
    const auto call = deployment.start(caller.client.execute(std::move(request)));
    deployment.world().run_for(milliseconds(300));
    CPPUNIT_ASSERT(!call->has_value());
    deployment.promote(1, 2, {1, 2});
    const TimePoint promoted = deployment.world().now();
    const auto rows = deployment.finish(call);
    assert_done(rows);
    CPPUNIT_ASSERT_EQUAL(ProxyWorld::database(1), rows.backend);
    CPPUNIT_ASSERT(deployment.world().now() - promoted < 3 * kReplacedPrimaryGrace);
  }

  void test_leaving_replica_gets_no_reads() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(1);
    assert_done(deployment.write(caller, "one"));
    deployment.world().run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(ProxyWorld::database(1), deployment.read(caller).backend);
    deployment.control().set_leaving({ProxyWorld::database(1)});
    deployment.world().run_for(milliseconds(100));
    for (int number = 0; number < 10; ++number) {
      CPPUNIT_ASSERT_EQUAL(ProxyWorld::database(2), deployment.read(caller).backend);
    }
  }

 private:
  /// Returns a caller whose session's reads go to database(1).
  static Caller& read_at_first_replica(ProxyWorld& deployment) {
    auto& caller = deployment.add_caller(1);
    assert_done(deployment.write(caller, "one"));
    deployment.world().run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(ProxyWorld::database(1), deployment.read(caller).backend);
    return caller;
  }

  static std::string append(const std::string& value) {
    return standins::callers::make_append_text(ProxyWorld::key(), value);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyFailuresTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy
