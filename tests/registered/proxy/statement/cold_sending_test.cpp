// Every statement sent to a cold backend has a valid token when it is sent, also within transactions.
#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "registered/proxy/statement/statement_runner.h"
#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const GroupName kGroup("group");
const BackendName kBackend("db-1");
const DatabaseName kDatabase("database");

/// State and script shared by all links to the backend.
struct Backend {
  int statements = 0;
  std::uint64_t position = 0;
  Duration setup_takes{0};
  std::function<void()> during_setup;
  bool is_unreachable = false;
  bool drops_connections = false;  ///< drop the connection on each statement
  int incarnation = 1;             ///< links opened in an earlier one are closed
};

class CountingLink : public BackendLink {
 public:
  CountingLink(runtime::Runtime& runtime, Backend& backend)
      : runtime_(runtime), backend_(backend), incarnation_(backend.incarnation) {}

  Awaitable<std::optional<Answer>> run(BackendRequest request, TimePoint /*deadline*/,
                                       runtime::SendState& sent, Reason& reason) override {
    sent = runtime::SendState::kMaybeSent;
    if (std::holds_alternative<SetValue>(request)) {
      co_await runtime_.sleep_for(backend_.setup_takes);
      if (backend_.during_setup) backend_.during_setup();
    }
    if (std::holds_alternative<SimpleQuery>(request)) ++backend_.statements;
    if (std::holds_alternative<SimpleQuery>(request) && backend_.drops_connections) {
      reason = Reason{ReasonCode::kConnectionLost, "run", kBackend.value, "connection lost"};
      open_ = false;
      co_return std::nullopt;
    }
    if (std::holds_alternative<Begin>(request)) in_transaction_ = true;
    Answer answer;
    answer.position = Position{1, ++backend_.position};
    answer.state = in_transaction_ ? TransactionState::kOpen : TransactionState::kIdle;
    co_return answer;
  }
  std::optional<BackendStatus> read_status(const Answer& /*answer*/, Reason& /*reason*/) override {
    return std::nullopt;
  }
  void close() override { open_ = false; }
  [[nodiscard]] bool is_open() const override { return open_ && incarnation_ == backend_.incarnation; }
  [[nodiscard]] std::string peer() const override { return kBackend.value; }

 private:
  runtime::Runtime& runtime_;
  Backend& backend_;
  int incarnation_;
  bool in_transaction_ = false;
  bool open_ = true;
};

class CountingDialer : public BackendDialer {
 public:
  CountingDialer(runtime::Runtime& runtime, Backend& backend) : runtime_(runtime), backend_(backend) {}
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/, Reason& reason) override {
    if (backend_.is_unreachable)
      reason = Reason{ReasonCode::kConnectionLost, "open", kBackend.value, "connection refused"};
    if (backend_.is_unreachable) co_return nullptr;
    co_return std::make_shared<CountingLink>(runtime_, backend_);
  }

 private:
  runtime::Runtime& runtime_;
  Backend& backend_;
};

registry::BackendEntry entry(std::uint64_t cold_ms) {
  registry::BackendEntry entry;
  entry.name = kBackend;
  entry.group = kGroup;
  entry.endpoint = {"10.0.0.9", 1};
  entry.zone = ZoneName("a");
  entry.slots = 20;
  entry.cold_ms = cold_ms;
  return entry;
}

/// This proxy is the only one and owns all quotas.
registry::FleetDelta fleet(double cold_rate, std::uint64_t cold_ms) {
  registry::FleetDelta delta;
  delta.is_full = true;
  delta.revision = 1;
  delta.document_version = 1;
  registry::RouteRule route;
  route.name = RouteName("route");
  route.database = kDatabase;
  route.group = kGroup;
  route.timeout_ms = 900;
  route.target_latency_ms = 1800;
  delta.routes = {route};
  registry::GroupRule rule;
  rule.name = kGroup;
  rule.cold_rate_per_s = cold_rate;
  delta.groups = {rule};
  delta.backends = {entry(cold_ms)};
  delta.terms = {{kGroup, 1, kBackend, true, 1, 1, 0}};
  delta.proxies = {{NodeName("proxy"), 1, ZoneName("a"), {"10.0.0.1", 7440}, false}};
  return delta;
}

