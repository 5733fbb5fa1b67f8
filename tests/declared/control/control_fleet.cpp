#include "tests/declared/control/control_fleet.h"

#include <algorithm>

#include "declared/backend/http_backend.h"
#include "declared/control/control_node.h"
#include "standins/database/database_server.h"
#include "standins/platform/platform_server.h"

namespace cairnhollow::declared::control::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t kPeerPort = 4000;
constexpr std::uint16_t kOperatorPort = 4001;
constexpr std::uint16_t kDatabasePort = 5000;
constexpr Duration kWritePause = milliseconds(5);
constexpr Duration kWriteTimeout = milliseconds(200);
const GroupName kGroup("decks");
const Endpoint kPlatform{"10.0.1.7", 6000};

ZoneName zone_name(std::size_t zone) { return ZoneName("zone-" + std::to_string(zone)); }
std::string control_name(std::size_t zone) { return "control-" + std::to_string(zone); }
std::string database_name(std::size_t zone) { return "decks-" + std::to_string(zone); }
std::string control_address(std::size_t zone) { return "10.0." + std::to_string(zone) + ".1"; }
std::string database_address(std::size_t zone) { return "10.0." + std::to_string(zone) + ".2"; }

template <class Result>
using Slot = std::shared_ptr<std::optional<Result>>;

Awaitable<void> call_apply(runtime::Runtime& runtime, std::vector<Endpoint> servers,
                           config::ChangeRequest request, Slot<config::ChangeOutcome> slot) {
  cli::OperatorClientSettings settings;
  settings.servers = std::move(servers);
  cli::OperatorClient client(runtime, settings);
  Reason reason;
  const TimePoint deadline = runtime.now() + seconds(10);
  *slot = co_await client.apply(std::move(request), deadline, reason);
}

Awaitable<void> call_status(runtime::Runtime& runtime, Endpoint server, Slot<FleetStatus> slot) {
  cli::OperatorClientSettings settings;
  settings.servers.push_back(server);
  cli::OperatorClient client(runtime, settings);
  Reason reason;
  const TimePoint deadline = runtime.now() + seconds(3);
  *slot = co_await client.status(deadline, reason);
}

Awaitable<void> call_events(runtime::Runtime& runtime, Endpoint server, Slot<std::vector<FleetEvent>> slot) {
  cli::OperatorClientSettings settings;
  settings.servers.push_back(server);
  cli::OperatorClient client(runtime, settings);
  Reason reason;
  const TimePoint deadline = runtime.now() + seconds(3);
  *slot = co_await client.events(0, 1000, deadline, reason);
}

struct SwitchoverResult {
  std::optional<SwitchoverOutcome> outcome;
  Reason reason;
};

Awaitable<void> call_switchover(runtime::Runtime& runtime, std::vector<Endpoint> servers,
                                SwitchoverRequest request, Slot<SwitchoverResult> slot) {
  SwitchoverResult result;
  for (const auto& server : servers) {
    cli::OperatorClientSettings settings;
    settings.servers.push_back(server);
    cli::OperatorClient client(runtime, settings);
    result.reason = Reason{};
    const TimePoint deadline = runtime.now() + seconds(5);
    result.outcome = co_await client.switchover(request, deadline, result.reason);
    if (result.outcome || result.reason.code != ReasonCode::kNotLeader) break;
  }
  *slot = result;
}

Awaitable<void> call_platform(runtime::Runtime& runtime, std::string machine, std::string state) {
  Reason reason;
  const TimePoint deadline = runtime.now() + seconds(1);
  const auto connection = co_await runtime.http().connect(kPlatform, deadline, reason);
  if (!connection) co_return;
  runtime::HttpRequest request;
  request.method = runtime::HttpMethod::kPost;
  request.target = "/admin/machines";
  request.body = R"({"name":")" + machine + R"(","state":")" + state + R"("})";
  runtime::SendState sent = runtime::SendState::kNotSent;
  co_await connection->exchange(std::move(request), deadline, sent, reason);
}

}  // namespace

