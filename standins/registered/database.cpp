#include "standins/registered/database.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <map>

#include "platform/wire_words.h"

namespace cairnhollow::standins::registered {

namespace {

namespace words = ::cairnhollow::platform;
using cairnhollow::registered::Answer;
using cairnhollow::registered::Refusal;
using cairnhollow::registered::StatementKind;
using cairnhollow::registered::TransactionState;
using words::take_word;

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(400);
constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
constexpr unsigned kElsewhere = 307;
constexpr Duration kReplicationStep = std::chrono::milliseconds(4);

/// One connection's state.
struct Connection {
  std::shared_ptr<runtime::LineConnection> lines;
  std::map<std::string, std::string> values;
  std::map<std::string, cairnhollow::registered::Statement> prepared;
  TransactionState state = TransactionState::kIdle;
  bool read_only = false;
  std::uint64_t begun_in_term = 0;
  std::vector<LogEntry> writes;  ///< of the open transaction
};

class DatabaseRole : public Database {
 public:
  DatabaseRole(runtime::Runtime& runtime, GroupModel& model, DatabaseSettings settings)
      : runtime_(runtime), model_(model), settings_(std::move(settings)) {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(runtime.now().time_since_epoch());
    if (settings_.tells_birth) born_ms_ = 1 + static_cast<std::uint64_t>(now.count());
  }

  Awaitable<bool> start(Reason& reason) override {
    listener_ = runtime_.lines().listen(settings_.endpoint, reason);
    if (!listener_) co_return false;
    state().running = true;
    if (settings_.cold_for > Duration(0)) turn_cold(settings_.cold_for);
    runtime_.spawn("database_accept", accept());
    runtime_.spawn("database_replicate", replicate());
    runtime_.spawn("database_heartbeat", beat());
    co_return true;
  }
  Awaitable<void> drain() override {
    stopped_ = true;
    state().running = false;
    listener_->close();
    co_return;
  }
  void leave() override { leaving_ = true; }
  void crash() override {
    stopped_ = true;
    state().running = false;
    listener_->close();
    reset_connections();
  }
  void break_off(bool breaks_off) override { breaks_off_ = breaks_off; }
  void turn_cold(Duration rest) override { cold_until_ = runtime_.now() + rest; }
  [[nodiscard]] const std::vector<TimePoint>& arrivals() const override { return arrivals_; }
  void reset_connections() override {
    for (const auto& open : open_) {
      if (const auto lines = open.lock()) lines->close();
    }
  }
  void deregister() override { runtime_.spawn("database_deregister", call_control(true)); }
  [[nodiscard]] std::uint64_t statements_run() const override { return statements_run_; }
  [[nodiscard]] std::uint64_t heartbeats_elsewhere() const override { return heartbeats_elsewhere_; }

 private:
  MemberState& state() { return model_.member(settings_.backend); }

  Awaitable<void> accept() {
    while (!stopped_) {
      Reason reason;
      auto lines = co_await listener_->accept(reason);
      if (!lines) co_return;
      runtime_.spawn("database_session", serve(std::move(lines)));
    }
  }

  Awaitable<void> replicate() {
    while (!stopped_) {
      model_.replicate(settings_.backend, runtime_.now());
      co_await runtime_.sleep_for(kReplicationStep);
    }
  }

  Awaitable<void> beat() {
    while (!stopped_) {
      co_await call_control(false);
      co_await runtime_.sleep_for(kHeartbeatInterval);
    }
  }

  runtime::HttpRequest heartbeat(bool deregisters) {
    const Duration cold = std::max(cold_until_ - runtime_.now(), Duration(0));
    const Heartbeat said{leaving_, state().primary, ++sequence_, born_ms_,
                         static_cast<std::uint64_t>(in_ms(cold))};
    runtime::HttpRequest request = print_heartbeat(settings_, model_.name(), said);
    if (!deregisters) return request;
    request.method = runtime::HttpMethod::kDelete;
    request.body.clear();
    return request;
  }

