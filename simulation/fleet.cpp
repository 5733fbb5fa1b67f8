#include "simulation/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <stdexcept>

#include "declared/backend/contract_codec.h"
#include "declared/config/state_machine.h"
#include "declared/control/control_node.h"
#include "declared/proxy/proxy_server.h"
#include "standins/database/database_server.h"
#include "standins/platform/platform_server.h"

namespace cairnhollow::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStartLimit = seconds(30);
constexpr Duration kSettleLimit = seconds(180);
constexpr Duration kFinalReadLimit = seconds(60);
constexpr Duration kControlCallLimit = seconds(1);
constexpr const char* kPlatformName = "platform";
constexpr const char* kCallersName = "callers";
constexpr const char* kObserverName = "observer";
constexpr const char* kClientAddressPrefix = "10.1.0.";
/// Last number of the address of the first crowd; the operators are below it.
constexpr std::size_t kFirstCrowdHost = 100;
constexpr const char* kObserverAddress = "10.2.0.1";

WorldSettings world_settings(const FleetSettings& settings, const Deployment& deployment) {
  WorldSettings world;
  world.seed = settings.seed;
  world.latency = deployment.latency;
  world.print_log = settings.print_log;
  return world;
}

Deployment adjusted_deployment(const FleetSettings& settings) {
  Deployment deployment = make_deployment(settings.profile);
  if (settings.adjust) settings.adjust(deployment);
  return deployment;
}

Awaitable<void> post_once(VirtualRuntime& runtime, Endpoint endpoint, std::string target, std::string body) {
  Reason reason;
  const TimePoint deadline = runtime.now() + kControlCallLimit;
  const auto connection = co_await runtime.http().connect(endpoint, deadline, reason);
  if (!connection) co_return;
  runtime::HttpRequest request;
  request.method = runtime::HttpMethod::kPost;
  request.target = std::move(target);
  request.body = std::move(body);
  auto sent = runtime::SendState::kNotSent;
  co_await connection->exchange(std::move(request), deadline, sent, reason);
}

}  // namespace

Fleet::Fleet(FleetSettings settings)
    : settings_(std::move(settings)),
      deployment_(adjusted_deployment(settings_)),
      world_(world_settings(settings_, deployment_)) {
  world_.network().record_requests(
      [this](const std::string& sender, const std::string& receiver, const runtime::HttpRequest& request) {
        record_work(sender, receiver, request.target);
      });
}

void Fleet::record_work(const std::string& sender, const std::string& receiver, const std::string& target) {
  if (target != declared::backend::target::kExecute && target != declared::backend::target::kBegin) return;
  work_.push_back({world_.now(), sender, BackendName(receiver)});
}

ProcessSettings Fleet::process_settings(const std::string& name, const std::string& address,
                                        const ZoneName& zone) {
  ProcessSettings process;
  process.name = name;
  process.address = address;
  process.zone = zone;
  if (settings_.adjust_process) settings_.adjust_process(process, world_.random());
  return process;
}

void Fleet::start_process(const std::string& name, const std::string& address, const ZoneName& zone,
                          const World::RoleFactory& factory) {
  addresses_[name] = address;
  world_.start(process_settings(name, address, zone), factory);
}

void Fleet::start_deployment() {
  start_process(kPlatformName, deployment_.platform.endpoint.address, ZoneName(kPlatformName),
                [settings = deployment_.platform](runtime::Runtime& runtime) {
                  return standins::platform::make_platform(runtime, settings);
                });
  for (const auto& settings : deployment_.databases) {
    start_process(settings.backend.value, settings.endpoint.address, settings.zone,
                  [settings](runtime::Runtime& runtime) {
                    return standins::database::make_database(runtime, settings);
                  });
  }
  for (const auto& settings : deployment_.control_nodes) {
    start_process(settings.node.value, settings.peer_endpoint.address, settings.zone,
                  [settings](runtime::Runtime& runtime) {
                    return declared::control::make_control_node(runtime, settings);
                  });
  }
  for (const auto& settings : deployment_.proxies) {
    start_process(
        settings.node.value, settings.caller_endpoint.address, settings.zone,
        [settings](runtime::Runtime& runtime) { return declared::proxy::make_proxy(runtime, settings); });
  }
}

