#include "tests/registered/proxy/session_stand.h"

#include <cppunit/TestAssert.h>

#include <utility>

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kKeyBound = seconds(5);
const GroupName kGroup("group");

SessionProxySettings stand_settings() {
  SessionProxySettings settings;
  settings.node = NodeName("proxy");
  settings.zone = ZoneName("a");
  settings.key_bound = kKeyBound;
  return settings;
}

Step step_of(const BackendRequest& request) {
  if (std::holds_alternative<SetValue>(request) || std::holds_alternative<ResetState>(request))
    return Step::kSetValue;
  if (std::holds_alternative<Prepare>(request)) return Step::kPrepare;
  if (std::holds_alternative<Begin>(request)) return Step::kBegin;
  if (std::holds_alternative<Rollback>(request)) return Step::kRollback;
  if (std::holds_alternative<GetStatus>(request)) return Step::kStatus;
  return Step::kStatement;
}

std::string text_of(const BackendRequest& request) {
  if (const auto* passed = std::get_if<SimpleQuery>(&request)) return passed->text;
  return "execute " + std::get<Execute>(request).argument;
}

registry::BackendEntry entry_of(const std::string& name, bool leaving) {
  registry::BackendEntry entry;
  entry.name = BackendName(name);
  entry.group = kGroup;
  entry.endpoint = {"10.0.1." + std::to_string(name.size()), 9000};
  entry.zone = ZoneName("a");
  entry.slots = 1;
  entry.leaving = leaving;
  return entry;
}

registry::TenantRule tenant_of(const std::string& name, std::vector<ApiKey> keys) {
  registry::TenantRule tenant;
  tenant.name = TenantName(name);
  tenant.keys = std::move(keys);
  return tenant;
}

registry::RouteRule route_of() {
  registry::RouteRule route;
  route.name = RouteName("route");
  route.database = DatabaseName("database");
  route.group = kGroup;
  route.timeout_ms = 6000;
  route.target_latency_ms = 4000;
  return route;
}

}  // namespace

const char* step_name(Step step) {
  switch (step) {
    case Step::kGate:
      return "gate";
    case Step::kDial:
      return "dial";
    case Step::kSetValue:
      return "set value";
    case Step::kPrepare:
      return "prepare";
    case Step::kBegin:
      return "begin";
    case Step::kStatement:
      return "statement";
    case Step::kRollback:
      return "rollback";
    case Step::kStatus:
      return "status";
  }
  return "";
}

/// A link to a fake backend. close() ends a running request without an answer.
class FakeBackendLink : public BackendLink {
 public:
  FakeBackendLink(SessionStand& stand, std::string backend)
      : stand_(stand), backend_(std::move(backend)), closed_(stand.runtime()) {}

  Awaitable<std::optional<Answer>> run(BackendRequest request, TimePoint /*deadline*/,
                                       runtime::SendState& sent, Reason& reason) override {
    sent = open_ ? runtime::SendState::kMaybeSent : runtime::SendState::kNotSent;
    const Step step = step_of(request);
    if (open_ && (step == Step::kSetValue || step == Step::kPrepare)) ++stand_.setup_count_;
    if (open_ && step == Step::kBegin) stand_.sent_[backend_].emplace_back("begin");
    if (open_ && step == Step::kStatement) stand_.sent_[backend_].push_back(text_of(request));
    if (const auto event = stand_.take_event(step)) {
      co_await closed_.wait_until(stand_.now() + kEventStepDuration / 2);
      event();
      if (open_) co_await closed_.wait_until(stand_.now() + kEventStepDuration / 2);
    }
    if (step == Step::kStatus) co_await closed_.wait_until(stand_.now() + milliseconds(1));
    if (step == Step::kStatus && stand_.silent.count(backend_) > 0)
      co_await closed_.wait_until(stand_.now() + seconds(1));
    if (!open_) {
      reason = Reason{ReasonCode::kConnectionLost, "run_statement", backend_, "link closed"};
      co_return std::nullopt;
    }
    co_return answer_to(request);
  }
  std::optional<BackendStatus> read_status(const Answer& /*answer*/, Reason& /*reason*/) override {
    return stand_.statuses[backend_];
  }
  void close() override {
    open_ = false;
    closed_.notify_all();
  }
  [[nodiscard]] bool is_open() const override { return open_; }
  [[nodiscard]] std::string peer() const override { return backend_; }

