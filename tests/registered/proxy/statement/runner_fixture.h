// Test fixture that runs statements through a proxy's StatementRunner with scripted backend links and a fleet
// view set by the test.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "registered/proxy/statement/statement_runner.h"
#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

inline const GroupName kGroup("group");
inline const DatabaseName kDatabase("database");
inline const TenantName kTenant("tenant");
inline const ApiKey kKey("key");

/// A failed exchange with a backend: a refusal, or no answer.
struct Failure {
  std::optional<Refusal> refusal;  ///< empty: no answer
  runtime::SendState sent = runtime::SendState::kMaybeSent;
};

/// State and script shared by all links to the backends.
struct Backends {
  std::map<std::string, int> statements;  ///< number of statements sent, by backend
  std::map<std::string, int> dials;       ///< number of links opened, by backend
  int begun = 0;                          ///< number of Begin requests sent
  int values = 0;                         ///< number of session values set on links
  Duration statement_takes{0};
  std::map<std::string, Failure> statement_failures;  ///< outcome of the backend's next statement
  std::map<std::string, Failure> begin_failures;      ///< outcome of its next Begin
  std::function<void()> while_dialling;
  std::function<void()> during_setup;  ///< runs after the delay `setup_takes` when a session value is set
  Duration setup_takes{0};
};

class ScriptedLink : public BackendLink {
 public:
  ScriptedLink(runtime::Runtime& runtime, Backends& backends, std::string name)
      : runtime_(runtime), backends_(backends), name_(std::move(name)) {}

