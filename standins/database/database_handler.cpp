#include "standins/database/database_handler.h"

#include "declared/backend/contract_codec.h"

namespace cairnhollow::standins::database {

using declared::backend::decode_call;
using declared::backend::encode_answer;
using runtime::HttpConnectionId;
using runtime::HttpRequest;
using runtime::HttpResponse;
namespace target = declared::backend::target;

namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusConflict = 409;
constexpr unsigned kStatusMisdirected = 421;
constexpr unsigned kStatusUnprocessable = 422;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kStatusTimeout = 504;

HttpResponse make_response(unsigned status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.fields["content-type"] = "application/json";
  response.body = std::move(body);
  return response;
}

HttpResponse refused(unsigned status, const Reason& reason, Duration retry_after = Duration(0)) {
  const declared::backend::DoneAnswer answer = declared::backend::Refused{retry_after};
  return make_response(status, encode_answer(answer, reason));
}

unsigned status_of(const declared::backend::ExecuteAnswer& answer) {
  if (std::holds_alternative<declared::backend::NotPrimary>(answer)) return kStatusMisdirected;
  if (std::holds_alternative<declared::backend::Busy>(answer)) return kStatusUnavailable;
  if (std::holds_alternative<declared::backend::TooStale>(answer)) return kStatusConflict;
  if (std::holds_alternative<declared::backend::StatementRefused>(answer)) return kStatusUnprocessable;
  if (std::holds_alternative<declared::backend::Failed>(answer)) return kStatusTimeout;
  return kStatusOk;
}

/// Of an answer with two alternatives, the second of which is Refused.
template <class Answer>
unsigned status_of_call(const Answer& answer) {
  return answer.index() == 0 ? kStatusOk : kStatusConflict;
}

HttpResponse done_or_refused(bool done, const Reason& reason) {
  if (!done) return refused(kStatusConflict, reason);
  const declared::backend::DoneAnswer answer = declared::backend::Done{};
  return make_response(kStatusOk, encode_answer(answer, reason));
}

bool is_statement(const std::string& target) {
  return target == target::kExecute || target.rfind(target::kBegin, 0) == 0;
}

}  // namespace

DatabaseHandler::DatabaseHandler(runtime::Runtime& runtime, const DatabaseSettings& settings,
                                 Tunables& tunables, DatabaseMember& member)
    : runtime_(runtime),
      settings_(settings),
      tunables_(tunables),
      member_(member),
      connections_(runtime, tunables),
      statements_(runtime, member, connections_, tunables),
      faults_(runtime, tunables) {}

void DatabaseHandler::connection_closed(HttpConnectionId connection) {
  connections_.closed(connection);
  faults_.connection_closed(connection);
}

Awaitable<HttpResponse> DatabaseHandler::handle(HttpRequest request, HttpConnectionId connection) {
  if (request.target == kPullTarget) co_return co_await handle_pull(std::move(request));
  const auto exchange_id = request.headers.find(declared::backend::kExchangeHeader);
  const bool may_spoil = is_statement(request.target);
  ++in_flight_;
  auto response = co_await dispatch(std::move(request), connection);
  if (exchange_id) response.headers.fields[declared::backend::kExchangeHeader] = *exchange_id;
  if (may_spoil) response = co_await faults_.spoil(connection, std::move(response));
  --in_flight_;
  co_return response;
}

Awaitable<HttpResponse> DatabaseHandler::dispatch(HttpRequest request, HttpConnectionId connection) {
  const auto& path = request.target;
  if (path == target::kStatus) co_return handle_status();
  if (path == "/admin/faults") co_return handle_faults(request);
  if (path == target::kConnection) co_return co_await handle_open(connection);
  if (path == target::kResolve) co_return co_await handle_resolve(std::move(request));
  if (is_statement(path)) co_return co_await handle_statement(std::move(request), connection);
  co_return co_await handle_failover(std::move(request));
}

