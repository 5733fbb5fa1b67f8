#include "declared/proxy/calls/caller_api.h"

namespace cairnhollow::declared::proxy {

using runtime::HttpConnectionId;
using runtime::HttpMethod;
using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

constexpr unsigned kOk = 200;
constexpr std::string_view kStatementTarget = "/v1/statements";

Reason no_such_path(const std::string& detail) {
  return Reason{ReasonCode::kNotFound, "route_request", "", detail};
}

void mark_unknown_if_resent(Outcome& outcome, bool resent) {
  auto* refused = std::get_if<Refused>(&outcome);
  if (refused != nullptr) mark_unknown_if_resent(*refused, resent);
}

}  // namespace

Awaitable<HttpResponse> CallerApi::handle(HttpRequest request, HttpConnectionId connection) {
  caller_connections_.insert(connection);
  auto response = co_await dispatch(std::move(request), connection);
  // A connection with an open transaction is kept open: closing it would roll the transaction back.
  const bool keeps_transaction = domains_.has_open_transaction(connection);
  if (redirects_callers() && !keeps_transaction) response.close_connection = true;
  co_return response;
}

Awaitable<HttpResponse> CallerApi::dispatch(HttpRequest request, HttpConnectionId connection) {
  if (request.method == HttpMethod::kPost && request.target == kStatementTarget) {
    co_return co_await post_statement(std::move(request));
  }
  auto target = http::parse_request_target(request.target);
  if (!target) {
    Reason reason{ReasonCode::kInvalidArgument, "route_request", "", "the request target is malformed"};
    co_return refuse_now(std::move(reason));
  }
  if (request.method == HttpMethod::kGet) co_return get(*target);
  if (request.method == HttpMethod::kPost) {
    co_return co_await post(std::move(request), std::move(*target), connection);
  }
  co_return refuse_now(no_such_path("only GET and POST are supported"));
}

Awaitable<HttpResponse> CallerApi::post(HttpRequest request, http::RequestTarget target,
                                        HttpConnectionId connection) {
  const auto& path = target.segments;
  if (path.size() == 2 && path[0] == "v1") {
    if (path[1] == "transactions") co_return co_await post_begin(std::move(request), connection);
    if (path[1] == "resolve") co_return co_await post_resolve(std::move(request));
  }
  if (path.size() == 4 && path[0] == "v1" && path[1] == "transactions") {
    const TransactionId id(path[2]);
    if (path[3] == "statements") co_return co_await post_in_transaction(std::move(request), id);
    if (path[3] == "commit") co_return co_await post_commit(std::move(request), id);
    if (path[3] == "rollback") co_return co_await post_rollback(std::move(request), id);
  }
  co_return refuse_now(no_such_path("no such path for POST"));
}

HttpResponse CallerApi::get(const http::RequestTarget& target) {
  const auto& path = target.segments;
  if (path.size() == 1 && path[0] == "healthz") return text_answer(kOk, "text/plain", "ok\n");
  if (path.size() == 1 && path[0] == "readyz") return get_readiness();
  if (path.size() == 1 && path[0] == "metrics") return get_metrics();
  if (path.size() == 2 && path[0] == "v1" && path[1] == "explain") return get_explain(target);
  return refuse_now(no_such_path("no such path for GET"));
}

bool CallerApi::admit(const Domain& domain, bool forwarded, Reason& reason) const {
  constexpr std::string_view kStep = "admit_statement";
  if (draining_) {
    reason = Reason{ReasonCode::kDraining, std::string(kStep), "", "this proxy is shutting down"};
    return false;
  }
  const auto& serving = domain.state().serving;
  if (!serving.check_lease(kStep, reason)) return false;
  const auto view = serving.view();
  if (view->this_proxy_serves) return true;
  const bool forwards_only = !domain.name().empty() && !view->this_proxy_known && !forwarded;
  if (forwards_only && domains_.accepts_callers()) return true;
  reason =
      Reason{ReasonCode::kDraining, std::string(kStep), "", "this proxy is draining or has no Proxy object"};
  return false;
}

bool CallerApi::redirects_callers() const { return draining_ || domains_.redirects_callers(); }

ParseContext CallerApi::parse_context(const HttpRequest& request) const {
  return ParseContext{runtime_.now(), settings_.default_statement_deadline,
                      request.headers.find(kTimeLeftHeader)};
}

HttpResponse CallerApi::refuse_now(Reason reason) {
  auto refused = refuse(std::move(reason));
  set_renewal_retry(refused);
  metrics_.refused(refused);
  return refusal_answer(refused, std::nullopt);
}

void CallerApi::set_renewal_retry(Refused& refused) const {
  const bool lease_expired = refused.reason.code == ReasonCode::kLeaseExpired;
  if (lease_expired) refused.retry_after = settings_.follow_interval;
}