  Awaitable<void> call_control(bool deregisters) {
    std::optional<Endpoint> told = heartbeat_endpoint_;
    for (std::size_t attempt = 0; attempt <= settings_.control_endpoints.size(); ++attempt) {
      const Endpoint next = settings_.control_endpoints[next_control_++ % settings_.control_endpoints.size()];
      const Endpoint endpoint = told.value_or(next);
      told.reset();
      Reason reason;
      const TimePoint deadline = runtime_.now() + kCallTimeout;
      const auto connection = co_await runtime_.http().connect(endpoint, deadline, reason);
      if (!connection) heartbeat_endpoint_.reset();
      if (!connection) continue;
      runtime::SendState sent = runtime::SendState::kNotSent;
      runtime::HttpRequest request = heartbeat(deregisters);
      const auto response = co_await connection->exchange(std::move(request), deadline, sent, reason);
      connection->close();
      if (response && response->status / 100 == 2) {
        record_heartbeat_endpoint(response->body);
        if (endpoint == heartbeat_endpoint_) ++heartbeats_elsewhere_;
        co_return;
      }
      heartbeat_endpoint_.reset();
      if (response && response->status == kElsewhere) told = location_of(*response);
    }
  }

  void record_heartbeat_endpoint(const std::string& body) {
    boost::system::error_code error;
    const auto answer = boost::json::parse(body, error);
    if (error || !answer.is_object() || !answer.as_object().contains("HeartbeatAddr")) return;
    heartbeat_endpoint_ = parse_endpoint(std::string(answer.at("HeartbeatAddr").as_string()));
  }

  static std::optional<Endpoint> location_of(const runtime::HttpResponse& response) {
    const std::string location = response.headers.find("location").value_or("");
    constexpr std::string_view kScheme = "http://";
    if (!location.starts_with(kScheme)) return std::nullopt;
    const auto path = location.find('/', kScheme.size());
    return parse_endpoint(location.substr(kScheme.size(), path - kScheme.size()));
  }

  Awaitable<void> serve(std::shared_ptr<runtime::LineConnection> lines) {
    Connection connection;
    connection.lines = lines;
    std::erase_if(open_, [](const auto& open) { return open.expired(); });
    open_.push_back(lines);
    Reason reason;
    const auto start = co_await lines->read_line(TimePoint::max(), reason);
    if (!start) co_return;
    std::string_view rest = *start;
    take_word(rest);
    const std::string_view service = take_word(rest);
    const TenantName tenant{std::string(take_word(rest))};
    const bool expected = service == model_.name().value && rest == settings_.backend.value;
    std::string greeting = expected ? "READY I -\r\n" : "ERR MISROUTED other\r\n";
    co_await lines->write(std::move(greeting), reason);
    while (expected && !stopped_) {
      const auto line = co_await lines->read_line(TimePoint::max(), reason);
      if (!line) break;
      std::string_view text = *line;
      take_word(text);
      const std::string_view id = take_word(text);
      if (settings_.zones != nullptr && id != "-")
        settings_.zones->arrived.push_back(
            {std::string(id), settings_.backend, settings_.zone, runtime_.now()});
      if (breaks_off_ && id != "-") {
        lines->close();
        co_return;
      }
      if (id != "-") arrivals_.push_back(runtime_.now());
      const std::string statement_id(id);
      Answer answer = co_await answer_text(connection, statement_id, std::string(text));
      if (settings_.tenants != nullptr && answer.signature == "signed-" + statement_id)
        settings_.tenants->runs.push_back({statement_id, tenant, runtime_.now()});
      if (settings_.regions != nullptr && answer.signature == "signed-" + statement_id)
        settings_.regions->placed.push_back({statement_id, settings_.zone, true, runtime_.now()});
      if (runtime_.random().unit() < settings_.lost_answers && id != "-") co_return;
      answer.state = connection.state;
      const std::uint64_t applied = model_.applied(settings_.backend, runtime_.now());
      answer.position = Position{applied == 0 ? 1 : state().log[applied - 1].term, applied};
      std::string printed = words::print_answer(answer);
      const bool sent = co_await lines->write(std::move(printed), reason);
      if (!sent) break;
    }
  }

