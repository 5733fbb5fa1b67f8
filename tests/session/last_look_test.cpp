// A statement is looked at again right before it is sent: what changed while it waited for its link counts.
#include "session/statement_runner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <functional>

#include "simulation/world.h"

namespace cairnhollow::session {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const GroupName kGroup("group");
const DatabaseName kDatabase("database");
const TenantName kTenant("tenant");
const ApiKey kKey("key");

/// What all links of the backends share.
struct Backends {
  std::map<std::string, int> statements;  ///< by backend
  std::map<std::string, int> dials;       ///< the same
  int begun = 0;
  int values = 0;  ///< set on links
  Duration statement_takes{0};
  std::function<void()> while_dialling;
  /// Done while a link is brought in order, which takes that long.
  std::function<void()> meanwhile;
  Duration takes{0};
};

class ScriptedLink : public BackendLink {
 public:
  ScriptedLink(runtime::Runtime& runtime, Backends& backends, std::string name)
      : runtime_(runtime), backends_(backends), name_(std::move(name)) {}

  Awaitable<std::optional<Answer>> run(BackendRequest request, TimePoint /*deadline*/,
                                       runtime::SendState& sent, Reason& /*reason*/) override {
    sent = runtime::SendState::kMaybeSent;
    Answer answer;
    answer.signature = name_;
    answer.position = Position{1, 10};
    if (std::holds_alternative<SetValue>(request)) {
      ++backends_.values;
      co_await runtime_.sleep_for(backends_.takes);
      if (backends_.meanwhile) backends_.meanwhile();
    }
    if (std::holds_alternative<PassOn>(request)) {
      ++backends_.statements[name_];
      co_await runtime_.sleep_for(backends_.statement_takes);
      if (!open_) co_return std::nullopt;
    }
    if (std::holds_alternative<Begin>(request)) {
      ++backends_.begun;
      in_transaction_ = true;
    }
    if (std::holds_alternative<Rollback>(request)) in_transaction_ = false;
    answer.state = in_transaction_ ? TransactionState::kOpen : TransactionState::kIdle;
    co_return answer;
  }
  std::optional<BackendStatus> read_status(const Answer& /*answer*/, Reason& /*reason*/) override {
    return std::nullopt;
  }
  void close() override { open_ = false; }
  [[nodiscard]] bool is_open() const override { return open_; }
  [[nodiscard]] std::string peer() const override { return name_; }

 private:
  runtime::Runtime& runtime_;
  Backends& backends_;
  std::string name_;
  bool in_transaction_ = false;
  bool open_ = true;
};

class ScriptedDialer : public BackendDialer {
 public:
  ScriptedDialer(runtime::Runtime& runtime, Backends& backends) : runtime_(runtime), backends_(backends) {}
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress address, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    ++backends_.dials[address.backend.value];
    if (backends_.while_dialling) backends_.while_dialling();
    co_return std::make_shared<ScriptedLink>(runtime_, backends_, address.backend.value);
  }

 private:
  runtime::Runtime& runtime_;
  Backends& backends_;
};

registry::BackendEntry entry(const std::string& name, std::uint16_t port) {
  registry::BackendEntry entry;
  entry.name = BackendName(name);
  entry.group = kGroup;
  entry.endpoint = {"10.0.0.9", port};
  entry.zone = ZoneName("a");
  entry.slots = 2;
  return entry;
}

registry::FleetDelta fleet() {
  registry::FleetDelta delta;
  delta.is_whole = true;
  delta.revision = 1;
  delta.document_version = 1;
  registry::RouteRule route;
  route.name = RouteName("route");
  route.database = kDatabase;
  route.group = kGroup;
  route.timeout_ms = 900;
  route.target_latency_ms = 600;
  delta.routes = {route};
  delta.groups = {registry::GroupRule{kGroup}};
  delta.backends = {entry("one", 1), entry("two", 2)};
  delta.terms = {{kGroup, 1, BackendName("one"), true, 1, 1}};
  delta.requires_keys = true;
  registry::TenantRule tenant;
  tenant.name = kTenant;
  tenant.keys = {kKey};
  delta.tenants = {tenant};
  return delta;
}

