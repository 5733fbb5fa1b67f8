#include "declared/proxy/forwarding/forward_messages.h"

#include <boost/json.hpp>

#include "declared/proxy/calls/caller_request.h"

namespace cairnhollow::declared::proxy {

namespace json = boost::json;
using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

constexpr unsigned kOk = 200;
constexpr const char* kIdempotencyKey = "idempotency-key";

std::optional<json::object> parse_body(const HttpResponse& response) {
  boost::system::error_code error;
  auto value = json::parse(response.body, error);
  if (error || !value.is_object()) return std::nullopt;
  return std::move(value.as_object());
}

std::string text_member(const json::object& body, std::string_view name) {
  const auto* value = body.if_contains(name);
  return value != nullptr && value->is_string() ? json::value_to<std::string>(*value) : std::string();
}

}  // namespace

bool is_forwarded(const HttpRequest& request) { return request.headers.fields.contains(kForwardedByHeader); }

HttpRequest forwarded_request(const HttpRequest& request, const NodeName& by, Duration time_left) {
  HttpRequest forwarded;
  forwarded.method = request.method;
  forwarded.target = request.target;
  forwarded.body = request.body;
  forwarded.headers.fields["content-type"] = "application/json";
  const auto key = request.headers.find(kIdempotencyKey);
  if (key) forwarded.headers.fields[kIdempotencyKey] = *key;
  const auto milliseconds = std::chrono::floor<std::chrono::milliseconds>(time_left).count();
  forwarded.headers.fields[kForwardedByHeader] = by.value;
  forwarded.headers.fields[kTimeLeftHeader] = std::to_string(milliseconds);
  return forwarded;
}

HttpRequest resolve_request(const LedgerQuery& query) {
  json::object labels;
  for (const auto& [key, value] : query.labels.entries) labels[key] = value;
  json::object body{{"database", query.database.value},
                    {"partition_key", query.partition_key},
                    {"session", query.request_id.session.value},
                    {"number", query.request_id.number},
                    {"labels", labels}};
  if (query.token) body["session_token"] = routing::encode_session_token(*query.token);
  HttpRequest request;
  request.method = runtime::HttpMethod::kPost;
  request.target = "/v1/resolve";
  request.body = json::serialize(body);
  return request;
}

std::optional<ResolvedAnswer> parse_resolve_answer(const HttpResponse& response, const std::string& peer,
                                                   Reason& reason) {
  auto body = response.status == kOk ? parse_body(response) : std::nullopt;
  const auto outcome = body ? text_member(*body, "outcome") : std::string();
  if (outcome == "committed") {
    (*body)["outcome"] = "done";
    (*body)["backend_is_primary"] = true;
    ResolvedAnswer resolved;
    resolved.response = to_caller_response(response);
    resolved.response.body = json::serialize(*body);
    return resolved;
  }
  if (outcome == "aborted") {
    ResolvedAnswer resolved;
    resolved.aborted = refuse(Reason{ReasonCode::kAborted, "resolve", text_member(*body, "backend"),
                                     "recorded as aborted: the request did not run and can never run"});
    return resolved;
  }
  const auto problem = http::parse_problem(response.body);
  reason = problem ? problem->reason
                   : Reason{ReasonCode::kConnectionLost, "resolve", peer, "the proxy's answer is malformed"};
  return std::nullopt;
}

std::optional<TransactionId> parse_transaction_id(const HttpResponse& response) {
  const auto body = response.status == kOk ? parse_body(response) : std::nullopt;
  if (!body) return std::nullopt;
  auto id = text_member(*body, "transaction");
  if (id.empty()) return std::nullopt;
  return TransactionId(std::move(id));
}

HttpResponse to_caller_response(HttpResponse response) {
  HttpResponse passed;
  passed.status = response.status;
  passed.body = std::move(response.body);
  for (const auto* name : {"content-type", "retry-after"}) {
    const auto field = response.headers.find(name);
    if (field) passed.headers.fields[name] = *field;
  }
  return passed;
}

}  // namespace cairnhollow::declared::proxy
