#include "declared/proxy/calls/caller_answer.h"

#include <boost/json.hpp>

#include "declared/proxy/calls/caller_request.h"

namespace cairnhollow::declared::proxy {

namespace json = boost::json;
using runtime::HttpResponse;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

/// The proxy answers on behalf of its backends, so an unreachable backend is reported as the proxy's own
/// unavailability.
unsigned caller_status(ReasonCode code) {
  switch (code) {
    case ReasonCode::kUnreachable:
    case ReasonCode::kConnectionLost:
      return kServiceUnavailable;
    case ReasonCode::kOutcomeUnknown:
      return kGatewayTimeout;
    default:
      return http::status_for(code);
  }
}

HttpResponse json_answer(const json::object& body) {
  return text_answer(kOk, "application/json", json::serialize(body));
}

json::object backend_members(const Done& done, std::string_view outcome) {
  return json::object{{"outcome", outcome}, {"result", done.result}, {"backend", done.backend.value}};
}

void add_token(json::object& body, const Done& done, const AnswerContext& context) {
  auto token = context.token.value_or(routing::SessionToken{});
  token.observe(done.group, done.position);
  body["session_token"] = routing::encode_session_token(token);
}

void add_request_id(json::object& body, const std::optional<RequestId>& request_id) {
  if (request_id) body["request_id"] = request_id_text(*request_id);
}

}  // namespace

HttpResponse text_answer(unsigned status, std::string content_type, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.fields["content-type"] = std::move(content_type);
  response.body = std::move(body);
  return response;
}

HttpResponse refusal_answer(const Refused& refused, const std::optional<RequestId>& request_id) {
  http::Problem problem;
  problem.reason = refused.reason;
  problem.run_state = refused.run_state;
  problem.retry_after = refused.retry_after;
  auto response = http::make_problem_response(caller_status(refused.reason.code), problem);
  if (!request_id) return response;
  boost::system::error_code error;
  auto document = json::parse(response.body, error);
  if (error || !document.is_object()) return response;
  add_request_id(document.as_object(), request_id);
  response.body = json::serialize(document);
  return response;
}

HttpResponse statement_answer(const Outcome& outcome, const AnswerContext& context) {
  const auto* done = std::get_if<Done>(&outcome);
  if (done == nullptr) return refusal_answer(std::get<Refused>(outcome), context.request_id);
  auto body = backend_members(*done, "done");
  body["backend_is_primary"] = done->backend_is_primary;
  add_token(body, *done, context);
  add_request_id(body, context.request_id);
  return json_answer(body);
}

HttpResponse in_transaction_answer(const Outcome& outcome) {
  const auto* done = std::get_if<Done>(&outcome);
  if (done == nullptr) return refusal_answer(std::get<Refused>(outcome), std::nullopt);
  auto body = backend_members(*done, "done");
  body["backend_is_primary"] = done->backend_is_primary;
  return json_answer(body);
}

HttpResponse begin_answer(const BeginOutcome& outcome) {
  const auto* begun = std::get_if<Begun>(&outcome);
  if (begun == nullptr) return refusal_answer(std::get<Refused>(outcome), std::nullopt);
  return json_answer(json::object{{"outcome", "done"},
                                  {"transaction", begun->transaction.value},
                                  {"backend", begun->backend.value},
                                  {"backend_is_primary", true}});
}

HttpResponse resolve_answer(const Outcome& outcome, const AnswerContext& context) {
  if (const auto* done = std::get_if<Done>(&outcome)) {
    auto body = backend_members(*done, "committed");
    add_token(body, *done, context);
    add_request_id(body, context.request_id);
    return json_answer(body);
  }
  auto refused = std::get<Refused>(outcome);
  if (refused.reason.code == ReasonCode::kAborted) {
    json::object body{{"outcome", "aborted"}, {"backend", refused.reason.peer}};
    if (context.token) body["session_token"] = routing::encode_session_token(*context.token);
    add_request_id(body, context.request_id);
    return json_answer(body);
  }
  refused.run_state = http::RunState::kUnknown;
  return refusal_answer(refused, context.request_id);
}

}  // namespace cairnhollow::declared::proxy