  static Answer refuse(Connection& connection, Refusal refusal) {
    Answer answer;
    answer.refusal = refusal;
    if (connection.state == TransactionState::kOpen) connection.state = TransactionState::kFailed;
    return answer;
  }
  static Answer done(std::string signature = "-") {
    Answer answer;
    answer.signature = std::move(signature);
    return answer;
  }

  Awaitable<Answer> answer_text(Connection& connection, std::string id, std::string text) {
    std::string_view rest = text;
    std::optional<Position> required;
    if (rest.starts_with("AFTER ")) {
      take_word(rest);
      required = words::parse_position(take_word(rest));
    }
    if (rest == "STATUS" || rest == "RESUME" || rest.starts_with("DEMOTE ") || rest.starts_with("PAUSE "))
      co_return answer_status(rest);
    if (rest == "RESET") {
      connection.values.clear();
      connection.prepared.clear();
      co_return done();
    }
    cairnhollow::registered::Statement statement = words::parse_statement(id, rest);
    if (statement.kind == StatementKind::kExecute) {
      const auto prepared = connection.prepared.find(statement.name);
      if (prepared == connection.prepared.end()) co_return refuse(connection, Refusal::kUnknownStatement);
      const std::string verb = prepared->second.writes ? "WRITE " : "READ ";
      const std::string record = prepared->second.argument + "/" + statement.argument;
      statement = words::parse_statement(id, verb + record);
    }
    if (required && !model_.holds(settings_.backend, *required, runtime_.now()))
      co_return refuse(connection, Refusal::kTooStale);
    co_return co_await run(connection, std::move(statement));
  }

  Answer answer_status(std::string_view text) {
    const std::string_view order = take_word(text);
    if (order == "DEMOTE") model_.demote(settings_.backend, std::stoull(std::string(text)));
    if (order == "PAUSE") model_.pause(settings_.backend, std::stoull(std::string(text)));
    if (order == "RESUME") model_.resume(settings_.backend);
    Answer answer = done();
    const Position received = state().received();
    answer.rows.push_back(fmt::format("{} {} {}.{} {} 0 0 1", state().primary ? "primary" : "replica",
                                      state().term, received.term, received.index, state().pause_term));
    return answer;
  }

  Awaitable<Answer> run(Connection& connection, cairnhollow::registered::Statement statement) {
    const bool in_failed = connection.state == TransactionState::kFailed;
    switch (statement.kind) {
      case StatementKind::kSetValue:
        connection.values[statement.name] = statement.argument;
        co_return done();
      case StatementKind::kPrepare:
        connection.prepared[statement.name] = statement;
        co_return done();
      case StatementKind::kBegin:
      case StatementKind::kBeginReadOnly:
        if (statement.kind == StatementKind::kBegin && !state().primary)
          co_return refuse(connection, Refusal::kNotPrimary);
        connection.state = TransactionState::kOpen;
        connection.read_only = statement.kind == StatementKind::kBeginReadOnly;
        connection.begun_in_term = state().term;
        co_return done();
      case StatementKind::kRollback:
        connection.state = TransactionState::kIdle;
        connection.writes.clear();
        co_return done();
      case StatementKind::kCommit:
        if (in_failed) break;
        co_return co_await commit(connection, statement.id);
      case StatementKind::kRead:
        if (in_failed) break;
        co_return co_await read(connection, std::move(statement));
      case StatementKind::kWrite:
        if (in_failed) break;
        co_return co_await write(connection, std::move(statement));
      default:
        break;
    }
    co_return refuse(connection, Refusal::kMalformed);
  }

