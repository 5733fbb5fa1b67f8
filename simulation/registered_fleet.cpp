#include "simulation/registered_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "platform/edge.h"
#include "simulation/registered_fleet_ports.h"
#include "standins/registered/document_text.h"

namespace cairnhollow::simulation {

using namespace standins::registered;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kBackendsPerGroup = 3;
constexpr Duration kCallTimeout = milliseconds(900);
/// An order waits at a control node for the next leader.
constexpr Duration kOrderTimeout = milliseconds(2500);
/// After its acknowledgement a lower limit holds on all proxies that control reaches.
constexpr Duration kLimitSettles = seconds(4);

std::size_t number_of(const std::string& name) { return std::stoull(name.substr(name.rfind('-') + 1)); }

}  // namespace

RegisteredFleet::RegisteredFleet(RegisteredFleetSettings settings)
    : settings_(std::move(settings)),
      world_(WorldSettings{settings_.seed, {}, milliseconds(1), settings_.print_log}) {}

std::string RegisteredFleet::address_of(const std::string& name) const {
  if (name == kPromotionCall) return kPromotionAddress;
  const bool is_control = name.starts_with("control");
  const bool is_proxy = name.starts_with("proxy");
  if (is_control || is_proxy) return fmt::format("10.{}.0.{}", is_control ? 1 : 2, number_of(name));
  // "g12-b3": backend 3 of group 12.
  const std::string group = name.substr(1, name.find('-') - 1);
  return fmt::format("10.3.{}.{}", group, name.back());
}

std::vector<Endpoint> RegisteredFleet::control_endpoints(std::uint16_t port) const {
  std::vector<Endpoint> endpoints;
  for (std::size_t number = 1; number <= settings_.control_nodes; ++number)
    endpoints.push_back({address_of(fmt::format("control-{}", number)), port});
  return endpoints;
}

void RegisteredFleet::start_control(std::size_t number) {
  const std::string name = fmt::format("control-{}", number);
  registered::control::RegisteredControlSettings settings;
  settings.node = NodeName(name);
  settings.zone = ZoneName(kZones[(number - 1) % kZones.size()]);
  settings.peer_endpoint = {address_of(name), kPeerPort};
  settings.operator_endpoint = {address_of(name), kOperatorPort};
  settings.seeds = control_endpoints(kOperatorPort);
  if (settings.seeds.size() > kZones.size()) settings.seeds.resize(kZones.size());
  settings.first_start = !wiped_[name];
  settings.serving_lease = settings_.serving_lease;
  settings.promotion_endpoint = {kPromotionAddress, kOperatorPort};
  settings.zone_regions = settings_.zone_regions;
  world_.start({name, address_of(name), settings.zone}, [settings](runtime::Runtime& runtime) {
    return registered::control::make_registered_control_node(runtime, settings, platform::control_edge());
  });
}

void RegisteredFleet::start_proxy(std::size_t number) {
  const std::string name = fmt::format("proxy-{}", number);
  registered::proxy::SessionProxySettings settings;
  settings.node = NodeName(name);
  settings.zone = ZoneName(kZones[(number - 1) % kZones.size()]);
  settings.session_endpoint = {address_of(name), kSessionPort};
  settings.readiness_endpoint = {address_of(name), kReadinessPort};
  settings.seeds = control_endpoints(kOperatorPort);
  settings.peer_endpoint = {address_of(name), kPeerPort};
  settings.control_port = kPeerPort;
  settings.key_bound = settings_.key_bound;
  settings.evacuation_bound = settings_.evacuation_bound;
  settings.zone_regions = settings_.zone_regions;
  settings.cold_overshoot = settings_.cold_overshoot;
  settings.cold_slack = settings_.cold_slack;
  world_.start({name, address_of(name), settings.zone}, [settings](runtime::Runtime& runtime) {
    return registered::proxy::make_session_proxy(runtime, settings, platform::session_edge());
  });
}

void RegisteredFleet::start_databases() {
  for (std::size_t group = 1; group <= settings_.groups; ++group) {
    std::vector<BackendName> names;
    for (std::size_t backend = 1; backend <= kBackendsPerGroup; ++backend)
      names.emplace_back(fmt::format("g{}-b{}", group, backend));
    models_.push_back(std::make_unique<GroupModel>(GroupName(fmt::format("group-{}", group)), names,
                                                   settings_.replica_lag));
    for (const BackendName& name : names) start_database(*models_.back(), name);
  }
}

void RegisteredFleet::start_callers() {
  for (std::size_t number = 1; number <= 2 * kPolicies.size(); ++number) {
    ApiKey key;
    if (!settings_.tenants.empty()) key = settings_.tenants[number % settings_.tenants.size()].keys.front();
    start_caller(fmt::format("caller-{}", number), key);
  }
}

