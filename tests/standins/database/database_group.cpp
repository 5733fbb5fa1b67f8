#include "tests/standins/database/database_group.h"

#include "standins/database/database_server.h"

namespace cairnhollow::standins::database {

namespace {

constexpr Duration kCallTime = std::chrono::seconds(2);
constexpr std::uint16_t kPort = 5000;
const std::vector<std::string>& member_names() {
  static const std::vector<std::string> names{"a", "b", "c"};
  return names;
}

DatabaseSettings settings_of(const std::string& name) {
  DatabaseSettings settings;
  settings.backend = BackendName(name);
  settings.group = GroupName("records");
  settings.zone = ZoneName(name);
  settings.endpoint = DatabaseGroup::endpoint(name);
  for (const auto& member : member_names()) {
    settings.initial_members.push_back({BackendName(member), DatabaseGroup::endpoint(member)});
  }
  return settings;
}

Awaitable<std::optional<runtime::HttpResponse>> post(runtime::Runtime& runtime, Endpoint endpoint,
                                                     std::string target, std::string body) {
  Reason reason;
  const auto deadline = runtime.now() + kCallTime;
  const auto connection = co_await runtime.http().connect(endpoint, deadline, reason);
  if (!connection) co_return std::nullopt;
  runtime::HttpRequest request;
  request.method = runtime::HttpMethod::kPost;
  request.target = std::move(target);
  request.body = std::move(body);
  auto sent = runtime::SendState::kNotSent;
  auto response = co_await connection->exchange(std::move(request), deadline, sent, reason);
  connection->close();
  co_return response;
}

}  // namespace

DatabaseGroup::DatabaseGroup(std::uint64_t seed, void (*change)(DatabaseSettings&)) {
  simulation::WorldSettings world_settings;
  world_settings.seed = seed;
  world_ = std::make_unique<simulation::World>(world_settings);
  world_->start_bare({"caller", "10.0.0.9", ZoneName("caller")});
  for (const auto& name : member_names()) {
    auto settings = settings_of(name);
    if (change != nullptr) change(settings);
    world_->start({name, settings.endpoint.address, settings.zone},
                  [settings](runtime::Runtime& runtime) { return make_database(runtime, settings); });
  }
  statement_connector_ = declared::backend::make_http_backend_connector(
      caller(), declared::backend::ConnectionPurpose::kStatements);
  control_connector_ = declared::backend::make_http_backend_connector(
      caller(), declared::backend::ConnectionPurpose::kControl);
  world_->run_for(std::chrono::milliseconds(50));
}

DatabaseGroup::~DatabaseGroup() {
  control_.clear();
  statements_.clear();
  world_.reset();
}

Endpoint DatabaseGroup::endpoint(const std::string& member) {
  for (std::size_t number = 0; number < member_names().size(); ++number) {
    if (member_names()[number] == member) return {"10.0.0." + std::to_string(number + 1), kPort};
  }
  throw std::invalid_argument("no member " + member);
}

std::shared_ptr<declared::backend::BackendConnection> DatabaseGroup::connect(
    const std::string& member, declared::backend::ConnectionPurpose purpose) {
  auto& connector = purpose == declared::backend::ConnectionPurpose::kStatements ? *statement_connector_
                                                                                 : *control_connector_;
  reason_ = Reason{};
  return run(connector.open(BackendName(member), endpoint(member), in(kCallTime), reason_));
}

declared::backend::BackendConnection& DatabaseGroup::control(const std::string& member) {
  auto& connection = control_[member];
  if (!connection || !connection->is_open()) {
    connection = connect(member, declared::backend::ConnectionPurpose::kControl);
  }
  if (!connection) throw std::runtime_error("no connection to " + member);
  return *connection;
}

declared::backend::BackendConnection& DatabaseGroup::statements(const std::string& member) {
  auto& connection = statements_[member];
  if (!connection || !connection->is_open()) connection = connect(member);
  if (!connection) throw std::runtime_error("no connection to " + member);
  return *connection;
}

std::optional<declared::backend::FenceAnswer> DatabaseGroup::fence(const std::string& member,
                                                                   std::uint64_t term,
                                                                   const std::string& owner) {
  auto& connection = control(member);
  reason_ = Reason{};
  return run(connection.fence(term, owner, in(kCallTime), reason_));
}

bool DatabaseGroup::promote(const std::string& member, std::uint64_t term, const std::string& owner) {
  auto& connection = control(member);
  reason_ = Reason{};
  return run(connection.promote(term, owner, in(kCallTime), reason_));
}

bool DatabaseGroup::follow(const std::string& member, std::uint64_t term, const std::string& primary) {
  auto& connection = control(member);
  reason_ = Reason{};
  return run(connection.follow(term, BackendName(primary), endpoint(primary), in(kCallTime), reason_));
}

std::string DatabaseGroup::fail_over(std::uint64_t term, const std::string& owner,
                                     const std::vector<std::string>& members) {
  std::string best;
  Position longest;
  for (const auto& member : members) {
    const auto answer = fence(member, term, owner);
    if (!answer || !answer->granted) return "";
    if (best.empty() || answer->last > longest) {
      best = member;
      longest = answer->last;
    }
  }
  if (!promote(best, term, owner)) return "";
  for (const auto& member : members) {
    if (member != best && !follow(member, term, best)) return "";
  }
  return best;
}

std::optional<declared::backend::BackendStatus> DatabaseGroup::status(const std::string& member) {
  auto& connection = control(member);
  reason_ = Reason{};
  return run(connection.status(in(kCallTime), reason_));
}

declared::backend::Statement DatabaseGroup::append_statement(const std::string& value) {
  declared::backend::Statement statement;
  statement.kind = declared::backend::StatementKind::kWrite;
  statement.database = DatabaseName("learners");
  statement.text = R"({"op":"append","record":"r","value":")" + value + "\"}";
  return statement;
}