void CallerApi::record_outcome(CallKind kind, TimePoint arrived, Outcome& outcome,
                               const std::optional<RequestId>& request_id) {
  if (auto* refusal = std::get_if<Refused>(&outcome)) set_renewal_retry(*refusal);
  metrics_.answered(kind, runtime_.now() - arrived, outcome);
  const auto* refused = std::get_if<Refused>(&outcome);
  if (refused == nullptr || refused->run_state == http::RunState::kNotRun) return;
  const std::string id = request_id ? request_id_text(*request_id) : std::string();
  runtime_.logger().log(runtime::LogLevel::kWarning, "outcome_unknown", refused->reason,
                        {{"request_id", id}});
}

Awaitable<HttpResponse> CallerApi::post_statement(HttpRequest request) {
  const TimePoint arrived = runtime_.now();
  Reason reason;
  auto body = parse_statement(request, parse_context(request), reason);
  if (!body) co_return refuse_now(std::move(reason));
  auto& call = body->call;
  if (body->transaction) {
    TransactionStatementBody inside{call.statement.kind, std::move(call.statement.text), call.deadline};
    co_return co_await run_in_transaction(std::move(request), *body->transaction, std::move(inside));
  }
  auto* domain = domains_.find_by_database(call.statement.database, reason);
  auto forward_to = domain == nullptr ? std::nullopt : forwarding_group(*domain, request, call);
  if (forward_to) {
    HopCall hop{std::move(request), std::move(*forward_to), call.deadline, {}, call.request_id, false};
    co_return co_await forward_statement(*domain, std::move(hop), std::move(call));
  }
  const bool is_write = call.statement.kind == backend::StatementKind::kWrite;
  const AnswerContext context{call.request_id, call.token};
  const bool resent = is_write && call.resent;
  Outcome outcome = refuse(std::move(reason));
  if (domain != nullptr) outcome = co_await run_statement(*domain, std::move(call), is_forwarded(request));
  mark_unknown_if_resent(outcome, resent);
  record_outcome(is_write ? CallKind::kWrite : CallKind::kRead, arrived, outcome, context.request_id);
  co_return statement_answer(outcome, context);
}

Awaitable<Outcome> CallerApi::run_statement(Domain& domain, StatementCall call, bool forwarded) {
  Reason reason;
  if (!admit(domain, forwarded, reason)) co_return refuse(std::move(reason));
  if (call.statement.kind == backend::StatementKind::kRead) {
    const RequestTable::Entry entry(requests_, std::nullopt);
    co_return co_await domain.reads().run(std::move(call));
  }
  const RequestTable::Entry entry(requests_, call.request_id);
  if (!entry.is_unique()) co_return refuse(duplicate_in_flight_reason(), http::RunState::kUnknown);
  co_return co_await domain.writes().run(std::move(call));
}

Awaitable<HttpResponse> CallerApi::post_begin(HttpRequest request, HttpConnectionId connection) {
  Reason reason;
  auto body = parse_begin(request, parse_context(request), reason);
  if (!body) co_return refuse_now(std::move(reason));
  auto* domain = domains_.find_by_database(body->call.statement.database, reason);
  if (domain == nullptr) co_return refuse_now(std::move(reason));
  if (!admit(*domain, is_forwarded(request), reason)) co_return refuse_now(std::move(reason));
  const RequestTable::Entry entry(requests_, std::nullopt);
  auto forward_to = forwarding_group(*domain, request, body->call);
  if (forward_to) {
    HopCall hop{std::move(request), std::move(*forward_to), body->call.deadline, {}, {}, false};
    co_return co_await forward_begin(*domain, std::move(hop), std::move(body->call), connection);
  }
  const auto in_flight = begins_in_flight_.insert(connection);
  auto outcome = co_await domain->transactions().begin(std::move(body->call), connection);
  finish_begin(in_flight);
  if (auto* refused = std::get_if<Refused>(&outcome)) {
    set_renewal_retry(*refused);
    metrics_.refused(*refused);
  }
  co_return begin_answer(outcome);
}

void CallerApi::finish_begin(std::multiset<HttpConnectionId>::iterator begin) {
  const auto connection = *begin;
  begins_in_flight_.erase(begin);
  if (!closed_during_begin_.contains(connection)) return;
  domains_.caller_gone(connection);
  if (!begins_in_flight_.contains(connection)) closed_during_begin_.erase(connection);
}

Awaitable<HttpResponse> CallerApi::post_in_transaction(HttpRequest request, TransactionId id) {
  Reason reason;
  auto body = parse_transaction_statement(request, parse_context(request), reason);
  if (!body) co_return refuse_now(std::move(reason));
  co_return co_await run_in_transaction(std::move(request), std::move(id), std::move(*body));
}

Awaitable<HttpResponse> CallerApi::run_in_transaction(HttpRequest request, TransactionId id,
                                                      TransactionStatementBody body) {
  auto& domain = domains_.find_by_transaction(id);
  if (domain.forwarded_transactions().knows(id)) {
    co_return co_await forward_in_transaction(domain, std::move(id), std::move(request), body.deadline,
                                              TransactionStep::kStatement);
  }
  const TimePoint arrived = runtime_.now();
  const RequestTable::Entry entry(requests_, std::nullopt);
  auto outcome = co_await domain.transactions().execute(std::move(id), std::move(body));
  record_outcome(CallKind::kTransaction, arrived, outcome, std::nullopt);
  co_return in_transaction_answer(outcome);
}

