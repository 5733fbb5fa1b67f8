#include "tests/declared/proxy/proxy_world.h"

#include "declared/backend/http_backend.h"
#include "declared/proxy/proxy_server.h"
#include "standins/database/database_server.h"

namespace cairnhollow::declared::proxy {

using standins::callers::CallAnswer;
using standins::callers::StatementKind;
using standins::callers::StatementRequest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t kDatabases = 3;
constexpr std::uint16_t kPort = 8000;
constexpr const char* kOwner = "operator";

Endpoint control_endpoint() { return Endpoint{"10.0.3.1", kPort}; }
ZoneName zone(std::uint32_t index) { return ZoneName("zone-" + std::to_string(index % kDatabases)); }

simulation::WorldSettings world_settings(std::uint64_t seed) {
  simulation::WorldSettings settings;
  settings.seed = seed;
  return settings;
}

}  // namespace

ProxyWorld::ProxyWorld(const ProxyWorldSettings& settings) : world_(world_settings(settings.seed)) {
  operator_ = &world_.start_bare({"operator", "10.0.4.1", zone(0)});
  world_.start({"control", control_endpoint().address, zone(0)}, [](runtime::Runtime& runtime) {
    return std::make_unique<ControlStub>(runtime, control_endpoint());
  });
  start_databases(settings);
  world_.run_for(milliseconds(100));
  promote(0, 1, {0, 1, 2});
  configure(settings);
  start_proxies(settings);
  world_.run_for(seconds(1));
}

ControlStub& ProxyWorld::control() { return dynamic_cast<ControlStub&>(world_.role("control")); }

Endpoint ProxyWorld::database_endpoint(std::uint32_t index) {
  return Endpoint{"10.0.1." + std::to_string(index + 1), kPort};
}

Endpoint ProxyWorld::proxy_endpoint(std::uint32_t index) {
  return Endpoint{"10.0.2." + std::to_string(index + 1), kPort};
}

void ProxyWorld::start_databases(const ProxyWorldSettings& settings) {
  std::vector<standins::database::GroupMember> members;
  for (std::uint32_t index = 0; index < kDatabases; ++index) {
    members.push_back({BackendName(database(index)), database_endpoint(index)});
  }
  for (std::uint32_t index = 0; index < kDatabases; ++index) {
    standins::database::DatabaseSettings database_settings;
    database_settings.backend = BackendName(database(index));
    database_settings.group = group();
    database_settings.zone = zone(index);
    database_settings.endpoint = database_endpoint(index);
    database_settings.initial_members = members;
    database_settings.connections = settings.connections;
    database_settings.slots = settings.slots;
    database_settings.statement_duration = settings.statement_duration;
    database_settings.replication_lag = settings.replication_lag;
    world_.start({database(index), database_endpoint(index).address, zone(index)},
                 [database_settings](runtime::Runtime& runtime) {
                   return standins::database::make_database(runtime, database_settings);
                 });
  }
}

void ProxyWorld::configure(const ProxyWorldSettings& settings) {
  std::vector<config::Object> objects;
  for (std::uint32_t index = 0; index < kDatabases; ++index) {
    objects.push_back({database(index), LabelSet{{{"group", group().value}}},
                       config::BackendSpec{zone(index), database_endpoint(index), false}});
  }
  for (std::uint32_t index = 0; index < settings.proxies; ++index) {
    objects.push_back(
        {proxy(index), LabelSet{}, config::ProxySpec{zone(index), proxy_endpoint(index), false}});
  }
  config::DatabaseGroupSpec group_spec;
  group_spec.backend_selector.match_labels.entries["group"] = group().value;
  group_spec.connections_per_backend = settings.connections;
  group_spec.slots_per_backend = settings.slots;
  objects.push_back({group().value, LabelSet{}, group_spec});
  config::RouteSpec route;
  route.statement_selector.match_labels.entries["database"] = key().database;
  if (settings.replica_wait_milliseconds)
    route.replica_wait_milliseconds = *settings.replica_wait_milliseconds;
  objects.push_back({"decks", LabelSet{}, route});
  control().put(std::move(objects));
}

void ProxyWorld::start_proxies(const ProxyWorldSettings& settings) {
  for (std::uint32_t index = 0; index < settings.proxies; ++index) {
    ProxySettings proxy_settings;
    proxy_settings.node = NodeName(proxy(index));
    proxy_settings.zone = zone(index);
    proxy_settings.caller_endpoint = proxy_endpoint(index);
    proxy_settings.control_endpoints = {control_endpoint()};
    settings.adjust_proxy(proxy_settings);
    world_.start({proxy(index), proxy_endpoint(index).address, zone(index)},
                 [proxy_settings](runtime::Runtime& runtime) { return make_proxy(runtime, proxy_settings); });
  }
}

Awaitable<bool> ProxyWorld::fence(std::uint32_t index, std::uint64_t term) {
  const auto connector =
      backend::make_http_backend_connector(*operator_, backend::ConnectionPurpose::kControl);
  const TimePoint deadline = operator_->now() + seconds(1);
  Reason reason;
  const auto connection =
      co_await connector->open(BackendName(database(index)), database_endpoint(index), deadline, reason);
  if (!connection) co_return false;
  const auto fenced = co_await connection->fence(term, kOwner, deadline, reason);
  co_return fenced && fenced->granted;
}