void Fleet::start_clients() {
  start_process(kObserverName, kObserverAddress, kObserverZone, [this](runtime::Runtime& runtime) {
    auto role = std::make_unique<ObserverRole>(runtime, deployment_, world_.scheduler());
    observer_ = role.get();
    return role;
  });
  std::vector<DomainPart> domains = deployment_.domains;
  if (domains.empty()) domains.resize(2, {DomainName(), deployment_.operator_endpoints(), {}});
  unsigned host = 10;
  for (const char* name : {"operator-a", "operator-b"}) {
    const DomainPart& domain = domains.at(host - 10);
    start_process(name, kClientAddressPrefix + std::to_string(host++), kClientZone,
                  [this, name, domain](runtime::Runtime& runtime) {
                    auto role = std::make_unique<OperatorRole>(runtime, name, domain.operator_endpoints,
                                                               changes_, world_.scheduler(), domain.name);
                    operators_.push_back(role.get());
                    return role;
                  });
  }
}

bool Fleet::start(Reason& reason) {
  start_deployment();
  start_clients();
  if (!declare_objects(reason)) return false;
  if (world_.run_until([this] { return every_proxy_serves(); }, kStartLimit)) return true;
  reason = Reason{ReasonCode::kDeadlineExceeded, "start_fleet", "", "not every proxy serves"};
  return false;
}

bool Fleet::declare_objects(Reason& reason) {
  if (deployment_.domains.empty()) return declare(operator_a(), deployment_.objects, reason);
  return declare(operator_a(), deployment_.domains.at(0).objects, reason) &&
         declare(operator_b(), deployment_.domains.at(1).objects, reason);
}

bool Fleet::declare(OperatorRole& by, const std::vector<declared::config::Object>& objects, Reason& reason) {
  std::vector<declared::config::ObjectChange> changes;
  changes.reserve(objects.size());
  for (const declared::config::Object& object : objects) changes.push_back({object, false, std::uint64_t{0}});
  const std::size_t place = by.apply(std::move(changes), kStartLimit);
  world_.run_until([&] { return by.in_flight() == 0; }, kStartLimit + seconds(1));
  const ChangeRecord& change = changes_.changes.at(place);
  if (!change.answers.empty() && change.answers.front().accepted) return true;
  if (!change.answers.empty()) reason = change.answers.front().reason;
  if (change.answers.empty() && !change.failures.empty()) reason = change.failures.back();
  return false;
}

bool Fleet::every_proxy_serves() const {
  // Domains of a proxy that were last seen served.
  std::map<std::string, std::set<DomainName>> serving;
  for (const ProxyObservation& observation : observer_->proxies()) {
    auto& domains = serving[observation.proxy];
    if (observation.serves) domains.insert(observation.domain);
    if (!observation.serves) domains.erase(observation.domain);
  }
  const std::size_t wanted = std::max<std::size_t>(deployment_.domains.size(), 1);
  const auto groups = deployment_.groups();
  const bool has_primaries = std::all_of(groups.begin(), groups.end(), [this](const GroupName& group) {
    return !observer_->primary_of(group).empty();
  });
  return has_primaries &&
         std::all_of(deployment_.proxies.begin(), deployment_.proxies.end(), [&](const auto& settings) {
           const auto found = serving.find(settings.node.value);
           return found != serving.end() && found->second.size() == wanted;
         });
}

void Fleet::start_callers(Duration duration) {
  standins::callers::LoadSettings load;
  load.profile = settings_.profile;
  load.operations_per_second = settings_.operations_per_second;
  load.sessions = settings_.sessions;
  load.duration = duration;
  load.caller = settings_.caller;
  load.caller.proxies = deployment_.caller_endpoints();
  start_process(kCallersName, std::string(kClientAddressPrefix) + "1", kClientZone,
                [this, load](runtime::Runtime& runtime) {
                  auto role = std::make_unique<CallerRole>(runtime, load);
                  callers_ = role.get();
                  return role;
                });
}

void Fleet::start_crowd(const std::string& name, standins::callers::LoadSettings load) {
  load.run_name = name;
  load.caller.proxies = deployment_.caller_endpoints();
  const std::size_t host = kFirstCrowdHost + crowds_.size();
  start_process(name, kClientAddressPrefix + std::to_string(host), kClientZone,
                [this, load](runtime::Runtime& runtime) {
                  auto role = std::make_unique<CallerRole>(runtime, load);
                  crowds_.push_back(role.get());
                  return role;
                });
}

standins::callers::History Fleet::history() const {
  standins::callers::History all = callers_->history();
  if (crowds_.empty()) return all;
  for (const CallerRole* crowd : crowds_) {
    const auto& more = crowd->history();
    all.operations.insert(all.operations.end(), more.operations.begin(), more.operations.end());
    all.final_records.insert(all.final_records.end(), more.final_records.begin(), more.final_records.end());
  }
  std::stable_sort(all.operations.begin(), all.operations.end(),
                   [](const auto& one, const auto& other) { return one.invoked < other.invoked; });
  return all;
}