void RegisteredFleet::start_caller(const std::string& name, const ApiKey& key) {
  const std::size_t number = next_caller_++;
  const PolicyOfDatabase& policy = kPolicies[number % kPolicies.size()];
  CallerSettings caller;
  caller.name = name;
  caller.key = key;
  caller.tenants = &tenant_history_;
  caller.pause = settings_.caller_pause;
  for (std::size_t proxy = 1; proxy <= settings_.proxies; ++proxy)
    caller.proxies.push_back({address_of(fmt::format("proxy-{}", proxy)), kSessionPort});
  std::rotate(caller.proxies.begin(),
              caller.proxies.begin() + static_cast<std::ptrdiff_t>(number % caller.proxies.size()),
              caller.proxies.end());
  caller.database = policy.name;
  caller.policy = policy.policy;
  caller.staleness = milliseconds(policy.staleness_ms);
  TenantName tenant;
  for (const registered::registry::TenantRule& rule : settings_.tenants) {
    if (std::find(rule.keys.begin(), rule.keys.end(), key) != rule.keys.end()) tenant = rule.name;
  }
  region_history_.callers[name] = {policy.name, tenant};
  CallerCounts& counts = counts_.emplace_back();
  VirtualRuntime& runtime = world_.start_bare(
      {caller.name, fmt::format("10.4.0.{}", number), ZoneName(kZones[number % kZones.size()])});
  runtime.spawn("caller", run_caller(runtime, caller, history_, counts, stopped_));
}

std::string RegisteredFleet::document(std::uint64_t version) const {
  std::vector<DatabaseText> databases;
  databases.reserve(kPolicies.size());
  for (const PolicyOfDatabase& policy : kPolicies) {
    const auto regions = settings_.database_regions.find(policy.name);
    databases.push_back({policy.name, policy.policy, policy.staleness_ms, "group-1", {}});
    if (regions != settings_.database_regions.end()) databases.back().allowed_regions = regions->second;
  }
  std::vector<std::string> groups;
  groups.reserve(settings_.groups);
  for (std::size_t group = 1; group <= settings_.groups; ++group)
    groups.push_back(fmt::format("group-{}", group));
  return document_text(version, databases, groups, settings_.tenants, settings_.cold_rate_per_s);
}

namespace {

/// One call to a control node; the status is 0 when there was no answer.
Awaitable<void> call(runtime::Runtime& runtime, Endpoint endpoint, runtime::HttpRequest request,
                     std::shared_ptr<std::optional<runtime::HttpResponse>> result,
                     Duration limit = kCallTimeout) {
  Reason reason;
  const TimePoint deadline = runtime.now() + limit;
  *result = runtime::HttpResponse{};
  (*result)->status = 0;
  const auto connection = co_await runtime.http().connect(endpoint, deadline, reason);
  if (!connection) co_return;
  runtime::SendState sent = runtime::SendState::kNotSent;
  const auto response = co_await connection->exchange(std::move(request), deadline, sent, reason);
  connection->close();
  if (response) *result = *response;
}

/// The same; `ended` says when it is over, whatever came of it.
Awaitable<void> call_until_ended(runtime::Runtime& runtime, Endpoint endpoint, runtime::HttpRequest request,
                                 std::shared_ptr<std::optional<runtime::HttpResponse>> result,
                                 std::shared_ptr<bool> ended) {
  co_await call(runtime, std::move(endpoint), std::move(request), std::move(result), kOrderTimeout);
  *ended = true;
}

}  // namespace

bool RegisteredFleet::send_document(Duration limit) {
  const std::string body = document(++version_);
  const TimePoint end = world_.now() + limit;
  std::size_t next = version_;
  while (world_.now() < end) {
    const auto endpoints = control_endpoints(kOperatorPort);
    const runtime::HttpRequest request = replace_document(body);
    auto result = std::make_shared<std::optional<runtime::HttpResponse>>();
    VirtualRuntime& operators = world_.runtime("operator");
    operators.spawn("operator", call(operators, endpoints[next++ % endpoints.size()], request, result));
    const bool answered =
        world_.run_until([&] { return result->has_value() && (*result)->status != 0; }, kCallTimeout);
    if (answered && (*result)->status == 200) {
      for (const registered::registry::TenantRule& tenant : settings_.tenants)
        tenant_history_.eras.push_back({tenant, world_.now()});
      add_region_era();
      return true;
    }
    world_.run_for(milliseconds(50));
  }
  return false;
}