Writer::Writer(runtime::Runtime& runtime, std::vector<Endpoint> control_endpoints, ZoneName zone)
    : runtime_(runtime), follower_(runtime, [&] {
        follow::FollowClientSettings settings;
        settings.node = NodeName("writer");
        settings.zone = std::move(zone);
        settings.control_endpoints = std::move(control_endpoints);
        return settings;
      }()) {}

Awaitable<bool> Writer::start(Reason& /*reason*/) {
  follower_.start();
  runtime_.spawn("writer", run());
  co_return true;
}

Awaitable<void> Writer::drain() {
  follower_.stop();
  co_return;
}

Awaitable<void> Writer::run() {
  while (true) {
    const bool written = co_await write_once();
    if (written) acknowledged_.push_back(runtime_.now());
    co_await runtime_.sleep_for(kWritePause);
  }
}

Awaitable<bool> Writer::write_once() {
  const auto known = follower_.current().groups.find(kGroup);
  if (known == follower_.current().groups.end() || known->second.primary.empty()) co_return false;
  const follow::GroupState state = known->second;
  const auto object = follower_.current().objects.find({config::ObjectKind::kBackend, state.primary.value});
  if (object == follower_.current().objects.end()) co_return false;
  const Endpoint endpoint = std::get<config::BackendSpec>(object->second.object.spec).endpoint;
  const TimePoint deadline = runtime_.now() + kWriteTimeout;
  Reason reason;
  const bool same = connected_to_.primary == state.primary && connected_to_.term == state.term;
  if (!connection_ || !connection_->is_open() || !same) {
    const auto connector = backend::make_http_backend_connector(runtime_);
    connection_ = co_await connector->open(state.primary, endpoint, deadline, reason);
    connected_to_ = state;
  }
  if (!connection_) {
    report_suspicion(state);
    co_return false;
  }
  backend::Statement statement;
  statement.kind = backend::StatementKind::kWrite;
  statement.database = DatabaseName("decks");
  statement.text = R"({"op":"put","record":"r","value":"v"})";
  backend::Requirements requirements;
  requirements.term = state.term;
  requirements.deadline = deadline;
  requirements.request_id = RequestId{SessionName("writer"), ++number_};
  const auto connection = connection_;
  const auto answer = co_await connection->execute(statement, requirements, reason);
  if (std::holds_alternative<backend::Written>(answer)) co_return true;
  if (!std::holds_alternative<backend::Busy>(answer)) report_suspicion(state);
  co_return false;
}

void Writer::report_suspicion(const follow::GroupState& state) {
  follower_.report_suspect(follow::SuspectPrimary{state.group, state.primary, state.term});
}

Duration Writer::longest_gap_after(TimePoint from) const {
  Duration longest{0};
  for (std::size_t i = 1; i < acknowledged_.size(); ++i) {
    if (acknowledged_[i] > from) longest = std::max(longest, acknowledged_[i] - acknowledged_[i - 1]);
  }
  return longest;
}

ControlFleet::ControlFleet(std::uint64_t seed, std::size_t zones) : zones_(zones) {
  simulation::WorldSettings settings;
  settings.seed = seed;
  world_ = std::make_unique<simulation::World>(settings);
}

ControlSettings ControlFleet::control_settings(std::size_t zone) const {
  ControlSettings settings;
  settings.node = NodeName(control_name(zone));
  settings.zone = zone_name(zone);
  settings.peer_endpoint = Endpoint{control_address(zone), kPeerPort};
  settings.operator_endpoint = Endpoint{control_address(zone), kOperatorPort};
  settings.platform_endpoint = kPlatform;
  for (std::size_t other = 1; other <= zones_; ++other) {
    consensus::Member member;
    member.node = NodeName(control_name(other));
    member.endpoint = Endpoint{control_address(other), kPeerPort};
    member.zone = zone_name(other);
    settings.initial_members.push_back(member);
  }
  return settings;
}

