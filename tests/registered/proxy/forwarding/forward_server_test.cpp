// Forwarded statements run only under this proxy's own lease and for the tenant of the key in its own
// document.
#include "registered/proxy/forwarding/forward_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include "registered/proxy/forwarding/forwarder.h"
#include "tests/registered/proxy/session_stand.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kLong = seconds(4);
const Endpoint kEndpoint{"10.0.0.1", 7440};

}  // namespace

class ForwardServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardServerTest);
  CPPUNIT_TEST(runs_forwarded_write);
  CPPUNIT_TEST(unknown_key_may_be_tried_at_another_proxy);
  CPPUNIT_TEST(refuses_immediately_without_lease);
  CPPUNIT_TEST(transaction_fails_once_key_is_removed);
  CPPUNIT_TEST(rolls_back_transactions_of_lost_connection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    stand_ = std::make_unique<SessionStand>();
    server_ = std::make_unique<ForwardServer>(stand_->services());
    Reason reason;
    CPPUNIT_ASSERT(server_->start(kEndpoint, reason));
    runtime::Runtime& other = stand_->start_process("other", "10.0.0.2");
    forwarder_ = std::make_unique<Forwarder>(other, NodeName("other"), ZoneName("a"));
  }
  void tearDown() override {
    // The world must outlive the connections.
    connection_.reset();
    forwarder_.reset();
    server_.reset();
    stand_.reset();
  }

  void runs_forwarded_write() {
    stand_->confirm(kLong, kLong);
    const ForwardAnswer answer = call(ForwardRun{statement("w")});
    CPPUNIT_ASSERT(answer.answer.succeeded() && answer.at_primary);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stand_->sent_to(SessionStand::kPrimary).size());
    CPPUNIT_ASSERT_EQUAL(std::string(SessionStand::kTenant), stand_->dialled_tenants().front());
  }

  void unknown_key_may_be_tried_at_another_proxy() {
    stand_->confirm(kLong, kLong);
    stand_->remove_key();
    const ForwardAnswer answer = call(ForwardRun{statement("w")});
    CPPUNIT_ASSERT(answer.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT(answer.may_try_another && answer.nothing_run);
    CPPUNIT_ASSERT(stand_->sent_to(SessionStand::kPrimary).empty());
  }

  void refuses_immediately_without_lease() {
    stand_->confirm(milliseconds(10), kLong);
    stand_->run_for(milliseconds(100));
    const TimePoint asked_at = stand_->now();
    const ForwardAnswer answer = call(ForwardRun{statement("w")});
    CPPUNIT_ASSERT(answer.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT(answer.may_try_another && answer.nothing_run);
    CPPUNIT_ASSERT_MESSAGE("refused immediately, without waiting for a lease",
                           stand_->now() - asked_at < milliseconds(100));
  }

  void transaction_fails_once_key_is_removed() {
    stand_->confirm(kLong, kLong);
    ForwardedStatement first = statement("first");
    first.opens_transaction = true;
    const ForwardAnswer opened = call(ForwardRun{first});
    CPPUNIT_ASSERT(opened.pin > 0);
    CPPUNIT_ASSERT(
        call(ForwardInTransaction{opened.pin, statement("second"), false, true}).answer.succeeded());
    stand_->remove_key();
    const ForwardAnswer late = call(ForwardInTransaction{opened.pin, statement("late"), false, true});
    CPPUNIT_ASSERT(late.answer.refusal == Refusal::kAborted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, stand_->sent_to(SessionStand::kPrimary).size());
  }

  void rolls_back_transactions_of_lost_connection() {
    stand_->confirm(kLong, kLong);
    ForwardedStatement first = statement("first");
    first.opens_transaction = true;
    CPPUNIT_ASSERT(call(ForwardRun{first}).pin > 0);
    bool rolled_back = false;
    stand_->during(Step::kRollback, [&rolled_back] { rolled_back = true; });
    connection_->close();
    stand_->run_for(seconds(1));
    CPPUNIT_ASSERT(rolled_back);
  }

 private:
  static ForwardedStatement statement(const std::string& id) {
    ForwardedStatement statement;
    statement.route.database = DatabaseName("database");
    statement.route.group = GroupName("group");
    statement.key = ApiKey(SessionStand::kKey);
    statement.id = id;
    statement.text = id;
    statement.writes = true;
    statement.time_left = seconds(3);
    return statement;
  }

  template <class Body>
  ForwardAnswer call(Body body) {
    const auto task = [](ForwardServerTest& test, ForwardRequest request,
                         std::optional<ForwardAnswer>& result) -> Awaitable<void> {
      Reason reason;
      const TimePoint deadline = test.stand_->now() + seconds(4);
      const auto proxy =
          std::make_shared<subset::ProxyView>(subset::ProxyView{NodeName("proxy"), ZoneName("a"), kEndpoint});
      if (!test.connection_) test.connection_ = co_await test.forwarder_->connect(proxy, deadline, reason);
      if (test.connection_) result = co_await test.connection_->call(request, deadline, reason);
    };
    ForwardRequest request;
    request.body = std::move(body);
    std::optional<ForwardAnswer> answer;
    CPPUNIT_ASSERT(stand_->finish(task(*this, std::move(request), answer)));
    CPPUNIT_ASSERT(answer.has_value());
    return *answer;
  }

  std::unique_ptr<SessionStand> stand_;
  std::unique_ptr<ForwardServer> server_;
  std::unique_ptr<Forwarder> forwarder_;
  std::shared_ptr<ForwardConnection> connection_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardServerTest);

}  // namespace cairnhollow::registered::proxy