unsigned RegisteredFleet::ask_evacuation(const std::string& control, const std::string& zone, bool begins) {
  const runtime::HttpRequest request = standins::registered::order_evacuation(ZoneName(zone), begins);
  auto result = std::make_shared<std::optional<runtime::HttpResponse>>();
  auto ended = std::make_shared<bool>(false);
  VirtualRuntime& operators = world_.runtime("operator");
  const TimePoint sent_at = world_.now();
  operators.spawn("operator",
                  call_until_ended(operators, {address_of(control), kOperatorPort}, request, result, ended));
  world_.run_until([&] { return *ended; }, kOrderTimeout);
  const unsigned status = result->has_value() ? (*result)->status : 0;
  if (status == 200) zone_history_.orders.push_back({ZoneName(zone), begins, sent_at, world_.now()});
  return status;
}

std::optional<Duration> RegisteredFleet::order_evacuation(const std::string& zone, bool begins,
                                                          Duration limit) {
  const TimePoint begun = world_.now();
  for (std::size_t attempt = 0; world_.now() < begun + limit; ++attempt) {
    const std::string control = fmt::format("control-{}", 1 + attempt % settings_.control_nodes);
    if (ask_evacuation(control, zone, begins) == 200) return world_.now() - begun;
    world_.run_for(milliseconds(50));
  }
  return std::nullopt;
}

bool RegisteredFleet::is_evacuated(const std::string& zone) {
  const std::string name = leader();
  return !name.empty() && registered::control::fleet_of(world_.role(name)).is_evacuated(ZoneName(zone));
}

bool RegisteredFleet::is_led_from(std::size_t group, const std::string& zone) {
  const BackendName* leader = models_[group - 1]->leader();
  return leader != nullptr && zone_of(leader->value).value == zone;
}

Endpoint RegisteredFleet::sessions_at(const std::string& proxy) const {
  return {address_of(proxy), kSessionPort};
}

std::uint64_t RegisteredFleet::read_back_version() {
  for (int attempt = 0; attempt < 30; ++attempt) {
    const auto endpoints = control_endpoints(kOperatorPort);
    const runtime::HttpRequest request = read_document();
    auto result = std::make_shared<std::optional<runtime::HttpResponse>>();
    VirtualRuntime& operators = world_.runtime("operator");
    const Endpoint& endpoint = endpoints[static_cast<std::size_t>(attempt) % endpoints.size()];
    operators.spawn("operator", call(operators, endpoint, request, result));
    world_.run_for(kCallTimeout);
    if (!result->has_value() || (*result)->status != 200) continue;
    return version_of((*result)->body);
  }
  return 0;
}

bool RegisteredFleet::start() {
  record_regions();
  const std::size_t at_start = settings_.control_nodes_at_start;
  for (std::size_t number = 1; number <= (at_start > 0 ? at_start : settings_.control_nodes); ++number)
    start_control(number);
  for (std::size_t number = 1; number <= settings_.proxies; ++number) start_proxy(number);
  start_databases();
  start_promotion_call();
  world_.start_bare({"operator", "10.5.0.1", ZoneName(kZones[0])});
  if (!send_document()) return false;
  start_callers();
  return world_.run_until([this] { return acknowledged() > 20 && reads() > 20; }, seconds(10));
}

std::vector<std::string> RegisteredFleet::finish() {
  heal();
  run_for(seconds(4));
  stopped_ = true;
  run_for(seconds(4));
  std::vector<std::string> final_tokens;
  for (const auto& model : models_) {
    const BackendName* leader = model->leader();
    if (leader == nullptr) continue;
    for (const LogEntry& entry : model->member(*leader).log)
      final_tokens.push_back(entry.record + " " + entry.token);
  }
  // What explains the others comes first.
  std::vector<std::string> violations = find_promotion_violations(promotion_history_);
  for (std::string& violation : find_violations(history_, final_tokens))
    violations.push_back(std::move(violation));
  if (!settings_.tenants.empty()) {
    const TenantBounds bounds{settings_.key_bound, kLimitSettles, {}};
    for (std::string& violation : find_tenant_violations(tenant_history_, bounds))
      violations.push_back(std::move(violation));
  }
  for (std::string& violation : find_evacuation_violations(zone_history_, settings_.evacuation_bound))
    violations.push_back(std::move(violation));
  for (std::string& violation : find_region_violations(region_history_, kLimitSettles))
    violations.push_back(std::move(violation));
  for (const std::string& fault : world_.faults()) violations.push_back("fault: " + fault);
  return violations;
}

void RegisteredFleet::kill(const std::string& name) {
  world_.kill(name);
  if (const auto member = members_.find(name); member != members_.end())
    member->second.first->member(member->second.second).running = false;
}