declared::backend::Statement DatabaseGroup::read_statement() {
  declared::backend::Statement statement;
  statement.database = DatabaseName("learners");
  statement.text = R"({"op":"get","record":"r"})";
  return statement;
}

declared::backend::Requirements DatabaseGroup::requirements(std::uint64_t term,
                                                            std::optional<RequestId> request) {
  declared::backend::Requirements requirements;
  requirements.term = term;
  requirements.deadline = in(kCallTime);
  requirements.request_id = std::move(request);
  return requirements;
}

declared::backend::ExecuteAnswer DatabaseGroup::append(const std::string& member, std::uint64_t term,
                                                       const std::string& value,
                                                       std::optional<RequestId> request,
                                                       std::uint64_t answered_up_to) {
  auto& connection = statements(member);
  auto wanted = requirements(term, std::move(request));
  wanted.answered_up_to = answered_up_to;
  reason_ = Reason{};
  return run(connection.execute(append_statement(value), std::move(wanted), reason_));
}

declared::backend::ExecuteAnswer DatabaseGroup::read(const std::string& member, Position minimum,
                                                     Duration wait) {
  auto& connection = statements(member);
  auto wanted = requirements(0);
  wanted.minimum_position = minimum;
  wanted.wait_for_position = wait;
  reason_ = Reason{};
  return run(connection.execute(read_statement(), std::move(wanted), reason_));
}

std::string DatabaseGroup::content(const std::string& member) {
  const auto answer = read(member, Position{}, Duration(0));
  const auto* rows = std::get_if<declared::backend::Rows>(&answer);
  return rows != nullptr ? rows->body : reason_.to_string();
}

void DatabaseGroup::isolate(const std::string& member) {
  auto& faults = world_->network().faults();
  for (const auto& other : member_names()) {
    if (other == member) continue;
    faults.cut_machines(endpoint(member).address, endpoint(other).address);
    faults.cut_machines(endpoint(other).address, endpoint(member).address);
  }
}

std::optional<declared::backend::ResolveAnswer> DatabaseGroup::resolve(const std::string& member,
                                                                       std::uint64_t term,
                                                                       const RequestId& request) {
  auto& connection = control(member);
  reason_ = Reason{};
  return run(connection.resolve(request, term, in(kCallTime), reason_));
}

bool DatabaseGroup::set_faults(const std::string& member, const std::string& body) {
  const auto response = run(post(caller(), endpoint(member), "/admin/faults", body));
  return response && response->status == 200;
}

}  // namespace cairnhollow::standins::database
