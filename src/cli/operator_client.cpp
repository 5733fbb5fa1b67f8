#include "cli/operator_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/url.hpp>

#include "declared/config/document.h"
#include "declared/config/object_names.h"
#include "declared/config/selector_text.h"
#include "http/problem.h"

namespace cairnhollow::cli {

namespace {

using runtime::HttpMethod;

constexpr unsigned kFirstErrorStatus = 400;

/// Refusals that another control node, or the same one later, may not give.
bool another_may_answer(ReasonCode code) {
  switch (code) {
    case ReasonCode::kUnreachable:
    case ReasonCode::kConnectionLost:
    case ReasonCode::kDeadlineExceeded:
    case ReasonCode::kNotLeader:
    case ReasonCode::kNoQuorum:
    case ReasonCode::kOutcomeUnknown:
    case ReasonCode::kOverloaded:
    case ReasonCode::kCancelled:
    case ReasonCode::kDraining:
      return true;
    default:
      return false;
  }
}

std::string percent_encoded(const std::string& text) {
  return boost::urls::encode(text, boost::urls::unreserved_chars);
}

std::string objects_target(const declared::config::ObjectQuery& query) {
  boost::urls::url url("/v1/objects");
  auto parameters = url.params();
  if (query.kind) parameters.append({"kind", declared::config::kind_name(*query.kind)});
  if (!query.names.empty()) parameters.append({"names", boost::algorithm::join(query.names, ",")});
  const std::string selector = declared::config::format_selector(query.selector);
  if (!selector.empty()) parameters.append({"selector", selector});
  return std::string(url.buffer());
}

template <class Value>
std::optional<Value> decode(const std::optional<boost::json::value>& answer,
                            std::optional<Value> (*read)(const boost::json::value&, Reason&),
                            Reason& reason) {
  if (!answer) return std::nullopt;
  return read(*answer, reason);
}

std::optional<Endpoint> leader_named_in(const boost::json::value& document) {
  const auto* object = document.if_object();
  const auto* leader = object == nullptr ? nullptr : object->if_contains("leader");
  if (leader == nullptr || !leader->is_string()) return std::nullopt;
  return parse_endpoint(std::string(leader->get_string()));
}

/// A refused change as an outcome: the problem document carries revision and winner.
std::optional<declared::config::ChangeOutcome> refused_outcome(const boost::json::value& document,
                                                               const Reason& reason) {
  const auto* object = document.if_object();
  if (object == nullptr || !object->contains("revision")) return std::nullopt;
  boost::json::object answer{{"accepted", false}, {"revision", object->at("revision")}};
  if (const auto* winner = object->if_contains("conflicting")) answer["conflicting"] = *winner;
  Reason fault;
  auto outcome = declared::control::change_outcome_from_json(answer, fault);
  if (outcome) outcome->reason = reason;
  return outcome;
}

}  // namespace

OperatorClient::Attempt OperatorClient::read_response(const runtime::HttpResponse& response,
                                                      const std::string& peer, Reason& reason) {
  Attempt attempt;
  Reason fault;
  auto document = declared::config::parse_json(response.body, fault);
  if (document) attempt.body = std::move(*document);
  if (response.status < kFirstErrorStatus) {
    attempt.result = document ? AttemptResult::kAnswered : AttemptResult::kTryNext;
    attempt.may_have_run = !document;
    if (!document) reason = Reason{ReasonCode::kConnectionLost, "read_answer", peer, fault.detail};
    return attempt;
  }
  const auto problem = http::parse_problem(response.body);
  if (!problem) {
    reason = Reason{ReasonCode::kConnectionLost, "read_answer", peer,
                    fmt::format("status {} without a problem document", response.status)};
    attempt.may_have_run = true;
    return attempt;
  }
  attempt.answered = true;
  reason = problem->reason;
  if (reason.peer.empty()) reason.peer = peer;
  attempt.may_have_run = problem->run_state == http::RunState::kUnknown;
  attempt.leader = leader_named_in(attempt.body);
  // The configuration has decided when the answer says at which revision.
  const auto* members = attempt.body.if_object();
  const bool decided = members != nullptr && members->contains("revision");
  if (decided || !another_may_answer(reason.code)) attempt.result = AttemptResult::kRefused;
  return attempt;
}

Awaitable<OperatorClient::Attempt> OperatorClient::attempt(ApiCall call, Endpoint server, TimePoint deadline,
                                                           Reason& reason) {
  Attempt failed;
  const TimePoint connect_deadline = std::min(deadline, runtime_.now() + settings_.connect_timeout);
  const auto connection = co_await runtime_.http().connect(server, connect_deadline, reason);
  if (!connection) co_return failed;
  runtime::HttpRequest request;
  request.method = call.method;
  request.target = call.target;
  request.body = call.body;
  request.headers.fields["accept"] = "application/json";
  if (!call.body.empty()) request.headers.fields["content-type"] = "application/json";
  auto sent = runtime::SendState::kNotSent;
  const bool is_long = call.repeat == Repeat::kUnsafe;
  const TimePoint exchange_deadline =
      is_long ? deadline : std::min(deadline, runtime_.now() + settings_.attempt_timeout);
  const auto response = co_await connection->exchange(std::move(request), exchange_deadline, sent, reason);
  if (!response) {
    failed.may_have_run = sent == runtime::SendState::kMaybeSent;
    co_return failed;
  }
  connection->close();
  co_return read_response(*response, server.to_string(), reason);
}

Awaitable<std::optional<boost::json::value>> OperatorClient::call(ApiCall call, TimePoint deadline,
                                                                  boost::json::value& refusal,
                                                                  Reason& reason) {
  Duration backoff = settings_.first_backoff;
  bool may_have_run = false;
  bool answered = false;
  std::optional<Endpoint> leader;
  std::size_t tried = 0;
  while (true) {
    const Endpoint server = leader ? *leader : settings_.servers[tried % settings_.servers.size()];
    const bool followed_hint = leader.has_value();
    Reason failure;
    Attempt result = co_await attempt(call, server, deadline, failure);
    if (result.result == AttemptResult::kAnswered) co_return std::move(result.body);
    // What a node answers says more than a connection that fails.
    if (result.answered || !answered) reason = std::move(failure);
    answered = answered || result.answered;
    if (result.result == AttemptResult::kRefused) {
      refusal = std::move(result.body);
      co_return std::nullopt;
    }
    may_have_run = may_have_run || (result.may_have_run && call.method != HttpMethod::kGet);
    if (may_have_run && call.repeat == Repeat::kUnsafe) break;
    leader = followed_hint ? std::nullopt : result.leader;
    if (leader) continue;
    ++tried;
    if (tried % settings_.servers.size() != 0) continue;
    if (runtime_.now() + backoff >= deadline) break;
    co_await runtime_.sleep_for(backoff);
    backoff = std::min(backoff * 2, settings_.longest_backoff);
  }
  if (may_have_run) {
    reason = Reason{ReasonCode::kOutcomeUnknown, reason.step, reason.peer,
                    fmt::format("it was sent and no definite answer came ({}: {})",
                                reason_code_name(reason.code), reason.detail)};
  }
  co_return std::nullopt;
}

Awaitable<std::optional<declared::config::ChangeOutcome>> OperatorClient::apply(
    declared::config::ChangeRequest request, TimePoint deadline, Reason& reason) {
  ApiCall change{HttpMethod::kPost, "/v1/changes",
                 boost::json::serialize(declared::control::to_json(request)), Repeat::kSafe};
  boost::json::value refusal;
  const auto answer = co_await call(std::move(change), deadline, refusal, reason);
  if (answer) co_return declared::control::change_outcome_from_json(*answer, reason);
  co_return refused_outcome(refusal, reason);
}

Awaitable<std::optional<declared::control::ObjectList>> OperatorClient::list(
    declared::config::ObjectQuery query, TimePoint deadline, Reason& reason) {
  ApiCall question;
  question.target = objects_target(query);
  boost::json::value refusal;
  const auto answer = co_await call(std::move(question), deadline, refusal, reason);
  co_return decode(answer, declared::control::object_list_from_json, reason);
}

Awaitable<std::optional<declared::control::FleetStatus>> OperatorClient::status(TimePoint deadline,
                                                                                Reason& reason) {
  ApiCall query;
  query.target = "/v1/status";
  boost::json::value refusal;
  const auto answer = co_await call(std::move(query), deadline, refusal, reason);
  co_return decode(answer, declared::control::fleet_status_from_json, reason);
}

Awaitable<std::optional<std::vector<declared::control::FleetEvent>>> OperatorClient::events(
    std::optional<std::uint64_t> since, std::uint32_t limit, TimePoint deadline, Reason& reason) {
  ApiCall query;
  query.target = fmt::format("/v1/events?limit={}", limit);
  if (since) query.target += fmt::format("&since={}", *since);
  boost::json::value refusal;
  const auto answer = co_await call(std::move(query), deadline, refusal, reason);
  co_return decode(answer, declared::control::events_from_json, reason);
}

Awaitable<std::optional<declared::control::InForceReport>> OperatorClient::in_force(TimePoint deadline,
                                                                                    Reason& reason) {
  ApiCall query;
  query.target = "/v1/in-force";
  boost::json::value refusal;
  const auto answer = co_await call(std::move(query), deadline, refusal, reason);
  co_return decode(answer, declared::control::in_force_report_from_json, reason);
}

Awaitable<bool> OperatorClient::add_member(consensus::Member member, TimePoint deadline, Reason& reason) {
  ApiCall change{HttpMethod::kPost, "/v1/members", boost::json::serialize(declared::control::to_json(member)),
                 Repeat::kUnsafe};
  boost::json::value refusal;
  const auto answer = co_await call(std::move(change), deadline, refusal, reason);
  co_return answer.has_value();
}

Awaitable<bool> OperatorClient::remove_member(std::string node, TimePoint deadline, Reason& reason) {
  ApiCall change{HttpMethod::kDelete, "/v1/members/" + percent_encoded(node), "", Repeat::kUnsafe};
  boost::json::value refusal;
  const auto answer = co_await call(std::move(change), deadline, refusal, reason);
  co_return answer.has_value();
}

Awaitable<bool> OperatorClient::replace_member(std::string lost, consensus::Member replacement,
                                               TimePoint deadline, Reason& reason) {
  ApiCall change{HttpMethod::kPost, fmt::format("/v1/members/{}/replace", percent_encoded(lost)),
                 boost::json::serialize(declared::control::to_json(replacement)), Repeat::kUnsafe};
  boost::json::value refusal;
  const auto answer = co_await call(std::move(change), deadline, refusal, reason);
  co_return answer.has_value();
}

Awaitable<std::optional<declared::control::SwitchoverOutcome>> OperatorClient::switchover(
    declared::control::SwitchoverRequest request, TimePoint deadline, Reason& reason) {
  ApiCall change{HttpMethod::kPost, "/v1/switchover",
                 boost::json::serialize(declared::control::to_json(request)), Repeat::kUnsafe};
  boost::json::value refusal;
  const auto answer = co_await call(std::move(change), deadline, refusal, reason);
  co_return decode(answer, declared::control::switchover_outcome_from_json, reason);
}

}  // namespace cairnhollow::cli