  Awaitable<std::optional<Answer>> run(BackendRequest request, TimePoint /*deadline*/,
                                       runtime::SendState& sent, Reason& reason) override {
    sent = runtime::SendState::kMaybeSent;
    Answer answer;
    answer.signature = name_;
    answer.position = Position{1, 10};
    if (std::holds_alternative<SetValue>(request)) {
      ++backends_.values;
      co_await runtime_.sleep_for(backends_.setup_takes);
      if (backends_.during_setup) backends_.during_setup();
    }
    if (std::holds_alternative<SimpleQuery>(request)) {
      ++backends_.statements[name_];
      co_await runtime_.sleep_for(backends_.statement_takes);
      if (!open_) co_return std::nullopt;
      if (const auto failure = take(backends_.statement_failures)) co_return fail(*failure, sent, reason);
    }
    if (std::holds_alternative<Begin>(request)) {
      ++backends_.begun;
      if (const auto failure = take(backends_.begin_failures)) co_return fail(*failure, sent, reason);
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
  std::optional<Failure> take(std::map<std::string, Failure>& failures) const {
    const auto found = failures.find(name_);
    if (found == failures.end()) return std::nullopt;
    const Failure failure = found->second;
    failures.erase(found);
    return failure;
  }
  std::optional<Answer> fail(const Failure& failure, runtime::SendState& sent, Reason& reason) {
    if (failure.refusal) {
      Answer refused;
      refused.refusal = failure.refusal;
      refused.state = in_transaction_ ? TransactionState::kOpen : TransactionState::kIdle;
      return refused;
    }
    sent = failure.sent;
    reason = Reason{ReasonCode::kConnectionLost, "run", name_, "connection lost"};
    open_ = false;
    return std::nullopt;
  }

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

inline registry::BackendEntry entry(const std::string& name, std::uint16_t port) {
  registry::BackendEntry entry;
  entry.name = BackendName(name);
  entry.group = kGroup;
  entry.endpoint = {"10.0.0.9", port};
  entry.zone = ZoneName("a");
  entry.slots = 2;
  return entry;
}

inline registry::FleetDelta fleet() {
  registry::FleetDelta delta;
  delta.is_full = true;
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

using ZoneRegions = std::map<ZoneName, RegionName>;

inline SessionProxySettings settings(ZoneRegions regions = {}) {
  SessionProxySettings settings;
  settings.zone_regions = std::move(regions);
  settings.node = NodeName("proxy");
  settings.zone = ZoneName("a");
  settings.key_bound = std::chrono::seconds(5);
  return settings;
}

/// The parts of a proxy that run statements, without network connections.
struct Proxy {
  Proxy(runtime::Runtime& runtime, Duration lease, const ZoneRegions& regions = {})
      : dialer(runtime, backends),
        view(runtime, dialer, settings(regions)),
        link(runtime, settings(), view),
        forwarder(runtime, NodeName("proxy"), ZoneName("a")),
        limits(runtime, view, forwarder, metrics),
        demands(runtime, view, forwarder),
        overload(runtime, 0),
        runner({runtime, view, link, metrics, forwarder, limits, demands, overload, waiting}) {
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
  DemandExchange demands;
  OverloadControl overload;
  placement::WaitingRoom waiting;
  StatementRunner runner;
};

/// Base fixture for tests of StatementRunner: one proxy, primary "one", replica "two".
class RunnerFixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    proxy_ = std::make_unique<Proxy>(*runtime_, std::chrono::seconds(60));
  }
  void tearDown() override {
    proxy_.reset();
    world_.reset();
  }

 protected:
  Backends& backends() { return proxy_->backends; }
  int sent(const std::string& backend) { return backends().statements[backend]; }

  /// Number of statements that this proxy refused for the reason, from the metrics output.
  int local_refusals(const std::string& reason_name) const {
    const std::string text = proxy_->metrics.render();
    const std::string line = "cairnhollow_session_unplaced_total{since=\"" + reason_name + "\"} ";
    const auto at = text.find(line);
    CPPUNIT_ASSERT_MESSAGE(reason_name, at != std::string::npos);
    return std::stoi(text.substr(at + line.size()));
  }

  StatementRequest new_request(const std::string& value = "first") {
    StatementRequest request;
    request.route = *proxy_->view.find_route(kDatabase);
    request.group = proxy_->view.find_group(kGroup);
    request.key = kKey;
    request.tenant = kTenant;
    request.id = "id";
    request.writes = true;
    request.values = {{"name", value}};
    request.arrived = runtime_->now();
    request.deadline = request.arrived + std::chrono::milliseconds(request.route.timeout_ms);
    return request;
  }

  RunResult run(StatementRequest request) {
    RunResult result;
    runtime_->spawn("run", keep(proxy_->runner.run(std::move(request)), result));
    world_->run_for(std::chrono::milliseconds(1200));
    return result;
  }
  template <class Result>
  static Awaitable<void> keep(Awaitable<Result> work, Result& result) {
    result = co_await std::move(work);
  }

  void remove_key() {
    registry::FleetDelta delta;
    delta.revision = 2;
    delta.document_version = 2;
    delta.requires_keys = true;
    delta.removed_tenants = {kTenant};
    proxy_->view.apply(delta);
  }
  void confirm() {
    proxy_->view.extend_lease(runtime_->now(), runtime_->now() + std::chrono::seconds(60), 1);
  }
  void replace_primary() {
    proxy_->view.find_group(kGroup)->set_term({kGroup, 2, BackendName("two"), true, 2, 2});
  }
  /// Restarts the proxy with a lease that ends after `left`.
  void lose_lease_after(Duration left) { proxy_ = std::make_unique<Proxy>(*runtime_, left); }

  /// Makes the key prove another tenant.
  void move_key() {
    registry::FleetDelta delta = fleet();
    delta.tenants.front().name = TenantName("another");
    proxy_->view.apply(delta);
  }
  void limit_tenant() {
    registry::FleetDelta delta = fleet();
    delta.tenants.front().rate_per_s = 1;
    delta.tenants.front().burst = 1;
    proxy_->view.apply(delta);
  }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<Proxy> proxy_;
};

}  // namespace cairnhollow::registered::proxy
