// A statement that waits for a link holds no slot of the backend.
#include <cppunit/extensions/HelperMacros.h>

#include "registered/proxy/statement/statement_runner.h"
#include "tests/registered/proxy/session_stand.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LinkRoomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkRoomTest);
  CPPUNIT_TEST(waits_for_a_link_without_a_slot);
  CPPUNIT_TEST(is_refused_without_a_link_in_time);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    stand_ = std::make_unique<SessionStand>();
    stand_->confirm(seconds(60), seconds(60));
    runner_ = std::make_unique<StatementRunner>(stand_->services());
    backend_ = stand_->group()->backends.all().at(BackendName(SessionStand::kPrimary));
    CPPUNIT_ASSERT(backend_->room.is_divided());
    backend_->pool.set_limits(1, 1);
    runtime().spawn("hold", hold());
    stand_->run_for(milliseconds(5));
    CPPUNIT_ASSERT(held_ != nullptr);
  }
  void tearDown() override {
    stand_.reset();
    runner_.reset();
    backend_.reset();
    held_.reset();
  }

  void waits_for_a_link_without_a_slot() {
    runtime().spawn("write", write());
    stand_->run_for(milliseconds(10));
    CPPUNIT_ASSERT(!result_);
    CPPUNIT_ASSERT_EQUAL(0U, backend_->gate.running());
    backend_->pool.release(std::exchange(held_, nullptr));
    stand_->run_for(seconds(1));
    CPPUNIT_ASSERT(result_ && result_->answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stand_->sent_to(SessionStand::kPrimary).size());
    CPPUNIT_ASSERT_EQUAL(0U, backend_->gate.running());
  }

  void is_refused_without_a_link_in_time() {
    runtime().spawn("write", write());
    stand_->run_for(seconds(10));
    CPPUNIT_ASSERT(result_ && result_->answer.refusal == Refusal::kBusy && result_->nothing_run);
    CPPUNIT_ASSERT(stand_->sent_to(SessionStand::kPrimary).empty());
    CPPUNIT_ASSERT_EQUAL(0U, backend_->gate.running());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, backend_->gate.waiting());
  }

 private:
  runtime::Runtime& runtime() { return stand_->runtime(); }
  Awaitable<void> hold() {
    std::optional<Refusal> refusal;
    Reason reason;
    LinkRequest link_request{TenantName("other"), {}};
    const TimePoint deadline = stand_->now() + seconds(1);
    const LinkDeadlines deadlines{deadline, deadline};
    held_ = co_await backend_->pool.acquire(std::move(link_request), deadlines, refusal, reason);
  }
  Awaitable<void> write() {
    StatementRequest request = stand_->write("w");
    result_ = co_await runner_->run(std::move(request));
  }

  std::unique_ptr<SessionStand> stand_;
  std::unique_ptr<StatementRunner> runner_;
  std::shared_ptr<BackendState> backend_;
  std::shared_ptr<StatefulLink> held_;
  std::optional<RunResult> result_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkRoomTest);

}  // namespace cairnhollow::registered::proxy
