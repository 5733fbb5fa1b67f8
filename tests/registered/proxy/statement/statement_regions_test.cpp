// Statements that are bound to regions: refused at once if no permitted backend can run them. Reads whose
// primary is outside need its position, which is requested.
#include <cppunit/extensions/HelperMacros.h>

#include "registered/proxy/callers/caller_session.h"
#include "registered/proxy/group/position_question.h"
#include "registered/proxy/statement/statement_runner.h"
#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const GroupName kGroup("group");

/// Counts requests. `before_status` runs before a status request is answered, as by the primary of term 1.
struct StatusScript {
  std::function<void()> before_status;
  int statuses = 0;
  int statements = 0;
};

class StatusLink : public BackendLink {
 public:
  StatusLink(runtime::Runtime& runtime, StatusScript& script) : runtime_(runtime), script_(script) {}
  Awaitable<std::optional<Answer>> run(BackendRequest request, TimePoint /*deadline*/,
                                       runtime::SendState& sent, Reason& /*reason*/) override {
    sent = runtime::SendState::kMaybeSent;
    co_await runtime_.sleep_for(milliseconds(3));
    if (std::holds_alternative<GetStatus>(request)) {
      ++script_.statuses;
      if (script_.before_status) script_.before_status();
    }
    if (std::holds_alternative<Begin>(request)) in_transaction_ = true;
    if (std::holds_alternative<Rollback>(request)) in_transaction_ = false;
    if (std::holds_alternative<SimpleQuery>(request)) ++script_.statements;
    Answer answer;
    answer.state = in_transaction_ ? TransactionState::kOpen : TransactionState::kIdle;
    co_return answer;
  }
  std::optional<BackendStatus> read_status(const Answer& /*answer*/, Reason& /*reason*/) override {
    return BackendStatus{true, 1, Position{1, 9}};
  }
  void close() override { open_ = false; }
  [[nodiscard]] bool is_open() const override { return open_; }
  [[nodiscard]] std::string peer() const override { return "link"; }

 private:
  runtime::Runtime& runtime_;
  StatusScript& script_;
  bool in_transaction_ = false;
  bool open_ = true;
};

class StatusDialer : public BackendDialer {
 public:
  StatusDialer(runtime::Runtime& runtime, StatusScript& script) : runtime_(runtime), script_(script) {}
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    co_return std::make_shared<StatusLink>(runtime_, script_);
  }

 private:
  runtime::Runtime& runtime_;
  StatusScript& script_;
};

registry::BackendEntry entry(const std::string& name, std::uint16_t port, const std::string& zone) {
  registry::BackendEntry entry;
  entry.name = BackendName(name);
  entry.group = kGroup;
  entry.endpoint = {"10.0.0.9", port};
  entry.zone = ZoneName(zone);
  entry.slots = 2;
  return entry;
}

std::vector<RegionName> regions(const std::vector<std::string>& names) {
  std::vector<RegionName> list;
  list.reserve(names.size());
  for (const std::string& name : names) list.emplace_back(name);
  return list;
}

/// The primary is in region north, the replica in region south.
registry::FleetDelta fleet() {
  registry::FleetDelta delta;
  delta.is_full = true;
  delta.revision = 1;
  delta.document_version = 1;
  registry::RouteRule route;
  route.name = RouteName("route");
  route.database = DatabaseName("records");
  route.group = kGroup;
  route.reads = registry::ReadPolicy::kBoundedStaleness;
  route.max_staleness_ms = 1500;
  route.timeout_ms = 900;
  route.target_latency_ms = 600;
  delta.routes = {route};
  delta.groups = {registry::GroupRule{kGroup, 0, 1, 0, 0}};
  delta.backends = {entry("primary", 1, "n1"), entry("replica", 2, "s1")};
  delta.terms = {{kGroup, 1, BackendName("primary"), true, 1, 1, 0}};
  delta.proxies = {{NodeName("proxy"), 1, ZoneName("s1"), {"10.0.0.1", 7000}, false},
                   {NodeName("other"), 1, ZoneName("s1"), {"10.0.0.2", 7000}, false}};
  return delta;
}