Awaitable<HttpResponse> CallerApi::post_commit(HttpRequest request, TransactionId id) {
  const TimePoint arrived = runtime_.now();
  Reason reason;
  auto body = parse_commit(request, parse_context(request), reason);
  if (!body) co_return refuse_now(std::move(reason));
  auto* domain = domain_of_commit(id, *body, reason);
  if (domain == nullptr)
    co_return refusal_answer(refuse(std::move(reason), http::RunState::kUnknown), body->request_id);
  if (domain->forwarded_transactions().knows(id)) {
    co_return co_await forward_commit(*domain, std::move(id), std::move(request), std::move(*body));
  }
  auto forward_to = forwarding_group(*domain, request, commit_call(*body));
  if (forward_to && !domain->transactions().knows(id)) {
    HopCall hop{std::move(request), std::move(*forward_to), body->deadline, {}, body->request_id, true};
    co_return co_await forward_unknown_commit(*domain, std::move(hop), std::move(*body));
  }
  const AnswerContext context{body->request_id, body->token};
  const RequestTable::Entry entry(requests_, body->request_id);
  Outcome outcome = refuse(duplicate_in_flight_reason(), http::RunState::kUnknown);
  if (entry.is_unique()) outcome = co_await domain->transactions().commit(std::move(id), std::move(*body));
  record_outcome(CallKind::kCommit, arrived, outcome, context.request_id);
  co_return statement_answer(outcome, context);
}

Domain* CallerApi::domain_of_commit(const TransactionId& id, const CommitBody& body, Reason& reason) {
  auto& known = domains_.find_by_transaction(id);
  const bool is_known = known.transactions().knows(id) || known.forwarded_transactions().knows(id);
  return is_known || body.database.empty() ? &known : domains_.find_by_database(body.database, reason);
}

Awaitable<HttpResponse> CallerApi::post_rollback(HttpRequest request, TransactionId id) {
  Reason reason;
  const auto deadline = parse_rollback(request, parse_context(request), reason);
  if (!deadline) co_return refuse_now(std::move(reason));
  auto& domain = domains_.find_by_transaction(id);
  if (domain.forwarded_transactions().knows(id)) {
    co_return co_await forward_in_transaction(domain, std::move(id), std::move(request), *deadline,
                                              TransactionStep::kRollback);
  }
  const RequestTable::Entry entry(requests_, std::nullopt);
  const auto outcome = co_await domain.transactions().rollback(std::move(id), *deadline);
  if (const auto* refused = std::get_if<Refused>(&outcome)) metrics_.refused(*refused);
  co_return in_transaction_answer(outcome);
}

Awaitable<HttpResponse> CallerApi::post_resolve(HttpRequest request) {
  const TimePoint arrived = runtime_.now();
  Reason reason;
  auto body = parse_resolve(request, parse_context(request), reason);
  if (!body) co_return refuse_now(std::move(reason));
  const AnswerContext context{body->call.request_id, body->call.token};
  auto* domain = domains_.find_by_database(body->call.statement.database, reason);
  auto forward_to = domain == nullptr ? std::nullopt : forwarding_group(*domain, request, body->call);
  if (forward_to) {
    HopCall hop{std::move(request), std::move(*forward_to), body->call.deadline, {}, {}, false};
    co_return co_await forward_resolve(*domain, std::move(hop), std::move(body->call));
  }
  const RequestTable::Entry entry(requests_, std::nullopt);
  Outcome outcome = refuse(std::move(reason), http::RunState::kUnknown);
  if (domain != nullptr) {
    outcome = co_await run_resolve(*domain, std::move(body->call), is_forwarded(request));
  }
  record_outcome(CallKind::kResolve, arrived, outcome, context.request_id);
  co_return resolve_answer(outcome, context);
}

Awaitable<Outcome> CallerApi::run_resolve(Domain& domain, StatementCall call, bool forwarded) {
  Reason reason;
  if (!admit(domain, forwarded, reason)) co_return refuse(std::move(reason), http::RunState::kUnknown);
  const auto view = domain.state().serving.view();
  const auto group = routing::find_group(*view, routing_request(call, false));
  if (group == nullptr) {
    reason = Reason{ReasonCode::kNoRoute, "resolve", "", "no route selects a group for the request"};
    co_return refuse(std::move(reason), http::RunState::kUnknown);
  }
  const GroupName name = group->name;
  // A local variable: g++ 12 destroys a braced temporary in a co_await expression twice.
  Reason no_cause;
  co_return co_await domain.resolver().run(*call.request_id, name, call.deadline, std::move(no_cause));
}

void CallerApi::connection_closed(HttpConnectionId connection) {
  caller_connections_.erase(connection);
  if (begins_in_flight_.contains(connection)) closed_during_begin_.insert(connection);
  domains_.caller_gone(connection);
}

}  // namespace cairnhollow::declared::proxy
