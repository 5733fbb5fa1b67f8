#include "declared/proxy/calls/explain.h"

#include <boost/json.hpp>

#include "declared/proxy/calls/caller_request.h"
#include "declared/proxy/forwarding/forwarder.h"
#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

namespace json = boost::json;

namespace {

constexpr std::string_view kStep = "explain";
constexpr std::string_view kLabelPrefix = "label.";

Reason invalid(std::string detail) {
  return Reason{ReasonCode::kInvalidArgument, std::string(kStep), "", std::move(detail)};
}

json::object reason_object(const Reason& reason) {
  return json::object{{"code", reason_code_name(reason.code)},
                      {"step", reason.step},
                      {"peer", reason.peer},
                      {"detail", reason.detail}};
}

json::array candidate_array(const routing::Decision& decision) {
  json::array candidates;
  for (const auto& candidate : decision.candidates) {
    candidates.push_back(json::object{{"backend", candidate.backend.value},
                                      {"endpoint", candidate.endpoint.to_string()},
                                      {"is_primary", candidate.is_primary}});
  }
  return candidates;
}

json::array passed_over_array(const routing::Decision& decision) {
  json::array passed_over;
  for (const auto& entry : decision.passed_over) {
    auto item = reason_object(entry.reason);
    item["backend"] = entry.backend.value;
    passed_over.push_back(std::move(item));
  }
  return passed_over;
}

std::optional<routing::Decision> explain_recent(const http::RequestTarget& target,
                                                const DecisionLog& decisions, Reason& reason) {
  const auto id = parse_request_id(target.parameter("session") + ":" + target.parameter("number"));
  if (!id) {
    reason = invalid("session, number: both are required, as in the request");
    return std::nullopt;
  }
  auto decision = decisions.find(*id);
  if (!decision) {
    reason = Reason{ReasonCode::kNotFound, std::string(kStep), "",
                    "this proxy has no recent decision for this request; query the proxy that served it"};
  }
  return decision;
}

LabelSet statement_labels(const http::RequestTarget& target) {
  LabelSet labels;
  for (const auto& [name, value] : target.parameters) {
    if (name.starts_with(kLabelPrefix)) labels.entries[name.substr(kLabelPrefix.size())] = value;
  }
  labels.entries["database"] = target.parameter("database");
  return labels;
}

std::optional<routing::Request> hypothetical_request(const http::RequestTarget& target, Reason& reason) {
  routing::Request request;
  request.database = DatabaseName(target.parameter("database"));
  request.partition_key = target.parameter("partition_key");
  request.labels = statement_labels(target);
  const auto kind = target.parameter("kind");
  std::string errors;
  if (request.database.empty()) errors += "database: required; ";
  if (request.partition_key.empty()) errors += "partition_key: required; ";
  if (kind != "read" && kind != "write") errors += R"(kind: must be "read" or "write"; )";
  if (!errors.empty()) {
    reason = invalid(errors.substr(0, errors.size() - 2));
    return std::nullopt;
  }
  request.kind = kind == "read" ? backend::StatementKind::kRead : backend::StatementKind::kWrite;
  return request;
}

}  // namespace

std::string decision_json(const routing::Decision& decision) {
  json::object body{{"group", decision.group.value},
                    {"route", decision.route.value},
                    {"term", decision.term},
                    {"candidates", candidate_array(decision)},
                    {"passed_over", passed_over_array(decision)}};
  if (!decision.domain.empty()) body["domain"] = decision.domain.value;
  if (decision.hold > Duration(0)) {
    body["hold_ms"] = std::chrono::ceil<std::chrono::milliseconds>(decision.hold).count();
  }
  if (decision.primary_read != routing::PrimaryReadCause::kNone) {
    body["primary_read"] = routing::primary_read_cause_name(decision.primary_read);
  }
  if (decision.refusal.failed()) body["refusal"] = reason_object(decision.refusal);
  if (decision.forwarded_to) {
    const auto& target = *decision.forwarded_to;
    body["forwarded_to"] = json::object{
        {"proxy", target.proxy.value},
        {"endpoint", target.endpoint.to_string()},
        {"detail", "forwarded to proxy " + target.proxy.value + ": this proxy does not serve the group"}};
  }
  return json::serialize(body) + "\n";
}

std::optional<routing::Decision> explain(const http::RequestTarget& target, const DecisionLog& decisions,
                                         const ExplainContext& context, Reason& reason) {
  if (target.parameters.contains("session")) return explain_recent(target, decisions, reason);
  auto request = hypothetical_request(target, reason);
  if (!request) return std::nullopt;
  request->hold_limit = std::chrono::milliseconds(kMaximumDeadlineMilliseconds) / kHoldDeadlineDivisor;
  const auto token_text = target.parameter("session_token");
  const auto group = routing::find_group(context.view, *request);
  if (!token_text.empty() && group != nullptr) {
    Reason decode_error;
    const auto token = routing::decode_session_token(token_text, decode_error);
    if (!token) {
      reason = invalid("session_token: " + decode_error.detail);
      return std::nullopt;
    }
    request->session_position = token->required(group->session_name);
  }
  auto decision = routing::choose(*request, context.view, context.estimates, context.settings, context.now);
  if (!context.lease_valid && !decision.domain.empty()) {
    decision.refusal =
        Reason{ReasonCode::kLeaseExpired, std::string(kStep), decision.domain.value,
               "domain " + decision.domain.value + " has no valid lease; no statements are sent"};
  }
  if (group != nullptr && !group->served_here) {
    auto targets = forward_targets(*group, context.proxy);
    if (!targets.empty()) decision.forwarded_to = std::move(targets.front());
  }
  return decision;
}

}  // namespace cairnhollow::declared::proxy
