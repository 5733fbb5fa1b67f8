#include "declared/control/operator/operator_api.h"

#include <fmt/format.h>

#include <boost/algorithm/string.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <limits>

#include "declared/config/duration_text.h"
#include "declared/config/manifest.h"
#include "declared/config/object_names.h"
#include "declared/config/selector_text.h"
#include "declared/control/operator/operator_json.h"
#include "http/problem.h"
#include "http/request_target.h"

namespace cairnhollow::declared::control {

namespace {

using http::RequestTarget;
using runtime::HttpMethod;
using runtime::HttpRequest;
using runtime::HttpResponse;

constexpr Duration kDefaultDeadline = std::chrono::seconds(5);
/// Membership changes and switchovers wait for a node or backend to catch up.
constexpr Duration kLongDeadline = std::chrono::seconds(30);
constexpr std::uint64_t kMaximumTimeoutMilliseconds = 120'000;
constexpr std::uint32_t kDefaultEventLimit = 100;
constexpr std::uint32_t kMaximumEventLimit = 1000;
constexpr Duration kRetryAfter = std::chrono::seconds(1);

Reason invalid(std::string detail) {
  return Reason{ReasonCode::kInvalidArgument, "read_request", "", std::move(detail)};
}

HttpResponse json_response(const boost::json::value& value) {
  HttpResponse response;
  response.headers.fields["content-type"] = "application/json";
  response.body = boost::json::serialize(value) + "\n";
  return response;
}

HttpResponse text_response(std::string body, const std::string& content_type) {
  HttpResponse response;
  response.headers.fields["content-type"] = content_type;
  response.body = std::move(body);
  return response;
}

/// Adds extension members to a problem document (RFC 9457 section 3.2).
void extend_problem(HttpResponse& response, const boost::json::object& members) {
  boost::system::error_code error;
  boost::json::value document = boost::json::parse(response.body, error);
  if (error || !document.is_object()) return;
  for (const auto& member : members) document.as_object()[member.key()] = member.value();
  response.body = boost::json::serialize(document);
}

std::optional<std::uint64_t> parse_number(const std::string& text) {
  std::uint64_t value = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc{} || end != last) return std::nullopt;
  return value;
}

/// Parses the body as JSON and converts it by `read`; std::nullopt with `reason` on failure.
template <class Read>
auto read_body(const HttpRequest& request, Read read, Reason& reason)
    -> decltype(read(boost::json::value(), reason)) {
  const auto document = config::parse_json(request.body, reason);
  if (!document) return std::nullopt;
  return read(*document, reason);
}

class OperatorApi : public runtime::HttpHandler {
 public:
  OperatorApi(runtime::Runtime& runtime, OperatorService& service) : runtime_(runtime), service_(service) {}

  Awaitable<HttpResponse> handle(HttpRequest request, runtime::HttpConnectionId /*connection*/) override;

 private:
  using Resource = Awaitable<HttpResponse> (OperatorApi::*)(HttpRequest, RequestTarget);

  /// Returns null if no resource handles the method; `path_exists` reports whether the path exists.
  static Resource find_resource(HttpMethod method, const RequestTarget& target, bool& path_exists);

  Awaitable<HttpResponse> get_health(HttpRequest request, RequestTarget target);
  Awaitable<HttpResponse> get_readiness(HttpRequest request, RequestTarget target);
  Awaitable<HttpResponse> get_metrics(HttpRequest request, RequestTarget target);
  Awaitable<HttpResponse> post_change(HttpRequest request, RequestTarget target);
  Awaitable<HttpResponse> get_objects(HttpRequest request, RequestTarget target);
  Awaitable<HttpResponse> get_object(HttpRequest request, RequestTarget target);
  Awaitable<HttpResponse> get_status(HttpRequest request, RequestTarget target);
  Awaitable<HttpResponse> get_events(HttpRequest request, RequestTarget target);
  Awaitable<HttpResponse> get_in_force(HttpRequest request, RequestTarget target);
  Awaitable<HttpResponse> post_member(HttpRequest request, RequestTarget target);
  Awaitable<HttpResponse> delete_member(HttpRequest request, RequestTarget target);
  Awaitable<HttpResponse> replace_member(HttpRequest request, RequestTarget target);
  Awaitable<HttpResponse> post_switchover(HttpRequest request, RequestTarget target);