void ControlFleet::start_control(std::size_t zone) {
  const ControlSettings settings = control_settings(zone);
  world_->start({control_name(zone), control_address(zone), zone_name(zone)},
                [settings](runtime::Runtime& runtime) { return make_control_node(runtime, settings); });
}

void ControlFleet::start_standby(std::size_t number) {
  ControlSettings settings = control_settings(number);
  settings.initial_members.clear();
  settings.join = true;
  for (std::size_t zone = 1; zone <= zones_; ++zone) {
    settings.control_endpoints.push_back(Endpoint{control_address(zone), kPeerPort});
  }
  world_->start({control_name(number), control_address(number), zone_name(number)},
                [settings](runtime::Runtime& runtime) { return make_control_node(runtime, settings); });
}

void ControlFleet::start_platform() {
  standins::platform::PlatformSettings settings;
  settings.endpoint = kPlatform;
  world_->start({"platform", kPlatform.address, zone_name(1)}, [settings](runtime::Runtime& runtime) {
    return standins::platform::make_platform(runtime, settings);
  });
}

void ControlFleet::set_machine(const std::string& machine, const std::string& state) {
  auto& runtime = world_->runtime("operator");
  runtime.spawn("set_machine", call_platform(runtime, machine, state));
}

void ControlFleet::start_database(std::size_t zone) {
  standins::database::DatabaseSettings settings;
  settings.backend = BackendName(database_name(zone));
  settings.group = kGroup;
  settings.zone = zone_name(zone);
  settings.endpoint = Endpoint{database_address(zone), kDatabasePort};
  for (std::size_t other = 1; other <= zones_; ++other) {
    settings.initial_members.push_back(
        {BackendName(database_name(other)), Endpoint{database_address(other), kDatabasePort}});
  }
  world_->start(
      {database_name(zone), database_address(zone), zone_name(zone)},
      [settings](runtime::Runtime& runtime) { return standins::database::make_database(runtime, settings); });
}

config::Object ControlFleet::backend_object(std::size_t zone, bool drain) const {
  config::Object object;
  object.name = database_name(zone);
  object.labels.entries["group"] = kGroup.value;
  object.labels.entries["zone"] = zone_name(zone).value;
  config::BackendSpec spec;
  spec.zone = zone_name(zone);
  spec.endpoint = Endpoint{database_address(zone), kDatabasePort};
  spec.drain = drain;
  object.spec = spec;
  return object;
}

std::vector<config::Object> ControlFleet::objects() const {
  std::vector<config::Object> all;
  for (std::size_t zone = 1; zone <= zones_; ++zone) all.push_back(backend_object(zone, false));
  config::Object group;
  group.name = kGroup.value;
  config::DatabaseGroupSpec spec;
  spec.backend_selector.match_labels.entries["group"] = kGroup.value;
  group.spec = spec;
  all.push_back(group);
  return all;
}

void ControlFleet::start() {
  std::vector<Endpoint> endpoints;
  for (std::size_t zone = 1; zone <= zones_; ++zone) {
    start_control(zone);
    start_database(zone);
    endpoints.push_back(Endpoint{control_address(zone), kPeerPort});
  }
  world_->start_bare({"operator", "10.0.1.9", zone_name(1)});
  world_->start({"writer", "10.0.1.8", zone_name(1)}, [endpoints](runtime::Runtime& runtime) {
    return std::make_unique<Writer>(runtime, endpoints, zone_name(1));
  });
  writer_ = &dynamic_cast<Writer&>(world_->role("writer"));
  apply(objects());
  run_until_acknowledged(20, seconds(20));
}

template <class Result>
std::optional<Result> ControlFleet::wait_for(const std::shared_ptr<std::optional<Result>>& result,
                                             Duration limit) {
  world_->run_until([&] { return result->has_value(); }, limit);
  return *result;
}

