// Calls of the caller API for groups that other proxies serve.
#include "declared/proxy/calls/caller_api.h"

namespace cairnhollow::declared::proxy {

using runtime::HttpConnectionId;
using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

LedgerQuery question_of(const StatementCall& call) {
  return LedgerQuery{*call.request_id, call.statement.database, call.statement.partition_key, call.labels,
                     call.token};
}

}  // namespace

std::optional<GroupName> CallerApi::forwarding_group(const Domain& domain, const HttpRequest& request,
                                                     const StatementCall& call) {
  if (is_forwarded(request) || call.statement.database.empty()) return std::nullopt;
  const auto group = routing::find_group(*domain.state().serving.view(), routing_request(call, false));
  if (group == nullptr || group->served_here) return std::nullopt;
  return group->name;
}

HttpResponse CallerApi::hop_answer(HopAnswer answer, const std::optional<RequestId>& request_id) {
  if (auto* response = std::get_if<HttpResponse>(&answer)) return std::move(*response);
  const auto& refused = std::get<Refused>(answer);
  metrics_.refused(refused);
  return refusal_answer(refused, request_id);
}

Awaitable<HttpResponse> CallerApi::forward_statement(Domain& domain, HopCall hop, StatementCall call) {
  const bool is_write = call.statement.kind == backend::StatementKind::kWrite;
  HopAnswer answer;
  Reason reason;
  const RequestTable::Entry entry(requests_, is_write ? call.request_id : std::nullopt);
  if (!admit(domain, false, reason)) {
    answer = refuse(std::move(reason));
  } else if (!entry.is_unique()) {
    answer = refuse(duplicate_in_flight_reason(), http::RunState::kUnknown);
  } else {
    if (is_write) hop.query = question_of(call);
    hop.resent = is_write && call.resent;
    answer = co_await domain.forwarder().forward(std::move(hop));
  }
  if (auto* refused = std::get_if<Refused>(&answer))
    mark_unknown_if_resent(*refused, is_write && call.resent);
  co_return hop_answer(std::move(answer), call.request_id);
}

Awaitable<HttpResponse> CallerApi::forward_resolve(Domain& domain, HopCall hop, StatementCall call) {
  const RequestTable::Entry entry(requests_, std::nullopt);
  HopAnswer answer;
  Reason reason;
  if (admit(domain, false, reason)) {
    answer = co_await domain.forwarder().forward(std::move(hop));
  } else {
    answer = refuse(std::move(reason));
  }
  if (auto* refused = std::get_if<Refused>(&answer)) refused->run_state = http::RunState::kUnknown;
  co_return hop_answer(std::move(answer), call.request_id);
}

Awaitable<HttpResponse> CallerApi::forward_begin(Domain& domain, HopCall hop, StatementCall call,
                                                 HttpConnectionId connection) {
  const auto in_flight = begins_in_flight_.insert(connection);
  auto answer = co_await domain.forwarded_transactions().begin(std::move(hop), std::move(call), connection);
  finish_begin(in_flight);
  co_return hop_answer(std::move(answer), std::nullopt);
}

Awaitable<HttpResponse> CallerApi::forward_in_transaction(Domain& domain, TransactionId id,
                                                          HttpRequest request, TimePoint deadline,
                                                          TransactionStep step) {
  const RequestTable::Entry entry(requests_, std::nullopt);
  auto answer =
      co_await domain.forwarded_transactions().execute(std::move(id), std::move(request), deadline, step);
  co_return hop_answer(std::move(answer), std::nullopt);
}

Awaitable<HttpResponse> CallerApi::forward_commit(Domain& domain, TransactionId id, HttpRequest request,
                                                  CommitBody body) {
  const auto request_id = body.request_id;
  const RequestTable::Entry entry(requests_, request_id);
  HopAnswer answer = refuse(duplicate_in_flight_reason(), http::RunState::kUnknown);
  if (entry.is_unique()) {
    answer =
        co_await domain.forwarded_transactions().commit(std::move(id), std::move(request), std::move(body));
  }
  co_return hop_answer(std::move(answer), request_id);
}

Awaitable<HttpResponse> CallerApi::forward_unknown_commit(Domain& domain, HopCall hop, CommitBody body) {
  const RequestTable::Entry entry(requests_, body.request_id);
  HopAnswer answer = refuse(duplicate_in_flight_reason(), http::RunState::kUnknown);
  if (entry.is_unique()) {
    hop.query = question_of(commit_call(body));
    answer = co_await domain.forwarder().forward(std::move(hop));
    // An earlier copy of the commit may have run at the proxy that began the transaction.
    if (auto* refused = std::get_if<Refused>(&answer)) mark_unknown_if_resent(*refused, true);
  }
  co_return hop_answer(std::move(answer), body.request_id);
}

}  // namespace cairnhollow::declared::proxy
