// Statements whose callers accept a longer wait: served when a lease, a primary or a link comes within their
// budget, refused at once when waiting is hopeless.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "tests/registered/proxy/session_stand.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PatientStatementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PatientStatementTest);
  CPPUNIT_TEST(waits_for_a_lease_while_control_elects);
  CPPUNIT_TEST(is_refused_when_control_falls_silent);
  CPPUNIT_TEST(is_refused_at_once_without_control);
  CPPUNIT_TEST(waits_for_a_primary);
  CPPUNIT_TEST(tries_a_full_primary_until_its_budget_ends);
  CPPUNIT_TEST(time_spent_before_is_not_waited_again);
  CPPUNIT_TEST(urgent_statements_wait_in_place_of_others);
  CPPUNIT_TEST(impatient_routes_wait_a_third_of_their_timeout);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { stand_ = std::make_unique<SessionStand>(); }
  void tearDown() override { stand_.reset(); }

  void waits_for_a_lease_while_control_elects() {
    await_lease_end();
    stand_->view().record_control_heard();
    start(stand_->write("w"));
    hear_control_for(milliseconds(1500));
    CPPUNIT_ASSERT(!finished());
    stand_->confirm(seconds(4), seconds(4));
    stand_->run_for(milliseconds(100));
    CPPUNIT_ASSERT(finished() && result_->answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stand_->sent_to(SessionStand::kPrimary).size());
  }

  void is_refused_when_control_falls_silent() {
    await_lease_end();
    stand_->view().record_control_heard();
    start(stand_->write("w"));
    hear_control_for(milliseconds(300));
    CPPUNIT_ASSERT(!finished());
    stand_->run_for(placement::kControlAliveWithin + milliseconds(100));
    CPPUNIT_ASSERT(finished() && result_->answer.refusal == Refusal::kBusy && result_->nothing_run);
  }

  void is_refused_at_once_without_control() {
    await_lease_end();
    start(stand_->write("w"));
    CPPUNIT_ASSERT(finished() && result_->answer.refusal == Refusal::kBusy && result_->nothing_run);
  }

  void waits_for_a_primary() {
    stand_->confirm(seconds(4), seconds(4));
    stand_->close_group();
    start(stand_->write("w"));
    stand_->run_for(milliseconds(2500));
    CPPUNIT_ASSERT_MESSAGE("a third of its timeout is over", !finished());
    stand_->change_primary();
    stand_->run_for(milliseconds(20));
    CPPUNIT_ASSERT(finished() && result_->answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stand_->sent_to(SessionStand::kReplica).size());
  }

  void tries_a_full_primary_until_its_budget_ends() {
    stand_->confirm(seconds(10), seconds(4));
    stand_->unreachable.insert(SessionStand::kPrimary);
    start(stand_->write("w"));
    stand_->run_for(milliseconds(600));
    CPPUNIT_ASSERT(!finished());
    stand_->unreachable.clear();
    stand_->run_for(placement::kLongestRetryPause + milliseconds(20));
    CPPUNIT_ASSERT(finished() && result_->answer.succeeded());
    stand_->unreachable.insert(SessionStand::kPrimary);
    stand_->group()->backends.all().at(BackendName(SessionStand::kPrimary))->pool.retire();
    start(stand_->write("again"));
    stand_->run_for(milliseconds(3500));
    CPPUNIT_ASSERT(!finished());
    stand_->run_for(milliseconds(600));
    CPPUNIT_ASSERT(finished() && result_->answer.refusal == Refusal::kBusy && result_->nothing_run);
  }

  void time_spent_before_is_not_waited_again() {
    stand_->confirm(seconds(10), seconds(4));
    stand_->close_group();
    StatementRequest request = stand_->write("w");
    request.waited_before = milliseconds(1500);
    start(std::move(request));
    stand_->run_for(milliseconds(2300));
    CPPUNIT_ASSERT(!finished());
    stand_->run_for(milliseconds(200));
    CPPUNIT_ASSERT(finished() && result_->answer.refusal == Refusal::kBusy);
  }

  void urgent_statements_wait_in_place_of_others() {
    stand_->confirm(seconds(10), seconds(4));
    stand_->close_group();
    placement::WaitingRoom& room = stand_->services().waiting;
    for (std::size_t each = 1; each < placement::kMaxWaitingStatements; ++each)
      CPPUNIT_ASSERT(room.enter(1, 1));
    StatementRequest request = stand_->write("last");
    request.route.priority = 2;
    start(std::move(request));
    stand_->run_for(milliseconds(100));
    CPPUNIT_ASSERT_MESSAGE("the last place", !finished());
    CPPUNIT_ASSERT(room.enter(1, 1));
    stand_->run_for(milliseconds(100));
    CPPUNIT_ASSERT(finished() && result_->answer.refusal == Refusal::kBusy && result_->nothing_run);
    CPPUNIT_ASSERT(stand_->log_lines().back().find(" since=too_many_wait ") != std::string::npos);
    start(stand_->write("urgent"));
    stand_->run_for(milliseconds(100));
    CPPUNIT_ASSERT(!finished());
    stand_->change_primary();
    stand_->run_for(milliseconds(20));
    CPPUNIT_ASSERT(finished() && result_->answer.succeeded());
    CPPUNIT_ASSERT_MESSAGE("its place is free again", room.size() < placement::kMaxWaitingStatements);
  }

  void impatient_routes_wait_a_third_of_their_timeout() {
    stand_->confirm(seconds(10), seconds(4));
    stand_->close_group();
    StatementRequest request = stand_->write("w");
    request.route.target_latency_ms = 2000;
    start(std::move(request));
    stand_->run_for(milliseconds(1990));
    CPPUNIT_ASSERT(!finished());
    stand_->run_for(milliseconds(20));
    CPPUNIT_ASSERT(finished() && result_->answer.refusal == Refusal::kBusy);
  }

 private:
  void start(StatementRequest request) {
    runner_ = std::make_unique<StatementRunner>(stand_->services());
    result_ = std::make_shared<RunResult>();
    finished_ = std::make_shared<bool>(false);
    stand_->runtime().spawn("run", keep(runner_->run(std::move(request)), result_, finished_));
    stand_->run_for(milliseconds(1));
  }
  static Awaitable<void> keep(Awaitable<RunResult> work, std::shared_ptr<RunResult> result,
                              std::shared_ptr<bool> finished) {
    *result = co_await std::move(work);
    *finished = true;
  }
  [[nodiscard]] bool finished() const { return *finished_; }
  /// Goes on until the last lease is so long over that another one is no longer due.
  void await_lease_end() {
    stand_->confirm(milliseconds(100), seconds(4));
    stand_->run_for(milliseconds(100) + placement::kLeaseExpectedWithin);
  }
  /// Control nodes answer all the time that none of them leads.
  void hear_control_for(Duration duration) {
    for (Duration gone{0}; gone < duration; gone += milliseconds(10)) {
      stand_->view().record_control_heard();
      stand_->run_for(milliseconds(10));
    }
  }

  std::unique_ptr<StatementRunner> runner_;
  std::unique_ptr<SessionStand> stand_;
  std::shared_ptr<RunResult> result_;
  std::shared_ptr<bool> finished_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PatientStatementTest);

}  // namespace cairnhollow::registered::proxy
