#include "standins/callers/proxy_client.h"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace cairnhollow::standins::callers {

namespace json = boost::json;

namespace {

constexpr Duration kConnectLimit = std::chrono::seconds(1);
/// The caller waits this much longer than the deadline it states, for the answer's way back.
constexpr Duration kAnswerGrace = std::chrono::milliseconds(500);
constexpr Duration kRollbackLimit = std::chrono::seconds(2);

std::int64_t whole_milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string_view priority_text(Priority priority) {
  switch (priority) {
    case Priority::kHigh:
      return "high";
    case Priority::kNormal:
      return "normal";
    case Priority::kLow:
      return "low";
  }
  return "normal";
}

std::string string_member(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

bool bool_member(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_bool() && value->get_bool();
}

ReasonCode reason_code_from_name(const std::string& name) {
  for (int code = 1; code <= static_cast<int>(ReasonCode::kInternal); ++code) {
    if (reason_code_name(static_cast<ReasonCode>(code)) == name) return static_cast<ReasonCode>(code);
  }
  return ReasonCode::kInternal;
}

void add_request_id(json::object& body, const StatementRequest& request) {
  if (request.id.number == 0) return;
  body["session"] = request.id.session.value;
  body["number"] = request.id.number;
  body["answered_up_to"] = request.answered_up_to;
}

void add_token(json::object& body, const std::string& token) {
  if (!token.empty()) body["session_token"] = token;
}

json::object placement_body(const StatementRequest& request) {
  json::object body{{"database", request.database},
                    {"partition_key", request.partition_key},
                    {"deadline_ms", whole_milliseconds(request.time_limit)}};
  add_token(body, request.session_token);
  return body;
}

/// A body that is not what the API promises counts as no answer: the statement may have run.
CallAnswer broken_answer(const Endpoint& proxy, unsigned status) {
  CallAnswer answer;
  answer.reason = {ReasonCode::kCorrupt, "read_answer", proxy.to_string(),
                   fmt::format("status {} without the documented body", status)};
  return answer;
}

CallAnswer read_success(const json::object& body) {
  CallAnswer answer;
  answer.outcome = CallOutcome::kDone;
  answer.stated_outcome = string_member(body, "outcome");
  answer.result = string_member(body, "result");
  answer.session_token = string_member(body, "session_token");
  answer.backend = string_member(body, "backend");
  answer.backend_is_primary = bool_member(body, "backend_is_primary");
  answer.request_id = string_member(body, "request_id");
  answer.transaction = string_member(body, "transaction");
  return answer;
}

CallAnswer read_refusal(const json::object& body) {
  CallAnswer answer;
  const bool not_run = string_member(body, "outcome") == "not_run";
  answer.outcome = not_run ? CallOutcome::kNotRun : CallOutcome::kUnknown;
  answer.request_id = string_member(body, "request_id");
  answer.reason = {reason_code_from_name(string_member(body, "code")), string_member(body, "step"),
                   string_member(body, "peer"), string_member(body, "detail")};
  const json::value* retry_after = body.if_contains("retry_after_ms");
  if (retry_after != nullptr && retry_after->is_number()) {
    answer.retry_after = std::chrono::milliseconds(retry_after->to_number<std::int64_t>());
  }
  return answer;
}

CallAnswer read_answer(const runtime::HttpResponse& response, const Endpoint& proxy) {
  boost::system::error_code error;
  const json::value document = json::parse(response.body, error);
  if (error || !document.is_object()) return broken_answer(proxy, response.status);
  const json::object& body = document.get_object();
  if (response.status == 200) return read_success(body);
  if (!body.contains("outcome")) return broken_answer(proxy, response.status);
  return read_refusal(body);
}

}  // namespace

std::string request_id_text(const RequestId& id) { return fmt::format("{}:{}", id.session.value, id.number); }

ProxyClient::ProxyClient(runtime::Runtime& runtime, Endpoint proxy)
    : runtime_(runtime), proxy_(std::move(proxy)) {}

void ProxyClient::move_to(const Endpoint& proxy) {
  if (connection_ != nullptr) connection_->close();
  connection_.reset();
  proxy_ = proxy;
}

Awaitable<bool> ProxyClient::ensure_connection(TimePoint deadline, Reason& reason) {
  if (is_connected()) co_return true;
  connection_ = co_await runtime_.http().connect(proxy_, deadline, reason);
  co_return connection_ != nullptr;
}

Awaitable<CallAnswer> ProxyClient::post(std::string target, std::string body, Duration time_limit) {
  CallAnswer failed;
  const TimePoint start = runtime_.now();
  const bool connected = co_await ensure_connection(start + kConnectLimit, failed.reason);
  if (!connected) {
    failed.outcome = CallOutcome::kNotRun;
    co_return failed;
  }
  runtime::HttpRequest request;
  request.method = runtime::HttpMethod::kPost;
  request.target = std::move(target);
  request.headers.fields["content-type"] = "application/json";
  request.body = std::move(body);
  runtime::SendState sent = runtime::SendState::kNotSent;
  const TimePoint deadline = runtime_.now() + time_limit + kAnswerGrace;
  const auto connection = connection_;
  const auto response = co_await connection->exchange(std::move(request), deadline, sent, failed.reason);
  if (!response) {
    const bool not_sent = sent == runtime::SendState::kNotSent;
    failed.outcome = not_sent ? CallOutcome::kNotRun : CallOutcome::kNoAnswer;
    co_return failed;
  }
  co_return read_answer(*response, proxy_);
}

Awaitable<CallAnswer> ProxyClient::execute(StatementRequest request) {
  json::object body = placement_body(request);
  body["kind"] = request.kind == StatementKind::kRead ? "read" : "write";
  body["text"] = request.text;
  body["repeatable"] = request.repeatable;
  body["priority"] = priority_text(request.priority);
  add_request_id(body, request);
  co_return co_await post("/v1/statements", json::serialize(body), request.time_limit);
}

Awaitable<CallAnswer> ProxyClient::begin(StatementRequest request) {
  json::object body = placement_body(request);
  body["priority"] = priority_text(request.priority);
  co_return co_await post("/v1/transactions", json::serialize(body), request.time_limit);
}

Awaitable<CallAnswer> ProxyClient::execute_in(std::string transaction, StatementRequest request) {
  json::object body{{"kind", request.kind == StatementKind::kRead ? "read" : "write"},
                    {"text", request.text},
                    {"deadline_ms", whole_milliseconds(request.time_limit)}};
  const std::string target = "/v1/transactions/" + transaction + "/statements";
  co_return co_await post(target, json::serialize(body), request.time_limit);
}

Awaitable<CallAnswer> ProxyClient::commit(std::string transaction, StatementRequest request) {
  json::object body = placement_body(request);
  add_request_id(body, request);
  const std::string target = "/v1/transactions/" + transaction + "/commit";
  co_return co_await post(target, json::serialize(body), request.time_limit);
}

Awaitable<CallAnswer> ProxyClient::rollback(std::string transaction) {
  const json::object body{{"deadline_ms", whole_milliseconds(kRollbackLimit)}};
  const std::string target = "/v1/transactions/" + transaction + "/rollback";
  co_return co_await post(target, json::serialize(body), kRollbackLimit);
}

Awaitable<std::optional<ResolvedAnswer>> ProxyClient::resolve(ResolveRequest request, Duration time_limit,
                                                              Reason& reason) {
  json::object body{{"database", request.database},
                    {"partition_key", request.partition_key},
                    {"session", request.id.session.value},
                    {"number", request.id.number},
                    {"deadline_ms", whole_milliseconds(time_limit)}};
  add_token(body, request.session_token);
  const CallAnswer reply = co_await post("/v1/resolve", json::serialize(body), time_limit);
  if (reply.outcome != CallOutcome::kDone) {
    reason = reply.reason;
    co_return std::nullopt;
  }
  ResolvedAnswer answer;
  answer.outcome =
      reply.stated_outcome == "committed" ? ResolvedOutcome::kCommitted : ResolvedOutcome::kAborted;
  answer.session_token = reply.session_token;
  answer.backend = reply.backend;
  answer.request_id = reply.request_id;
  co_return answer;
}

}  // namespace cairnhollow::standins::callers