SessionProxySettings settings() {
  SessionProxySettings settings;
  settings.node = NodeName("proxy");
  settings.zone = ZoneName("s1");
  settings.zone_regions = {{ZoneName("n1"), RegionName("north")}, {ZoneName("s1"), RegionName("south")}};
  return settings;
}

struct Proxy {
  explicit Proxy(runtime::Runtime& runtime)
      : dialer(runtime, script),
        view(runtime, dialer, own),
        link(runtime, own, view),
        forwarder(runtime, NodeName("proxy"), ZoneName("s1")),
        limits(runtime, view, forwarder, metrics),
        demands(runtime, view, forwarder),
        overload(runtime, 0),
        runner({runtime, view, link, metrics, forwarder, limits, demands, overload, waiting}) {
    view.apply(fleet());
    view.extend_lease(runtime.now(), runtime.now() + seconds(60), 1);
  }

  const SessionProxySettings own = settings();
  StatusScript script;
  StatusDialer dialer;
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

/// Sends a read-only transaction with one read, then a read outside it; 50 ms before each statement.
class ReadingCaller : public CallerConnection {
 public:
  explicit ReadingCaller(runtime::Runtime& runtime) : runtime_(runtime) {}
  Awaitable<std::optional<SessionStart>> read_start(TimePoint /*deadline*/, Reason& /*reason*/) override {
    co_return SessionStart{DatabaseName("records"), ApiKey("key")};
  }
  Awaitable<bool> accept(Reason& /*reason*/) override { co_return true; }
  Awaitable<void> refuse(Refusal /*refusal*/, std::string /*detail*/) override { co_return; }
  Awaitable<std::optional<Statement>> read_statement(Reason& /*reason*/) override {
    co_await runtime_.sleep_for(milliseconds(50));
    if (answers.size() == kinds_.size()) co_return std::nullopt;
    Statement statement;
    statement.kind = kinds_[answers.size()];
    statement.id = "id";
    co_return statement;
  }
  Awaitable<bool> answer(const Answer& answer, Reason& /*reason*/) override {
    answers.push_back(answer);
    co_return true;
  }
  void close() override {}
  [[nodiscard]] bool is_open() const override { return true; }
  [[nodiscard]] std::string peer() const override { return "caller"; }

  std::vector<Answer> answers;

 private:
  runtime::Runtime& runtime_;
  const std::vector<StatementKind> kinds_{StatementKind::kBeginReadOnly, StatementKind::kRead,
                                          StatementKind::kRollback, StatementKind::kRead};
};

}  // namespace

class StatementRegionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatementRegionsTest);
  CPPUNIT_TEST(refuses_writes_at_once_if_the_primary_is_outside);
  CPPUNIT_TEST(does_not_wait_without_a_permitted_region);
  CPPUNIT_TEST(does_not_forward_without_a_permitted_backend);
  CPPUNIT_TEST(requests_the_primary_position_for_bounded_reads);
  CPPUNIT_TEST(ignores_positions_of_replaced_primaries);
  CPPUNIT_TEST(applies_changed_regions_to_the_next_transaction);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("s1")});
    proxy_ = std::make_unique<Proxy>(*runtime_);
    group_ = proxy_->view.find_group(kGroup);
  }
  void tearDown() override {
    group_.reset();
    proxy_.reset();
    world_.reset();
  }

  void refuses_writes_at_once_if_the_primary_is_outside() { check_refused(write_in({"south"}, {})); }

  void does_not_wait_without_a_permitted_region() {
    group_->set_term({kGroup, 1, BackendName("primary"), false, 2, 1, 0});
    check_refused(write_in({"south"}, {"north"}));
  }

  void does_not_forward_without_a_permitted_backend() {
    group_->leadership.mark_primary_unreachable();
    check_refused(write_in({"south"}, {}));
    const std::string metrics = proxy_->metrics.render();
    CPPUNIT_ASSERT(metrics.find("forwarded_total{cause=\"primary_unreachable\"} 0") != std::string::npos);
  }

  void requests_the_primary_position_for_bounded_reads() {
    StatementRequest request = write_in({"south"}, {});
    request.writes = false;
    const RunResult result = run(request);
    CPPUNIT_ASSERT(result.answer.succeeded());
    CPPUNIT_ASSERT_EQUAL(1, proxy_->script.statuses);
    CPPUNIT_ASSERT_EQUAL(1, proxy_->script.statements);
  }

  void ignores_positions_of_replaced_primaries() {
    proxy_->script.before_status = [this] {
      group_->set_term({kGroup, 2, BackendName("replica"), true, 3, 2, 0});
    };
    query_position(*runtime_, proxy_->view, group_);
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(1, proxy_->script.statuses);
    CPPUNIT_ASSERT(group_->positions.needs_refresh(milliseconds(1500)));
    proxy_->script.before_status = nullptr;
    query_position(*runtime_, proxy_->view, group_);
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT(!group_->positions.needs_refresh(milliseconds(1500)));
  }

  void applies_changed_regions_to_the_next_transaction() {
    bind_tenant("south");
    const auto caller = std::make_shared<ReadingCaller>(*runtime_);
    const auto session = std::make_shared<CallerSession>(
        SessionServices{*runtime_, proxy_->view, proxy_->link, proxy_->metrics, proxy_->forwarder,
                        proxy_->limits, proxy_->demands, proxy_->overload, proxy_->waiting},
        caller);
    runtime_->spawn("session", session->run());
    CPPUNIT_ASSERT(world_->run_until([&] { return caller->answers.size() == 1; }, seconds(1)));
    bind_tenant("west");
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, caller->answers.size());
    CPPUNIT_ASSERT_MESSAGE("the read in the open transaction", caller->answers[1].succeeded());
    CPPUNIT_ASSERT_MESSAGE("the read after the transaction", caller->answers[3].refusal == Refusal::kBusy);
  }

 private:
  /// Binds the tenant to the region, and makes this proxy the only one that serves it.
  void bind_tenant(const std::string& region) {
    registry::FleetDelta delta;
    delta.revision = ++revision_;
    delta.requires_keys = true;
    delta.removed_proxies = {NodeName("other")};
    registry::TenantRule tenant;
    tenant.name = TenantName("kea");
    tenant.keys = {ApiKey("key")};
    tenant.allowed_regions = {RegionName(region)};
    delta.tenants = {tenant};
    proxy_->view.apply(delta);
  }

  StatementRequest write_in(const std::vector<std::string>& of_route,
                            const std::vector<std::string>& of_tenant) {
    StatementRequest request;
    request.route = *proxy_->view.find_route(DatabaseName("records"));
    request.group = group_;
    request.allowed = locality::PermittedRegions(map_, regions(of_route), regions(of_tenant));
    request.id = "id";
    request.text = "text";
    request.writes = true;
    request.arrived = runtime_->now();
    request.deadline = request.arrived + milliseconds(900);
    return request;
  }

  /// Stores the duration in `took_`.
  RunResult run(const StatementRequest& request) {
    std::optional<RunResult> result;
    runtime_->spawn("run", keep(request, result));
    world_->run_until([&] { return result.has_value(); }, seconds(2));
    CPPUNIT_ASSERT(result);
    return *result;
  }
  Awaitable<void> keep(StatementRequest request, std::optional<RunResult>& result) {
    const TimePoint begun = runtime_->now();
    result = co_await proxy_->runner.run(std::move(request));
    took_ = runtime_->now() - begun;
  }

  void check_refused(const StatementRequest& request) {
    const RunResult result = run(request);
    CPPUNIT_ASSERT(result.answer.refusal == Refusal::kBusy);
    CPPUNIT_ASSERT(result.nothing_run);
    CPPUNIT_ASSERT(result.answer.detail.find("retry in 5000 ms") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE("refused without a wait", took_ < milliseconds(2));
    const std::string metrics = proxy_->metrics.render();
    CPPUNIT_ASSERT(metrics.find("unplaced_total{since=\"outside_regions\"} 1") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(0, proxy_->script.statements);
  }

  const locality::RegionMap map_{settings().zone_regions};
  Duration took_{0};
  std::uint64_t revision_ = 1;
  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<Proxy> proxy_;
  std::shared_ptr<GroupAccess> group_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementRegionsTest);

}  // namespace cairnhollow::registered::proxy