Awaitable<bool> ProxyWorld::run_promotion(std::uint32_t index, std::uint64_t term,
                                          std::vector<std::uint32_t> members) {
  for (const auto member : members) {
    const bool fenced = co_await fence(member, term);
    if (!fenced) co_return false;
  }
  const auto connector =
      backend::make_http_backend_connector(*operator_, backend::ConnectionPurpose::kControl);
  const TimePoint deadline = operator_->now() + seconds(5);
  for (const auto member : members) {
    Reason reason;
    const BackendName name(database(member));
    const auto connection = co_await connector->open(name, database_endpoint(member), deadline, reason);
    if (!connection) co_return false;
    bool done = false;
    if (member == index) {
      done = co_await connection->promote(term, kOwner, deadline, reason);
    } else {
      const BackendName primary(database(index));
      done = co_await connection->follow(term, primary, database_endpoint(index), deadline, reason);
    }
    if (!done) co_return false;
  }
  co_return true;
}

void ProxyWorld::promote(std::uint32_t index, std::uint64_t term, const std::vector<std::uint32_t>& members) {
  if (!run(run_promotion(index, term, members))) throw std::runtime_error("the promotion failed");
  control().set_primary(group(), term, BackendName(database(index)));
}

Caller& ProxyWorld::add_caller(std::uint32_t proxy_index) {
  const auto number = std::to_string(callers_.size() + 1);
  auto& runtime = world_.start_bare({"caller-" + number, "10.0.5." + number, zone(0)});
  return callers_.emplace_back(runtime, proxy_endpoint(proxy_index), "session-" + number);
}

StatementRequest ProxyWorld::next_request(Caller& caller, StatementKind kind, const std::string& text) const {
  StatementRequest request;
  request.database = key().database;
  request.partition_key = key().partition_key;
  request.kind = kind;
  request.text = text;
  request.id = RequestId{SessionName(caller.session), ++caller.number};
  request.session_token = caller.token;
  return request;
}

CallAnswer ProxyWorld::remember(Caller& caller, CallAnswer answer) {
  if (!answer.session_token.empty()) caller.token = answer.session_token;
  return answer;
}

CallAnswer ProxyWorld::write(Caller& caller, const std::string& value, Duration time_limit) {
  auto request =
      next_request(caller, StatementKind::kWrite, standins::callers::make_append_text(key(), value));
  request.time_limit = time_limit;
  return remember(caller, run(caller.client.execute(std::move(request))));
}

CallAnswer ProxyWorld::read(Caller& caller, Duration time_limit) {
  auto request = next_request(caller, StatementKind::kRead, standins::callers::make_get_text(key()));
  request.time_limit = time_limit;
  return remember(caller, run(caller.client.execute(std::move(request))));
}

CallAnswer ProxyWorld::begin(Caller& caller) {
  return run(caller.client.begin(next_request(caller, StatementKind::kWrite, "")));
}

CallAnswer ProxyWorld::execute_in(Caller& caller, const std::string& transaction, const std::string& value) {
  auto request =
      next_request(caller, StatementKind::kWrite, standins::callers::make_append_text(key(), value));
  return run(caller.client.execute_in(transaction, std::move(request)));
}

CallAnswer ProxyWorld::commit(Caller& caller, const std::string& transaction) {
  auto request = next_request(caller, StatementKind::kWrite, "");
  return remember(caller, run(caller.client.commit(transaction, std::move(request))));
}

CallAnswer ProxyWorld::rollback(Caller& caller, const std::string& transaction) {
  return run(caller.client.rollback(transaction));
}

namespace {

Awaitable<runtime::HttpResponse> exchange_once(runtime::Runtime& runtime, Endpoint endpoint,
                                               runtime::HttpRequest request) {
  Reason reason;
  const TimePoint deadline = runtime.now() + seconds(30);
  const auto connection = co_await runtime.http().connect(std::move(endpoint), deadline, reason);
  if (!connection) throw std::runtime_error(reason.to_string());
  auto sent = runtime::SendState::kNotSent;
  auto response = co_await connection->exchange(std::move(request), deadline, sent, reason);
  if (!response) throw std::runtime_error(reason.to_string());
  co_return std::move(*response);
}

runtime::HttpRequest post_request(const std::string& target, const std::string& body) {
  runtime::HttpRequest request;
  request.method = runtime::HttpMethod::kPost;
  request.target = target;
  request.body = body;
  return request;
}

}  // namespace

runtime::HttpResponse ProxyWorld::exchange(std::uint32_t proxy_index, runtime::HttpRequest request) {
  return run(exchange_once(*operator_, proxy_endpoint(proxy_index), std::move(request)));
}

runtime::HttpResponse ProxyWorld::get(std::uint32_t proxy_index, const std::string& target) {
  runtime::HttpRequest request;
  request.target = target;
  return exchange(proxy_index, std::move(request));
}

runtime::HttpResponse ProxyWorld::post(std::uint32_t proxy_index, const std::string& target,
                                       const std::string& body) {
  return exchange(proxy_index, post_request(target, body));
}

void ProxyWorld::set_faults(std::uint32_t database_index, const std::string& json) {
  const auto response =
      run(exchange_once(*operator_, database_endpoint(database_index), post_request("/admin/faults", json)));
  if (response.status != 200) throw std::runtime_error("the fault settings were rejected: " + response.body);
}

}  // namespace cairnhollow::declared::proxy