  HttpResponse refuse(const Reason& reason) const;
  /// Returns the value as JSON, or a refusal if there is none.
  template <class Value>
  HttpResponse answer(const std::optional<Value>& value, const Reason& reason) const {
    return value ? json_response(to_json(*value)) : refuse(reason);
  }
  /// Returns `{"WORD": true}`, or a refusal if `succeeded` is false.
  HttpResponse confirmation(bool succeeded, const char* word, const Reason& reason) const {
    return succeeded ? json_response(boost::json::object{{word, true}}) : refuse(reason);
  }
  /// Deadline from `?timeout=`, at most kMaximumTimeoutMilliseconds from now; without it, `fallback` from
  /// now.
  [[nodiscard]] TimePoint deadline_of(const RequestTarget& target, Duration fallback) const;

  runtime::Runtime& runtime_;
  OperatorService& service_;
};

OperatorApi::Resource OperatorApi::find_resource(HttpMethod method, const RequestTarget& target,
                                                 bool& path_exists) {
  struct Entry {
    HttpMethod method;
    std::vector<std::string> pattern;  ///< "*" matches any one segment
    Resource resource;
  };
  static const std::vector<Entry> entries = {
      {HttpMethod::kGet, {"healthz"}, &OperatorApi::get_health},
      {HttpMethod::kGet, {"readyz"}, &OperatorApi::get_readiness},
      {HttpMethod::kGet, {"metrics"}, &OperatorApi::get_metrics},
      {HttpMethod::kPost, {"v1", "changes"}, &OperatorApi::post_change},
      {HttpMethod::kGet, {"v1", "objects"}, &OperatorApi::get_objects},
      {HttpMethod::kGet, {"v1", "objects", "*", "*"}, &OperatorApi::get_object},
      {HttpMethod::kGet, {"v1", "status"}, &OperatorApi::get_status},
      {HttpMethod::kGet, {"v1", "events"}, &OperatorApi::get_events},
      {HttpMethod::kGet, {"v1", "in-force"}, &OperatorApi::get_in_force},
      {HttpMethod::kPost, {"v1", "members"}, &OperatorApi::post_member},
      {HttpMethod::kDelete, {"v1", "members", "*"}, &OperatorApi::delete_member},
      {HttpMethod::kPost, {"v1", "members", "*", "replace"}, &OperatorApi::replace_member},
      {HttpMethod::kPost, {"v1", "switchover"}, &OperatorApi::post_switchover},
  };
  const auto matches = [&](const std::vector<std::string>& pattern) {
    return std::equal(pattern.begin(), pattern.end(), target.segments.begin(), target.segments.end(),
                      [](const std::string& expected, const std::string& actual) {
                        return expected == "*" || expected == actual;
                      });
  };
  path_exists = false;
  for (const auto& entry : entries) {
    if (!matches(entry.pattern)) continue;
    path_exists = true;
    if (entry.method == method) return entry.resource;
  }
  return nullptr;
}

Awaitable<HttpResponse> OperatorApi::handle(HttpRequest request, runtime::HttpConnectionId /*connection*/) {
  auto target = http::parse_request_target(request.target);
  if (!target) co_return refuse(invalid("target: must be a path"));
  const std::string timeout = target->parameter("timeout");
  if (!timeout.empty() && !config::parse_milliseconds(timeout)) {
    co_return refuse(invalid("timeout: must be a duration, e.g. 500ms or 10s"));
  }
  bool path_exists = false;
  const Resource resource = find_resource(request.method, *target, path_exists);
  if (resource != nullptr) {
    HttpResponse response = co_await (this->*resource)(std::move(request), std::move(*target));
    co_return response;
  }
  http::Problem problem;
  problem.reason = Reason{path_exists ? ReasonCode::kUnsupported : ReasonCode::kNotFound, "find_resource", "",
                          path_exists ? "the resource does not support this method" : "no such resource"};
  constexpr unsigned kNotFoundStatus = 404;
  constexpr unsigned kMethodNotAllowedStatus = 405;
  co_return http::make_problem_response(path_exists ? kMethodNotAllowedStatus : kNotFoundStatus, problem);
}

HttpResponse OperatorApi::refuse(const Reason& reason) const {
  http::Problem problem;
  problem.reason = reason;
  const bool unknown = reason.code == ReasonCode::kOutcomeUnknown;
  problem.run_state = unknown ? http::RunState::kUnknown : http::RunState::kNotRun;
  switch (reason.code) {
    case ReasonCode::kNotLeader:
    case ReasonCode::kNoQuorum:
    case ReasonCode::kOutcomeUnknown:
    case ReasonCode::kDeadlineExceeded:
    case ReasonCode::kUnreachable:
    case ReasonCode::kCancelled:
    case ReasonCode::kOverloaded:
      problem.retry_after = kRetryAfter;
      break;
    default:
      break;
  }
  HttpResponse response = http::make_problem_response(http::status_for(reason.code), problem);
  const auto leader = service_.leader_operator_endpoint();
  if (leader && reason.code == ReasonCode::kNotLeader) {
    extend_problem(response, {{"leader", leader->to_string()}});
  }
  return response;
}

TimePoint OperatorApi::deadline_of(const RequestTarget& target, Duration fallback) const {
  const auto asked = config::parse_milliseconds(target.parameter("timeout"));
  if (!asked) return runtime_.now() + fallback;
  return runtime_.now() + std::chrono::milliseconds(std::min(*asked, kMaximumTimeoutMilliseconds));
}

Awaitable<HttpResponse> OperatorApi::get_health(HttpRequest /*request*/, RequestTarget /*target*/) {
  co_return text_response("ok\n", "text/plain");
}

Awaitable<HttpResponse> OperatorApi::get_readiness(HttpRequest /*request*/, RequestTarget /*target*/) {
  Reason reason;
  if (service_.ready(reason)) co_return text_response("ready\n", "text/plain");
  constexpr unsigned kUnavailableStatus = 503;
  http::Problem problem;
  problem.reason = reason;
  problem.retry_after = kRetryAfter;
  co_return http::make_problem_response(kUnavailableStatus, problem);
}

Awaitable<HttpResponse> OperatorApi::get_metrics(HttpRequest /*request*/, RequestTarget /*target*/) {
  co_return text_response(service_.metrics_text(), "text/plain; version=0.0.4");
}

Awaitable<HttpResponse> OperatorApi::post_change(HttpRequest request, RequestTarget target) {
  Reason reason;
  auto change = read_body(request, change_request_from_json, reason);
  if (!change) co_return refuse(reason);
  const TimePoint deadline = deadline_of(target, kDefaultDeadline);
  const auto outcome = co_await service_.apply(std::move(*change), deadline, reason);
  if (!outcome) co_return refuse(reason);
  if (outcome->accepted) co_return json_response(to_json(*outcome));
  HttpResponse response = refuse(outcome->reason);
  boost::json::object members{{"revision", outcome->revision}};
  if (outcome->conflicting) members["conflicting"] = config::to_json(*outcome->conflicting);
  extend_problem(response, members);
  co_return response;
}

std::optional<config::ObjectQuery> read_query(const RequestTarget& target, Reason& reason) {
  config::ObjectQuery query;
  const std::string kind_text = target.parameter("kind");
  query.kind = config::parse_kind(kind_text);
  if (!query.kind && !kind_text.empty()) {
    reason = invalid(fmt::format("kind: unknown kind '{}'", kind_text));
    return std::nullopt;
  }
  const std::string names = target.parameter("names");
  if (!names.empty()) boost::algorithm::split(query.names, names, [](char c) { return c == ','; });
  auto selector = config::parse_selector(target.parameter("selector"), reason);
  if (!selector) return std::nullopt;
  query.selector = std::move(*selector);
  return query;
}

Awaitable<HttpResponse> OperatorApi::get_objects(HttpRequest /*request*/, RequestTarget target) {
  Reason reason;
  auto query = read_query(target, reason);
  if (!query) co_return refuse(reason);
  const TimePoint deadline = deadline_of(target, kDefaultDeadline);
  const auto list = co_await service_.list(std::move(*query), deadline, reason);
  co_return answer(list, reason);
}

Awaitable<HttpResponse> OperatorApi::get_object(HttpRequest /*request*/, RequestTarget target) {
  Reason reason;
  const auto kind = config::parse_kind(target.segments[2]);
  if (!kind) co_return refuse(invalid(fmt::format("kind: unknown kind '{}'", target.segments[2])));
  const config::ObjectKey key{*kind, target.segments[3]};
  const TimePoint deadline = deadline_of(target, kDefaultDeadline);
  const auto stored = co_await service_.find(key, deadline, reason);
  if (!stored) co_return refuse(reason);
  co_return json_response(config::to_json(*stored));
}

Awaitable<HttpResponse> OperatorApi::get_status(HttpRequest /*request*/, RequestTarget target) {
  Reason reason;
  const TimePoint deadline = deadline_of(target, kDefaultDeadline);
  const auto status = co_await service_.status(deadline, reason);
  co_return answer(status, reason);
}

Awaitable<HttpResponse> OperatorApi::get_events(HttpRequest /*request*/, RequestTarget target) {
  Reason reason;
  const std::string since_text = target.parameter("since");
  const std::string limit_text = target.parameter("limit");
  const auto since = since_text.empty() ? std::optional<std::uint64_t>(0) : parse_number(since_text);
  const auto limit =
      limit_text.empty() ? std::optional<std::uint64_t>(kDefaultEventLimit) : parse_number(limit_text);
  if (!since || !limit) co_return refuse(invalid("since, limit: must be whole numbers"));
  const auto bounded = static_cast<std::uint32_t>(std::min<std::uint64_t>(*limit, kMaximumEventLimit));
  // With `since`: the first `limit` events after it. Without: the last `limit` events.
  const bool latest = since_text.empty();
  const std::uint32_t asked = latest ? std::numeric_limits<std::uint32_t>::max() : bounded;
  const TimePoint deadline = deadline_of(target, kDefaultDeadline);
  auto events = co_await service_.events(*since, asked, deadline, reason);
  if (!events) co_return refuse(reason);
  if (events->size() > bounded) events->erase(events->begin(), events->end() - bounded);
  co_return json_response(to_json(*events));
}

Awaitable<HttpResponse> OperatorApi::get_in_force(HttpRequest /*request*/, RequestTarget target) {
  Reason reason;
  const TimePoint deadline = deadline_of(target, kDefaultDeadline);
  const auto report = co_await service_.in_force(deadline, reason);
  co_return answer(report, reason);
}

Awaitable<HttpResponse> OperatorApi::post_member(HttpRequest request, RequestTarget target) {
  Reason reason;
  auto member = read_body(request, member_from_json, reason);
  if (!member) co_return refuse(reason);
  const TimePoint deadline = deadline_of(target, kLongDeadline);
  const bool added = co_await service_.add_member(std::move(*member), deadline, reason);
  co_return confirmation(added, "added", reason);
}

Awaitable<HttpResponse> OperatorApi::delete_member(HttpRequest /*request*/, RequestTarget target) {
  Reason reason;
  const NodeName node{target.segments[2]};
  const TimePoint deadline = deadline_of(target, kLongDeadline);
  const bool removed = co_await service_.remove_member(node, deadline, reason);
  co_return confirmation(removed, "removed", reason);
}

Awaitable<HttpResponse> OperatorApi::replace_member(HttpRequest request, RequestTarget target) {
  Reason reason;
  auto member = read_body(request, member_from_json, reason);
  if (!member) co_return refuse(reason);
  const NodeName lost{target.segments[2]};
  const TimePoint deadline = deadline_of(target, kLongDeadline);
  const bool replaced = co_await service_.replace_member(lost, std::move(*member), deadline, reason);
  co_return confirmation(replaced, "replaced", reason);
}

Awaitable<HttpResponse> OperatorApi::post_switchover(HttpRequest request, RequestTarget target) {
  Reason reason;
  auto switchover = read_body(request, switchover_request_from_json, reason);
  if (!switchover) co_return refuse(reason);
  const TimePoint deadline = deadline_of(target, kLongDeadline);
  const auto outcome = co_await service_.switchover(std::move(*switchover), deadline, reason);
  co_return answer(outcome, reason);
}

}  // namespace

std::unique_ptr<runtime::HttpHandler> make_operator_api(runtime::Runtime& runtime, OperatorService& service) {
  return std::make_unique<OperatorApi>(runtime, service);
}

}  // namespace cairnhollow::declared::control