SessionProxySettings settings() {
  SessionProxySettings settings;
  settings.node = NodeName("proxy");
  settings.zone = ZoneName("a");
  settings.key_bound = seconds(5);
  return settings;
}

/// A proxy's part that runs statements, without its network.
struct Proxy {
  Proxy(runtime::Runtime& runtime, Duration lease)
      : dialer(runtime, backends),
        view(runtime, dialer, settings()),
        link(runtime, settings(), view),
        forwarder(runtime, NodeName("proxy"), ZoneName("a")),
        limits(runtime, view, forwarder, metrics),
        runner({runtime, view, link, metrics, forwarder, limits}) {
    view.apply(fleet());
    view.extend_lease(runtime.now(), runtime.now() + lease, 1);
  }

  Backends backends;
  ScriptedDialer dialer;
  FleetView view;
  FleetLink link;
  SessionMetrics metrics;
  Forwarder forwarder;
  LimitClient limits;
  StatementRunner runner;
};

}  // namespace

class LastLookTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LastLookTest);
  CPPUNIT_TEST(a_write_runs_at_the_primary);
  CPPUNIT_TEST(a_key_removed_meanwhile_runs_nothing);
  CPPUNIT_TEST(a_key_not_confirmed_any_more_runs_nothing);
  CPPUNIT_TEST(a_lease_lost_meanwhile_runs_nothing);
  CPPUNIT_TEST(a_primary_replaced_meanwhile_gets_nothing);
  CPPUNIT_TEST(a_former_primarys_link_is_not_brought_in_order);
  CPPUNIT_TEST(a_former_primary_is_not_dialled);
  CPPUNIT_TEST(a_transaction_is_not_begun_without_lease);
  CPPUNIT_TEST(a_transaction_ends_with_its_key);
  CPPUNIT_TEST(a_transaction_ends_with_a_key_that_is_removed_while_it_waits);
  CPPUNIT_TEST(a_transaction_ends_when_its_key_is_not_confirmed);
  CPPUNIT_TEST(a_transaction_ends_with_its_lease);
  CPPUNIT_TEST(a_transaction_ends_with_its_primary);
  CPPUNIT_TEST(a_refusal_tells_what_each_backend_lacks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    proxy_ = std::make_unique<Proxy>(*runtime_, seconds(60));
  }
  void tearDown() override {
    proxy_.reset();
    world_.reset();
  }

  void a_write_runs_at_the_primary() {
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
    CPPUNIT_ASSERT_EQUAL(0, sent("two"));
  }

  void a_key_removed_meanwhile_runs_nothing() {
    backends().meanwhile = [this] { remove_key(); };
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kUnauthorized);
    CPPUNIT_ASSERT(result.nothing_run);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, unplaced("key_unauthorized"));
  }

  void a_key_not_confirmed_any_more_runs_nothing() {
    world_->run_for(milliseconds(4800));
    backends().takes = milliseconds(200);
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, unplaced("key_unconfirmed"));
  }

  void a_lease_lost_meanwhile_runs_nothing() {
    lose_lease_after(milliseconds(50));
    backends().takes = milliseconds(100);
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, unplaced("no_lease"));
  }

  void a_primary_replaced_meanwhile_gets_nothing() {
    backends().meanwhile = [this] { replace_primary(); };
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, sent("two"));
  }

  void a_former_primarys_link_is_not_brought_in_order() {
    backends().while_dialling = [this] { replace_primary(); };
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(1, sent("two"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("only at the one that leads now", 1, backends().values);
  }

  void a_former_primary_is_not_dialled() {
    backends().statement_takes = milliseconds(100);
    std::array<RunResult, 3> results;
    for (RunResult& result : results) runtime_->spawn("run", keep(proxy_->runner.run(order()), result));
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the third waits for its turn", 2, sent("one"));
    replace_primary();
    world_->run_for(milliseconds(1200));
    CPPUNIT_ASSERT_EQUAL(2, backends().dials["one"]);
    CPPUNIT_ASSERT_EQUAL(2, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, sent("two"));
  }

  void a_transaction_is_not_begun_without_lease() {
    lose_lease_after(milliseconds(50));
    RunOrder opening = order();
    opening.opens_transaction = true;
    backends().takes = milliseconds(100);
    const RunResult result = run(opening);
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT(!result.pinned);
    CPPUNIT_ASSERT_EQUAL(0, backends().begun);
    CPPUNIT_ASSERT_EQUAL(0, sent("one"));
  }

  void a_transaction_ends_with_its_key() {
    const PinnedLink pinned = open_transaction();
    remove_key();
    check_ended(pinned, "key_unauthorized");
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

  void a_refusal_tells_what_each_backend_lacks() {
    registry::BackendEntry leaving = entry("one", 1);
    leaving.leaving = true;
    proxy_->view.find_group(kGroup)->put_backend(leaving);
    world_->run_for(milliseconds(5200));
    confirm();
    const RunResult result = run(order());
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT_EQUAL(std::string("the backend that could run it is leaving; come back in 300 ms"),
                         result.answer.detail);
    CPPUNIT_ASSERT_EQUAL(1, unplaced("leaving"));
  }

 private:
  Backends& backends() { return proxy_->backends; }
  int sent(const std::string& backend) { return backends().statements[backend]; }

  /// Of the metric's lines: how many statements this proxy refused since then.
  int unplaced(const std::string& since) const {
    const std::string text = proxy_->metrics.render();
    const std::string line = "cairnhollow_session_unplaced_total{since=\"" + since + "\"} ";
    const auto at = text.find(line);
    CPPUNIT_ASSERT_MESSAGE(since, at != std::string::npos);
    return std::stoi(text.substr(at + line.size()));
  }

  RunOrder order(const std::string& value = "first") {
    RunOrder order;
    order.route = *proxy_->view.find_route(kDatabase);
    order.group = proxy_->view.find_group(kGroup);
    order.key = kKey;
    order.tenant = kTenant;
    order.id = "id";
    order.writes = true;
    order.values = {{"name", value}};
    order.arrived = runtime_->now();
    order.deadline = order.arrived + milliseconds(order.route.timeout_ms);
    return order;
  }

  RunResult run(RunOrder order) {
    RunResult result;
    runtime_->spawn("run", keep(proxy_->runner.run(std::move(order)), result));
    world_->run_for(milliseconds(1200));
    return result;
  }
  template <class Result>
  static Awaitable<void> keep(Awaitable<Result> work, Result& result) {
    result = co_await std::move(work);
  }

  PinnedLink open_transaction() {
    RunOrder opening = order();
    opening.opens_transaction = true;
    std::optional<RunResult> result;
    runtime_->spawn("open", open(opening, result));
    world_->run_for(milliseconds(20));
    CPPUNIT_ASSERT(result && result->answer.succeeded() && result->pinned);
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
    return *result->pinned;
  }
  Awaitable<void> open(RunOrder order, std::optional<RunResult>& result) {
    result = co_await proxy_->runner.run(std::move(order));
  }

  /// Its next statement, which needs its link brought in order, is not sent.
  void check_ended(const PinnedLink& pinned, const std::string& since) {
    Answer answer;
    RunOrder further = order("second");
    runtime_->spawn("further",
                    keep(proxy_->runner.run_pinned(pinned, std::move(further), false, false), answer));
    world_->run_for(milliseconds(1200));
    CPPUNIT_ASSERT(answer.refusal == Refusal::kAborted);
    CPPUNIT_ASSERT_EQUAL(1, sent("one"));
    CPPUNIT_ASSERT_EQUAL(1, unplaced(since));
    CPPUNIT_ASSERT_MESSAGE("the backend rolls it back", !pinned.link->link().is_open());
  }

  void remove_key() {
    registry::FleetDelta delta;
    delta.revision = 2;
    delta.document_version = 2;
    delta.requires_keys = true;
    delta.removed_tenants = {kTenant};
    proxy_->view.apply(delta);
  }
  void confirm() { proxy_->view.extend_lease(runtime_->now(), runtime_->now() + seconds(60), 1); }
  void replace_primary() {
    proxy_->view.find_group(kGroup)->set_term({kGroup, 2, BackendName("two"), true, 2, 2});
  }
  /// A proxy whose lease has only so long to go.
  void lose_lease_after(Duration left) { proxy_ = std::make_unique<Proxy>(*runtime_, left); }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<Proxy> proxy_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LastLookTest);

}  // namespace cairnhollow::session