  Awaitable<Answer> read(Connection& connection, cairnhollow::registered::Statement statement) {
    ++statements_run_;
    co_await runtime_.sleep_for(settings_.work);
    std::string_view record = statement.text;
    take_word(record);
    std::string tokens = model_.read(settings_.backend, std::string(record), runtime_.now());
    for (const LogEntry& entry : connection.writes) {
      if (entry.record == record) tokens += (tokens.empty() ? "" : ",") + entry.token;
    }
    Answer answer = done("signed-" + statement.id);
    answer.rows.push_back(fmt::format("{} {}", connection.values["tag"], tokens));
    co_return answer;
  }

  Awaitable<Answer> write(Connection& connection, cairnhollow::registered::Statement statement) {
    if (!state().primary || connection.read_only) co_return refuse(connection, Refusal::kNotPrimary);
    ++statements_run_;
    co_await runtime_.sleep_for(settings_.work);
    std::string_view rest = statement.text;
    take_word(rest);
    const std::string record(take_word(rest));
    connection.writes.push_back({state().term, record, std::string(rest)});
    if (connection.state == TransactionState::kOpen) co_return done("signed-" + statement.id);
    co_return co_await apply_writes(connection, statement.id);
  }

  Awaitable<Answer> commit(Connection& connection, std::string id) {
    const bool lost_lead = connection.begun_in_term != state().term || !state().primary;
    if (lost_lead && !connection.writes.empty()) co_return refuse(connection, Refusal::kNotPrimary);
    co_return co_await apply_writes(connection, std::move(id));
  }

  /// Answered once one replica has received the last of them.
  Awaitable<Answer> apply_writes(Connection& connection, std::string id) {
    std::uint64_t index = 0;
    for (const LogEntry& entry : connection.writes)
      index = model_.append(settings_.backend, entry.record, entry.token, runtime_.now());
    connection.writes.clear();
    connection.state = TransactionState::kIdle;
    connection.read_only = false;
    const std::uint64_t term = state().term;
    while (index > 0 && !model_.is_replicated(settings_.backend, index)) {
      if (!state().primary || state().term != term) co_return refuse(connection, Refusal::kFailed);
      co_await runtime_.sleep_for(kReplicationStep);
    }
    co_return done("signed-" + id);
  }

  runtime::Runtime& runtime_;
  GroupModel& model_;
  DatabaseSettings settings_;
  std::unique_ptr<runtime::LineListener> listener_;
  std::vector<std::weak_ptr<runtime::LineConnection>> open_;
  std::size_t next_control_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t born_ms_ = 0;
  std::uint64_t statements_run_ = 0;
  std::optional<Endpoint> heartbeat_endpoint_;  ///< told in an answer; until a heartbeat fails there
  std::uint64_t heartbeats_elsewhere_ = 0;
  bool leaving_ = false;
  bool stopped_ = false;
  TimePoint cold_until_{};
  std::vector<TimePoint> arrivals_;
  bool breaks_off_ = false;
};

}  // namespace

runtime::HttpRequest print_heartbeat(const DatabaseSettings& settings, const GroupName& group,
                                     const Heartbeat& heartbeat) {
  boost::json::object body{{"Service", group.value},
                           {"Addr", settings.endpoint.to_string()},
                           {"Zone", settings.zone.value},
                           {"Version", "v1"},
                           {"Slots", settings.slots},
                           {"State", heartbeat.leaving ? "draining" : "ready"},
                           {"ColdRemainingMs", heartbeat.cold_ms},
                           {"DbRole", heartbeat.is_primary ? "primary" : "replica"},
                           {"Seq", heartbeat.sequence}};
  if (heartbeat.born_ms > 0) body["born"] = heartbeat.born_ms;
  runtime::HttpRequest request;
  request.method = runtime::HttpMethod::kPut;
  request.target = "/instances/" + settings.backend.value;
  request.body = boost::json::serialize(body);
  return request;
}

std::unique_ptr<Database> make_database(runtime::Runtime& runtime, GroupModel& model,
                                        DatabaseSettings settings) {
  return std::make_unique<DatabaseRole>(runtime, model, std::move(settings));
}

}  // namespace cairnhollow::standins::registered