bool Fleet::settle(Reason& reason) {
  if (!settle(*callers_, reason)) return false;
  return std::all_of(crowds_.begin(), crowds_.end(),
                     [&](CallerRole* crowd) { return settle(*crowd, reason); });
}

bool Fleet::settle(CallerRole& callers, Reason& reason) {
  if (!world_.run_until([&] { return callers.finished(); }, kSettleLimit, milliseconds(100))) {
    reason = Reason{ReasonCode::kDeadlineExceeded, "settle", "", "the callers did not finish"};
    return false;
  }
  callers.settle(kFinalReadLimit);
  if (!world_.run_until([&] { return callers.settled(); }, kSettleLimit, milliseconds(100))) {
    reason = Reason{ReasonCode::kDeadlineExceeded, "settle", "", "the final records were not read"};
    return false;
  }
  reason = callers.settle_failure();
  return !reason.failed();
}

const std::string& Fleet::address_of(const std::string& process) const {
  const auto found = addresses_.find(process);
  if (found == addresses_.end()) throw std::invalid_argument("no process named " + process);
  return found->second;
}

void Fleet::cut_between(const std::string& one, const std::string& other) {
  NetworkFaults& faults = world_.network().faults();
  faults.cut_machines(address_of(one), address_of(other));
  faults.cut_machines(address_of(other), address_of(one));
}

void Fleet::cut_off(const std::string& process, const std::vector<std::string>& kept) {
  for (const auto& [other, address] : addresses_) {
    const bool stays = other == process || other == kObserverName ||
                       std::find(kept.begin(), kept.end(), other) != kept.end();
    if (!stays) cut_between(process, other);
  }
}

void Fleet::cut_zone(const ZoneName& zone, bool outgoing, bool incoming) {
  NetworkFaults& faults = world_.network().faults();
  std::vector<ZoneName> others = deployment_.zones;
  others.emplace_back(kPlatformName);
  for (const ZoneName& other : others) {
    if (other == zone) continue;
    if (outgoing) faults.cut_zones(zone, other);
    if (incoming) faults.cut_zones(other, zone);
  }
}

void Fleet::post(const Endpoint& endpoint, const std::string& target, const std::string& body) {
  VirtualRuntime& runtime = world_.runtime(kObserverName);
  runtime.spawn("post", post_once(runtime, endpoint, target, body));
}

void Fleet::set_database_faults(const BackendName& backend, const std::string& body) {
  post(deployment_.database(backend).endpoint, "/admin/faults", body);
}

void Fleet::set_platform_state(const std::string& machine, const std::string& state) {
  post(deployment_.platform.endpoint, "/admin/machines",
       fmt::format(R"({{"name":"{}","state":"{}"}})", machine, state));
}

void Fleet::freeze_platform_list(bool frozen) {
  post(deployment_.platform.endpoint, "/admin/freeze", fmt::format(R"({{"frozen":{}}})", frozen));
}

declared::config::Object Fleet::object(declared::config::ObjectKind kind, const std::string& name) const {
  std::vector<const std::vector<declared::config::Object>*> lists{&deployment_.objects};
  for (const DomainPart& domain : deployment_.domains) lists.push_back(&domain.objects);
  for (const auto* objects : lists) {
    for (const declared::config::Object& object : *objects) {
      if (object.kind() == kind && object.name == name) return object;
    }
  }
  throw std::invalid_argument("no object named " + name);
}

std::size_t Fleet::declare_drain(declared::config::ObjectKind kind, const std::string& name, bool drain) {
  declared::config::Object changed = object(kind, name);
  if (auto* proxy = std::get_if<declared::config::ProxySpec>(&changed.spec)) proxy->drain = drain;
  if (auto* backend = std::get_if<declared::config::BackendSpec>(&changed.spec)) backend->drain = drain;
  std::vector<declared::config::ObjectChange> changes;
  changes.push_back({std::move(changed), false, std::nullopt});
  return operator_a().apply(std::move(changes), seconds(20));
}

bool Fleet::wait_for_new_primary(const GroupName& group, const BackendName& old_primary, Duration limit) {
  return world_.run_until([&] { return primary_of(group) != old_primary; }, limit);
}

std::string Fleet::control_leader() {
  std::string leader;
  std::uint64_t term = 0;
  for (const auto& [node, observation] : observer_->control_nodes()) {
    if (observation.leader != node || observation.consensus_term < term) continue;
    leader = node;
    term = observation.consensus_term;
  }
  return leader;
}

std::vector<std::string> Fleet::process_names() const {
  std::vector<std::string> names;
  for (const auto& [name, address] : addresses_) names.push_back(name);
  return names;
}

}  // namespace cairnhollow::simulation