SessionProxySettings settings() {
  SessionProxySettings settings;
  settings.node = NodeName("proxy");
  settings.zone = ZoneName("a");
  settings.cold_overshoot = 1.5;
  settings.cold_slack = 5;
  return settings;
}

/// The parts of a proxy that run statements, without network connections.
struct Proxy {
  Proxy(runtime::Runtime& runtime, const registry::FleetDelta& delta)
      : dialer(runtime, backend),
        view(runtime, dialer, settings()),
        link(runtime, settings(), view),
        forwarder(runtime, NodeName("proxy"), ZoneName("a")),
        limits(runtime, view, forwarder, metrics),
        demands(runtime, view, forwarder),
        overload(runtime, 0),
        runner({runtime, view, link, metrics, forwarder, limits, demands, overload, waiting}) {
    view.apply(delta);
  }

  Backend backend;
  CountingDialer dialer;
  FleetView view;
  FleetLink link;
  SessionMetrics metrics;
  Forwarder forwarder;
  LimitClient limits;
  DemandExchange demands;
  OverloadControl overload;
  placement::WaitingRoom waiting;
  StatementRunner runner;
};

}  // namespace

class ColdSendingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdSendingTest);
  CPPUNIT_TEST(refuses_statements_above_the_cold_limit);
  CPPUNIT_TEST(uses_each_token_once);
  CPPUNIT_TEST(does_not_send_with_an_expired_token);
  CPPUNIT_TEST(requires_a_token_if_the_backend_becomes_cold);
  CPPUNIT_TEST(transactions_wait_for_tokens);
  CPPUNIT_TEST(aborts_transactions_without_a_token);
  CPPUNIT_TEST(transactions_waiting_for_a_token_hold_no_slot);
  CPPUNIT_TEST(aborts_transactions_whose_token_expires_at_the_gate);
  CPPUNIT_TEST(applies_the_cold_rate_after_a_failed_connection);
  CPPUNIT_TEST(applies_the_cold_rate_after_lost_idle_links);
  CPPUNIT_TEST(applies_the_cold_rate_after_a_lost_connection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
  }
  void tearDown() override {
    proxy_.reset();
    world_.reset();
  }

  void refuses_statements_above_the_cold_limit() {
    // Tokens are granted at a third of the rate from a bucket of (1.5 + 5) / 3 tokens, so two are available.
    start(6, 5000);
    const auto results = run_concurrently(6, milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(2, backend().statements);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, results.size());
    int refused = 0;
    for (const RunResult& result : results) {
      if (result.answer.succeeded()) continue;
      ++refused;
      CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
      CPPUNIT_ASSERT(result.nothing_run);
      CPPUNIT_ASSERT_MESSAGE(result.answer.detail, result.answer.detail.starts_with(placement::rejection_text(
                                                       placement::RejectionReason::kColdLimit)));
      CPPUNIT_ASSERT_MESSAGE(result.answer.detail,
                             result.answer.detail.find("retry in") != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(4, refused);
  }

  void uses_each_token_once() {
    start(6, 5000);
    for (int round = 0; round < 8; ++round) run_concurrently(1, milliseconds(25));
    CPPUNIT_ASSERT_EQUAL(2, backend().statements);
  }

  void does_not_send_with_an_expired_token() {
    start(1, 5000);
    backend().setup_takes = milliseconds(300);
    const auto results = run_concurrently(1, milliseconds(1000));
    CPPUNIT_ASSERT(results.at(0).answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT_EQUAL(0, backend().statements);
  }

  void requires_a_token_if_the_backend_becomes_cold() {
    start(1, 5000);
    run_concurrently(1, milliseconds(50));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the only token is spent", 1, backend().statements);
    group()->put_backend(entry(0));
    backend().during_setup = [this] { group()->put_backend(entry(4000)); };
    const auto results = run_concurrently(1, milliseconds(50), "second");
    CPPUNIT_ASSERT(results.at(0).answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT_EQUAL(1, backend().statements);
  }

  void transactions_wait_for_tokens() {
    start(6, 0);
    const PinnedLink pinned = open_transaction();
    group()->put_backend(entry(5000));
    for (int further = 0; further < 2; ++further)
      CPPUNIT_ASSERT(run_pinned(pinned, milliseconds(20)).succeeded());
    CPPUNIT_ASSERT_EQUAL(3, backend().statements);
    CPPUNIT_ASSERT(run_pinned(pinned, milliseconds(900)).succeeded());
    CPPUNIT_ASSERT_EQUAL(4, backend().statements);
  }

  void aborts_transactions_without_a_token() {
    start(1, 0);
    const PinnedLink pinned = open_transaction();
    group()->put_backend(entry(5000));
    CPPUNIT_ASSERT(run_pinned(pinned, milliseconds(20)).succeeded());
    const Answer answer = run_pinned(pinned, milliseconds(1000));
    CPPUNIT_ASSERT(answer.refusal == Refusal::kAborted);
    CPPUNIT_ASSERT_EQUAL(2, backend().statements);
    CPPUNIT_ASSERT_MESSAGE("closing the link makes the backend roll back", !pinned.link->link().is_open());
  }

  void transactions_waiting_for_a_token_hold_no_slot() {
    start(1, 0);
    const PinnedLink pinned = open_transaction();
    group()->put_backend(entry(5000));
    CPPUNIT_ASSERT(run_pinned(pinned, milliseconds(20)).succeeded());
    start_pinned(pinned, milliseconds(100));
    CPPUNIT_ASSERT(answers_.empty());
    CPPUNIT_ASSERT_EQUAL(0U, gate().running());
    world_->run_for(milliseconds(900));
    CPPUNIT_ASSERT(answers_.at(0).refusal == Refusal::kAborted);
  }

  void aborts_transactions_whose_token_expires_at_the_gate() {
    start(1, 0);
    const PinnedLink pinned = open_transaction();
    group()->put_backend(entry(5000));
    const std::uint32_t slots = fill_gate();
    start_pinned(pinned, milliseconds(400));
    CPPUNIT_ASSERT(answers_.empty());
    for (std::uint32_t slot = 0; slot < slots; ++slot) gate().leave_unanswered();
    world_->run_for(milliseconds(600));
    CPPUNIT_ASSERT(answers_.at(0).refusal == Refusal::kAborted);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("only the statement that opened the transaction", 1, backend().statements);
    CPPUNIT_ASSERT_EQUAL(0U, gate().running());
  }

  void applies_the_cold_rate_after_a_failed_connection() {
    start(6, 0);
    run_concurrently(5, milliseconds(50));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the backend is warm", 5, backend().statements);
    for (const auto& [name, use] : group()->backends.all()) use->pool.close_idle();
    backend().is_unreachable = true;
    run_concurrently(1, milliseconds(1000));
    backend().is_unreachable = false;
    const int before = backend().statements;
    run_concurrently(5, milliseconds(1000));
    CPPUNIT_ASSERT_MESSAGE("at most the cold rate after a possible restart",
                           backend().statements - before <= 3);
    CPPUNIT_ASSERT(backend().statements > before);
    proxy_->view.extend_lease(runtime_->now() + seconds(2), runtime_->now() + seconds(60), 1);
    const int confirmed = backend().statements;
    run_concurrently(5, milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(5, backend().statements - confirmed);
  }

  void applies_the_cold_rate_after_lost_idle_links() {
    start(6, 0);
    run_concurrently(5, milliseconds(50));
    ++backend().incarnation;
    run_concurrently(5, milliseconds(50));
    CPPUNIT_ASSERT_MESSAGE("at most the cold rate after a possible restart", backend().statements - 5 <= 3);
  }

  void applies_the_cold_rate_after_a_lost_connection() {
    start(6, 0);
    backend().drops_connections = true;
    run_concurrently(1, milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(1, backend().statements);
    backend().drops_connections = false;
    run_concurrently(5, milliseconds(50));
    CPPUNIT_ASSERT_MESSAGE("at most the cold rate after a possible restart", backend().statements - 1 <= 3);
  }

 private:
  void start(double cold_rate, std::uint64_t cold_ms) {
    proxy_ = std::make_unique<Proxy>(*runtime_, fleet(cold_rate, cold_ms));
    confirm();
    // The bucket starts to fill with the first request.
    proxy_->view.quotas().grant(*proxy_->view.cold_limit(kBackend), {}, runtime_->now());
    world_->run_for(milliseconds(4500));
    confirm();
  }
  void confirm() { proxy_->view.extend_lease(runtime_->now(), runtime_->now() + seconds(60), 1); }
  Backend& backend() { return proxy_->backend; }
  std::shared_ptr<GroupAccess> group() { return proxy_->view.find_group(kGroup); }

  StatementRequest new_request(const std::string& value = "first") {
    StatementRequest request;
    request.route = *proxy_->view.find_route(kDatabase);
    request.group = group();
    request.id = "id";
    request.writes = true;
    request.values = {{"name", value}};
    request.arrived = runtime_->now();
    request.deadline = request.arrived + milliseconds(request.route.timeout_ms);
    return request;
  }
  template <class Result>
  static Awaitable<void> keep(Awaitable<Result> work, std::vector<Result>& results) {
    Result result = co_await std::move(work);
    results.push_back(std::move(result));
  }
  std::vector<RunResult> run_concurrently(int count, Duration within, const std::string& value = "first") {
    results_.clear();
    for (int each = 0; each < count; ++each)
      runtime_->spawn("run", keep(proxy_->runner.run(new_request(value)), results_));
    world_->run_for(within);
    return results_;
  }
  PinnedLink open_transaction() {
    StatementRequest opening = new_request();
    opening.opens_transaction = true;
    results_.clear();
    runtime_->spawn("open", keep(proxy_->runner.run(std::move(opening)), results_));
    world_->run_for(milliseconds(20));
    CPPUNIT_ASSERT(!results_.empty() && results_[0].pinned);
    CPPUNIT_ASSERT_EQUAL(1, backend().statements);
    return *results_[0].pinned;
  }
  StatementGate& gate() { return group()->backends.all().at(kBackend)->gate; }
  Awaitable<void> take_slot(std::uint32_t& taken) {
    const bool entered = co_await gate().enter(admission::kUrgentClass, runtime_->now());
    if (entered) ++taken;
  }
  /// Takes all free slots of the gate and returns their number.
  std::uint32_t fill_gate() {
    std::uint32_t taken = 0;
    for (int each = 0; each < 100; ++each) runtime_->spawn("take_place", take_slot(taken));
    world_->run_for(milliseconds(1));
    return taken;
  }
  void start_pinned(const PinnedLink& pinned, Duration within) {
    answers_.clear();
    runtime_->spawn("further",
                    keep(proxy_->runner.transactions().run(pinned, new_request(), false, false), answers_));
    world_->run_for(within);
  }
  Answer run_pinned(const PinnedLink& pinned, Duration within) {
    start_pinned(pinned, within);
    CPPUNIT_ASSERT(!answers_.empty());
    return answers_[0];
  }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<Proxy> proxy_;
  std::vector<RunResult> results_;
  std::vector<Answer> answers_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdSendingTest);

}  // namespace cairnhollow::registered::proxy