void RegisteredFleet::vanish(const std::string& name) {
  world_.vanish(name);
  if (const auto member = members_.find(name); member != members_.end())
    member->second.first->member(member->second.second).running = false;
}

void RegisteredFleet::terminate(const std::string& name) {
  world_.drain(name, [] {});
}

void RegisteredFleet::restart(const std::string& name) { world_.restart(name); }

void RegisteredFleet::add_control(const std::string& name) {
  wiped_[name] = true;
  start_control(number_of(name));
}

void RegisteredFleet::wipe(const std::string& name) {
  world_.kill(name);
  world_.disk(name) = VirtualDisk{};
  wiped_[name] = true;
  start_control(number_of(name));
}

void RegisteredFleet::cut(const std::string& one, const std::string& other) {
  world_.network().faults().cut_machines(address_of(one), address_of(other));
  world_.network().faults().cut_machines(address_of(other), address_of(one));
  const auto first = members_.find(one);
  const auto second = members_.find(other);
  if (first == members_.end() || second == members_.end()) return;
  if (first->second.first == second->second.first)
    first->second.first->cut(first->second.second, second->second.second);
}

void RegisteredFleet::cut_from_all_control(const std::string& name) {
  for (std::size_t number = 1; number <= settings_.control_nodes; ++number)
    cut(name, fmt::format("control-{}", number));
}

void RegisteredFleet::heal() {
  world_.heal();
  for (const auto& model : models_) model->heal();
}

std::string RegisteredFleet::primary() {
  const BackendName* leader = models_.front()->leader();
  return leader == nullptr ? std::string() : leader->value;
}

std::string RegisteredFleet::leader() {
  std::string newest;
  std::uint64_t newest_term = 0;
  for (std::size_t number = 1; number <= settings_.control_nodes; ++number) {
    const std::string name = fmt::format("control-{}", number);
    if (!world_.running(name)) continue;
    const auto term = registered::control::leading_term(world_.role(name));
    if (!term || *term < newest_term) continue;
    newest = name;
    newest_term = *term;
  }
  return newest;
}

unsigned RegisteredFleet::ask(const Endpoint& endpoint, runtime::HttpRequest request) {
  auto result = std::make_shared<std::optional<runtime::HttpResponse>>();
  VirtualRuntime& operators = world_.runtime("operator");
  operators.spawn("operator", call(operators, endpoint, std::move(request), result));
  world_.run_until([&] { return result->has_value() && (*result)->status != 0; }, kCallTimeout);
  return result->has_value() ? (*result)->status : 0;
}

bool RegisteredFleet::is_ready(const std::string& proxy) {
  runtime::HttpRequest request;
  request.target = platform::session_edge().readiness_path;
  return ask({address_of(proxy), kReadinessPort}, std::move(request)) == 200;
}

bool RegisteredFleet::is_open(const GroupName& group) {
  const std::string name = leader();
  if (name.empty()) return false;
  const auto* term = registered::control::fleet_of(world_.role(name)).find_term(group);
  return term != nullptr && term->open;
}

std::size_t RegisteredFleet::working_proxies() {
  const std::string name = leader();
  if (name.empty()) return 0;
  const auto proxies = registered::control::fleet_of(world_.role(name)).proxies();
  return static_cast<std::size_t>(
      std::count_if(proxies.begin(), proxies.end(), [](const auto& proxy) { return !proxy.leaving; }));
}

Database& RegisteredFleet::database(const std::string& name) { return *databases_.at(name); }

std::uint64_t RegisteredFleet::acknowledged() const {
  std::uint64_t sum = 0;
  for (const CallerCounts& counts : counts_) sum += counts.acknowledged;
  return sum;
}

std::uint64_t RegisteredFleet::reads() const {
  std::uint64_t sum = 0;
  for (const CallerCounts& counts : counts_) sum += counts.reads;
  return sum;
}

std::uint64_t RegisteredFleet::refused() const {
  std::uint64_t sum = 0;
  for (const CallerCounts& counts : counts_) sum += counts.promised;
  return sum;
}

std::uint64_t RegisteredFleet::cut_after_running() {
  std::set<std::string> run;
  const BackendName* leader = models_.front()->leader();
  if (leader == nullptr) return 0;
  for (const LogEntry& entry : models_.front()->member(*leader).log) run.insert(entry.token);
  return static_cast<std::uint64_t>(
      std::count_if(history_.begin(), history_.end(),
                    [&](const Attempt& attempt) { return attempt.cut && run.count(attempt.token) > 0; }));
}

Duration RegisteredFleet::longest_write_gap(TimePoint from, TimePoint to) const {
  return standins::registered::longest_write_gap(history_, from, to);
}

}  // namespace cairnhollow::simulation