 private:
  Answer answer_to(const BackendRequest& request) {
    Answer answer;
    const Step step = step_of(request);
    if (step == Step::kBegin) in_transaction_ = true;
    const auto* passed = std::get_if<SimpleQuery>(&request);
    if (step == Step::kRollback || (passed != nullptr && passed->text == "commit")) in_transaction_ = false;
    if (in_transaction_) answer.state = TransactionState::kOpen;
    if (step == Step::kStatement) answer.position = Position{1, ++stand_.position_};
    return answer;
  }

  SessionStand& stand_;
  std::string backend_;
  runtime::Signal closed_;
  bool open_ = true;
  bool in_transaction_ = false;
};

class SessionStand::Dialer : public BackendDialer {
 public:
  explicit Dialer(SessionStand& stand) : stand_(stand) {}
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress address, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    if (stand_.unreachable.count(address.backend.value) > 0) {
      co_await stand_.runtime().sleep_for(milliseconds(1));
      co_return nullptr;
    }
    stand_.dialled_tenants_.push_back(address.tenant.value);
    if (const auto event = stand_.take_event(Step::kDial)) {
      co_await stand_.runtime().sleep_for(kEventStepDuration / 2);
      event();
      co_await stand_.runtime().sleep_for(kEventStepDuration / 2);
    }
    co_return std::make_shared<FakeBackendLink>(stand_, address.backend.value);
  }

 private:
  SessionStand& stand_;
};

SessionStand::SessionStand() : world_(std::make_unique<simulation::World>(simulation::WorldSettings{})) {
  runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
  const SessionProxySettings settings = stand_settings();
  dialer_ = std::make_unique<Dialer>(*this);
  view_ = std::make_unique<FleetView>(*runtime_, *dialer_, settings);
  link_ = std::make_unique<FleetLink>(*runtime_, settings, *view_);
  forwarder_ = std::make_unique<Forwarder>(*runtime_, settings.node, settings.zone);
  limits_ = std::make_unique<LimitClient>(*runtime_, *view_, *forwarder_, metrics_);
  owners_ = std::make_unique<Forwarder>(*runtime_, settings.node, settings.zone, locality::RegionMap(),
                                        wire::Conversation::kBackendRoom);
  demands_ = std::make_unique<DemandExchange>(*runtime_, *view_, *owners_);
  overload_ = std::make_unique<OverloadControl>(*runtime_, 0);
  registry::FleetDelta first = delta();
  first.is_full = true;
  first.routes = {route_of()};
  registry::GroupRule rule;
  rule.name = kGroup;
  first.groups = {rule};
  first.backends = {entry_of(kPrimary, false), entry_of(kReplica, false)};
  first.terms = {{kGroup, 1, BackendName(kPrimary), true, 1, 1}};
  first.tenants = {tenant_of(kTenant, {ApiKey(kKey)}), tenant_of("other", {ApiKey("others")})};
  first.proxies = {{NodeName("proxy"), 1, ZoneName("a"), {"10.0.0.1", 7440}, false}};
  view_->apply(first);
  for (const char* backend : {kPrimary, kReplica}) statuses[backend].term = 1;
  world_->trace().observe_log([this](const std::string& line) { log_lines_.push_back(line); });
  // Time points at the clock's epoch, which mean "never", must not count as recent.
  run_for(seconds(30));
}

// Coroutines that still wait in the world refer to the other members.
SessionStand::~SessionStand() {
  // Connections close through the world's network.
  demands_.reset();
  owners_.reset();
  world_.reset();
}

SessionServices SessionStand::services() {
  return {*runtime_, *view_, *link_, metrics_, *forwarder_, *limits_, *demands_, *overload_, waiting_};
}