Awaitable<HttpResponse> DatabaseHandler::handle_statement(HttpRequest request, HttpConnectionId connection) {
  Reason reason;
  const auto now = runtime_.now();
  if (request.target == target::kBegin) {
    auto call = decode_call<declared::backend::BeginCall>(request.body, now, reason);
    if (!call) co_return refused(kStatusBadRequest, reason);
    const auto answer = co_await statements_.begin(connection, std::move(*call), reason);
    co_return make_response(status_of_call(answer), encode_answer(answer, reason));
  }
  if (request.target == target::kRollback) {
    const auto call = decode_call<declared::backend::FinishCall>(request.body, now, reason);
    if (!call) co_return refused(kStatusBadRequest, reason);
    const auto answer = statements_.rollback(connection, *call, reason);
    co_return make_response(status_of_call(answer), encode_answer(answer, reason));
  }
  if (request.target == target::kCommit) {
    auto call = decode_call<declared::backend::FinishCall>(request.body, now, reason);
    if (!call) co_return refused(kStatusBadRequest, reason);
    const auto request_id = call->requirements.request_id;
    const auto answer = co_await statements_.commit(connection, std::move(*call), reason);
    co_return make_response(status_of(answer), encode_answer(answer, reason, request_id));
  }
  auto call = decode_call<declared::backend::StatementCall>(request.body, now, reason);
  if (!call) co_return refused(kStatusBadRequest, reason);
  const auto request_id = call->requirements.request_id;
  declared::backend::ExecuteAnswer answer;
  if (request.target == target::kExecuteIn) {
    answer = co_await statements_.execute_in(connection, std::move(*call), reason);
  } else {
    answer = co_await statements_.execute(connection, std::move(*call), reason);
  }
  co_return make_response(status_of(answer), encode_answer(answer, reason, request_id));
}

Awaitable<HttpResponse> DatabaseHandler::handle_open(HttpConnectionId connection) {
  Reason reason;
  const bool opened = co_await connections_.open(connection, reason);
  if (!opened) co_return refused(kStatusUnavailable, reason, tunables_.connection_opening_delay);
  co_return done_or_refused(true, reason);
}

Awaitable<HttpResponse> DatabaseHandler::handle_resolve(HttpRequest request) {
  Reason reason;
  auto call = decode_call<declared::backend::ResolveCall>(request.body, runtime_.now(), reason);
  if (!call) co_return refused(kStatusBadRequest, reason);
  const auto request_id = call->request;
  const auto answer = co_await statements_.resolve(std::move(*call), reason);
  co_return make_response(status_of_call(answer), encode_answer(answer, reason, request_id));
}

Awaitable<HttpResponse> DatabaseHandler::handle_failover(HttpRequest request) {
  Reason reason;
  const auto now = runtime_.now();
  if (request.target == target::kFollow) {
    auto call = decode_call<declared::backend::FollowCall>(request.body, now, reason);
    if (!call) co_return refused(kStatusBadRequest, reason);
    const bool follows = co_await member_.follow(call->term, call->primary, call->endpoint, reason);
    co_return done_or_refused(follows, reason);
  }
  if (request.target == target::kPromote || request.target == target::kFence) {
    auto call = decode_call<declared::backend::TermCall>(request.body, now, reason);
    if (!call) co_return refused(kStatusBadRequest, reason);
    if (request.target == target::kPromote) {
      const bool promoted = co_await member_.promote(call->term, call->owner, reason);
      co_return done_or_refused(promoted, reason);
    }
    const auto fenced = co_await member_.fence(call->term, call->owner, reason);
    if (!fenced) co_return refused(kStatusConflict, reason);
    const declared::backend::FenceReply answer = *fenced;
    co_return make_response(kStatusOk, encode_answer(answer, reason));
  }
  reason = Reason{ReasonCode::kNotFound, "dispatch", "", "no such call"};
  co_return refused(kStatusNotFound, reason);
}

Awaitable<HttpResponse> DatabaseHandler::handle_pull(HttpRequest request) {
  Reason reason;
  auto pull = wire::decode<PullRequest>(request.body, reason);
  if (!pull) co_return refused(kStatusBadRequest, reason);
  const auto answer = co_await member_.serve_pull(std::move(*pull));
  HttpResponse response;
  response.headers.fields["content-type"] = "application/octet-stream";
  response.body = wire::encode(answer);
  co_return response;
}

HttpResponse DatabaseHandler::handle_status() const {
  declared::backend::BackendStatus status;
  status.backend = settings_.backend;
  status.group = settings_.group;
  status.term = member_.term();
  status.role = member_.is_primary() ? declared::backend::BackendRole::kPrimary
                                     : declared::backend::BackendRole::kReplica;
  status.primary = member_.known_primary();
  status.last = member_.last_durable();
  status.committed = member_.committed();
  status.applied = member_.state().applied();
  status.primary_heard = member_.is_primary() ? member_.hears_majority() : member_.hears_primary();
  status.members = member_.members();
  status.slots_in_use = statements_.slots_in_use();
  status.slots = tunables_.slots;
  status.connections_in_use = connections_.in_use();
  status.connections = tunables_.connections;
  const declared::backend::StatusAnswer answer = std::move(status);
  return make_response(kStatusOk, encode_answer(answer, Reason{}));
}

HttpResponse DatabaseHandler::handle_faults(const HttpRequest& request) {
  Reason reason;
  if (!update_tunables(request.body, tunables_, reason)) return refused(kStatusBadRequest, reason);
  return done_or_refused(true, reason);
}

}  // namespace cairnhollow::standins::database