std::optional<config::ChangeOutcome> ControlFleet::apply(std::vector<config::Object> objects) {
  config::ChangeRequest request;
  request.change_id = "change-" + std::to_string(next_change_++);
  request.operator_name = "test";
  for (auto& object : objects) {
    config::ObjectChange change;
    change.object = std::move(object);
    request.changes.push_back(change);
  }
  std::vector<Endpoint> servers;
  for (std::size_t zone = 1; zone <= zones_; ++zone) {
    servers.push_back(Endpoint{control_address(zone), kOperatorPort});
  }
  const auto slot = std::make_shared<std::optional<config::ChangeOutcome>>();
  auto& runtime = world_->runtime("operator");
  runtime.spawn("apply", call_apply(runtime, servers, request, slot));
  return wait_for(slot, seconds(15));
}

std::optional<FleetStatus> ControlFleet::status(const std::string& control_node) {
  const auto slot = std::make_shared<std::optional<FleetStatus>>();
  auto& runtime = world_->runtime("operator");
  runtime.spawn("status", call_status(runtime, Endpoint{address_of(control_node), kOperatorPort}, slot));
  return wait_for(slot, seconds(4));
}

std::vector<FleetEvent> ControlFleet::events(const std::string& control_node) {
  const auto slot = std::make_shared<std::optional<std::vector<FleetEvent>>>();
  auto& runtime = world_->runtime("operator");
  runtime.spawn("events", call_events(runtime, Endpoint{address_of(control_node), kOperatorPort}, slot));
  return wait_for(slot, seconds(4)).value_or(std::vector<FleetEvent>());
}

std::optional<SwitchoverOutcome> ControlFleet::switch_over(const config::Selector& target, Reason& reason) {
  std::vector<Endpoint> servers;
  for (const auto& name : controls()) servers.push_back(Endpoint{address_of(name), kOperatorPort});
  const auto slot = std::make_shared<std::optional<SwitchoverResult>>();
  auto& runtime = world_->runtime("operator");
  runtime.spawn("switchover", call_switchover(runtime, servers, SwitchoverRequest{kGroup, target}, slot));
  const auto result = wait_for(slot, seconds(20));
  if (!result) return std::nullopt;
  reason = result->reason;
  return result->outcome;
}

follow::GroupState ControlFleet::known() const {
  const auto& groups = writer_->follower().current().groups;
  const auto found = groups.find(kGroup);
  return found == groups.end() ? follow::GroupState{} : found->second;
}

std::string ControlFleet::address_of(const std::string& process) const {
  for (std::size_t zone = 1; zone <= zones_; ++zone) {
    if (process == control_name(zone)) return control_address(zone);
    if (process == database_name(zone)) return database_address(zone);
  }
  return process == "writer" ? "10.0.1.8" : "10.0.1.9";
}

std::vector<std::string> ControlFleet::databases() const {
  std::vector<std::string> names;
  for (std::size_t zone = 1; zone <= zones_; ++zone) names.push_back(database_name(zone));
  return names;
}

std::vector<std::string> ControlFleet::controls() const {
  std::vector<std::string> names;
  for (std::size_t zone = 1; zone <= zones_; ++zone) names.push_back(control_name(zone));
  return names;
}

void ControlFleet::cut(const std::string& one, const std::string& other) {
  auto& faults = world_->network().faults();
  faults.cut_machines(address_of(one), address_of(other));
  faults.cut_machines(address_of(other), address_of(one));
}

std::size_t ControlFleet::count_events(const std::string& kind) {
  std::size_t count = 0;
  for (const auto& name : controls()) {
    if (!world_->running(name)) continue;
    for (const auto& event : events(name)) count += event.kind == kind ? 1 : 0;
  }
  return count;
}

bool ControlFleet::run_until_acknowledged(std::size_t count, Duration limit) {
  const std::size_t wanted = writer_->acknowledged().size() + count;
  return world_->run_until([&] { return writer_->acknowledged().size() >= wanted; }, limit);
}

}  // namespace cairnhollow::declared::control::testing