bool SessionStand::finish(Awaitable<void> task, Duration limit) {
  auto finished = std::make_shared<bool>(false);
  const auto watch = [](Awaitable<void> watched, std::shared_ptr<bool> done) -> Awaitable<void> {
    co_await std::move(watched);
    *done = true;
  };
  runtime_->spawn("task", watch(std::move(task), finished));
  return world_->run_until([finished] { return *finished; }, limit);
}

void SessionStand::confirm(Duration lease, Duration keys) {
  const Duration counted = kKeyBound - kKeyBound / tenancy::kKeyBoundMarginDivisor;
  view_->extend_lease(now() + keys - counted, now() + lease, view_->revision());
}

registry::FleetDelta SessionStand::delta() {
  registry::FleetDelta delta;
  delta.revision = view_->revision() + 1;
  delta.document_version = 1;
  delta.requires_keys = true;
  return delta;
}

void SessionStand::close_group() {
  registry::FleetDelta closed = delta();
  registry::GroupTerm term = group()->term();
  term.open = false;
  ++term.epoch;
  closed.terms = {term};
  view_->apply(closed);
}

void SessionStand::change_primary() {
  close_group();
  registry::FleetDelta opened = delta();
  registry::GroupTerm term = group()->term();
  term.primary = BackendName(term.primary.value == kPrimary ? kReplica : kPrimary);
  term.open = true;
  ++term.term;
  ++term.epoch;
  opened.terms = {term};
  view_->apply(opened);
}

void SessionStand::remove_key() {
  registry::FleetDelta removed = delta();
  removed.tenants = {tenant_of(kTenant, {})};
  view_->apply(removed);
}

void SessionStand::reassign_key() {
  registry::FleetDelta moved = delta();
  moved.tenants = {tenant_of(kTenant, {}), tenant_of("other", {ApiKey("others"), ApiKey(kKey)})};
  view_->apply(moved);
}

void SessionStand::update_backend(const std::string& name, bool leaving) {
  registry::FleetDelta changed = delta();
  changed.backends = {entry_of(name, leaving)};
  view_->apply(changed);
}

void SessionStand::limit_tenant(std::uint64_t rate_per_s) {
  registry::FleetDelta limited = delta();
  registry::TenantRule tenant = tenant_of(kTenant, {ApiKey(kKey)});
  tenant.rate_per_s = rate_per_s;
  tenant.burst = rate_per_s;
  limited.tenants = {tenant};
  view_->apply(limited);
}

runtime::Runtime& SessionStand::start_process(const std::string& name, const std::string& address) {
  return world_->start_bare({name, address, ZoneName("a")});
}

void SessionStand::during(Step step, std::function<void()> event) { events_[step] = std::move(event); }

std::function<void()> SessionStand::take_event(Step step) {
  const auto found = events_.find(step);
  if (found == events_.end()) return nullptr;
  std::function<void()> event = std::move(found->second);
  events_.erase(found);
  return event;
}

void SessionStand::occupy_gate(const std::string& backend) {
  runtime_->spawn("hold_gate", hold_gate(group()->backends.all().at(BackendName(backend))));
  run_for(milliseconds(1));
}

Awaitable<void> SessionStand::hold_gate(std::shared_ptr<BackendState> backend) {
  int held = 0;
  bool entered = true;
  while (entered) {
    entered = co_await backend->gate.enter(0, now());
    if (entered) ++held;
  }
  CPPUNIT_ASSERT(held > 0);
  const auto event = take_event(Step::kGate);
  co_await runtime_->sleep_for(kEventStepDuration / 2);
  if (event) event();
  co_await runtime_->sleep_for(kEventStepDuration / 2);
  for (; held > 0; --held) backend->gate.leave_unanswered();
}

StatementRequest SessionStand::write(const std::string& id) {
  StatementRequest request;
  request.route = route_of();
  request.group = group();
  request.key = ApiKey(kKey);
  request.tenant = TenantName(kTenant);
  request.id = id;
  request.argument = id;
  request.prepared = PreparedShape{true, "shape"};
  request.values = {{"tag", "a"}};
  request.writes = true;
  request.arrived = now();
  request.deadline = request.arrived + milliseconds(request.route.timeout_ms);
  return request;
}

}  // namespace cairnhollow::registered::proxy
