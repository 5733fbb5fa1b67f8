#include "registered/proxy/callers/caller_session.h"

#include <fmt/format.h>

#include <algorithm>

#include "registered/proxy/statement/placement_facts.h"
#include "registered/tenancy/tenant_limit.h"

namespace cairnhollow::registered::proxy {

using placement::RejectionReason;
using runtime::LogLevel;

namespace {

/// Maximum number of session values, and of prepared statements, per session.
constexpr std::size_t kMaxSessionEntries = 1024;

constexpr const char* kEvacuatedDetail =
    "the zone of the transaction's backend is evacuated; the transaction was rolled back";

}  // namespace

Awaitable<void> CallerSession::run() {
  const auto self = shared_from_this();
  const bool opened = co_await open();
  while (opened && (!closing_ || transaction_ || !answered_since_closing_)) {
    Reason reason;
    auto statement = co_await caller_->read_statement(reason);
    if (!statement) break;
    answering_ = true;
    const TimePoint arrived = services_.runtime.now();
    served_by_ = ServedBy::kProxy;
    const Answer answer = co_await handle(std::move(*statement));
    if (answer.refusal) services_.metrics.count_refused(*answer.refusal);
    if (!answer.refusal) services_.metrics.count_served(served_by_, services_.runtime.now() - arrived);
    const bool answer_sent = co_await caller_->answer(answer, reason);
    answering_ = false;
    if (!answer_sent) break;
    if (needs_another_proxy(answer)) close_after_answer();
    answered_since_closing_ = closing_;
  }
  co_await end_transaction();
  caller_->close();
}

bool CallerSession::authenticate(StatementRequest& request, Answer& refusal) {
  const FleetView& view = services_.view;
  if (!view.needs_key(request.route)) return true;
  const registry::TenantRule* tenant = view.tenants().find_by_key(key_);
  // An open transaction belongs to the tenant that the key proved when it began.
  const bool proves_tenant = tenant != nullptr && (!transaction_ || tenant->name == request.tenant);
  const placement::KeyFacts key{true, proves_tenant, view.keys_confirmed().allows(services_.runtime.now())};
  const auto rejection = placement::key_rejection(key);
  if (rejection == RejectionReason::kNone) {
    request.key = key_;
    request.tenant = tenant->name;
    return true;
  }
  const bool unknown = rejection == RejectionReason::kKeyUnauthorized;
  refusal = refuse(refusal_of(rejection),
                   unknown ? "the key no longer belongs to the tenant"
                           : "keys can't be confirmed without control; reconnect through another proxy");
  services_.metrics.count_unplaced(rejection);
  services_.runtime.logger().log(
      LogLevel::kWarning, "key_refused",
      {{"id", request.id},
       {"database", database_.value},
       {"tenant", unknown ? "" : tenant->name.value},
       {"version", std::to_string(view.document_version())},
       {"confirmed_ms_ago",
        view.keys_confirmed().confirmed_at()
            ? std::to_string(in_ms(services_.runtime.now() - *view.keys_confirmed().confirmed_at()))
            : "never"}});
  close_after_answer();
  return false;
}

bool CallerSession::needs_another_proxy(const Answer& answer) {
  if (answer.refusal != Refusal::kBusy) return false;
  const registry::RouteRule* route = services_.view.find_route(database_);
  const auto group = route == nullptr ? nullptr : services_.view.find_group(route->group);
  return group && (!services_.view.holds_lease_for(*group) || group->leadership.is_primary_unreachable());
}

TransactionState CallerSession::state() const {
  if (!transaction_) return TransactionState::kIdle;
  return transaction_->failed ? TransactionState::kFailed : TransactionState::kOpen;
}

Answer CallerSession::success_answer() const {
  Answer answer;
  answer.signature = "-";
  answer.state = state();
  return answer;
}

Answer CallerSession::refuse(Refusal refusal, std::string detail) const {
  Answer answer;
  answer.refusal = refusal;
  answer.detail = std::move(detail);
  answer.state = state();
  return answer;
}

Answer CallerSession::refuse_unrouted(const Statement& statement, Refusal refusal, RejectionReason since,
                                      std::string detail) const {
  services_.metrics.count_unplaced(since);
  services_.runtime.logger().log(LogLevel::kWarning, "statement_refused",
                                 {{"step", "route"},
                                  {"id", statement.id},
                                  {"refusal", refusal_name(refusal)},
                                  {"why", detail},
                                  {"since", placement::rejection_name(since)},
                                  {"database", database_.value}});
  return refuse(refusal, std::move(detail));
}

Awaitable<Answer> CallerSession::handle(Statement statement) {
  const StatementKind kind = statement.kind;
  const bool ends = kind == StatementKind::kCommit || kind == StatementKind::kRollback;
  if (transaction_) transaction_->last_used = services_.runtime.now();
  if (transaction_ && transaction_->failed && !ends) {
    std::string failure = std::exchange(transaction_->failure, std::string());
    if (!failure.empty()) co_return refuse(Refusal::kAborted, std::move(failure));
    co_return refuse(Refusal::kMalformed,
                     "the transaction has failed; end it before sending further statements");
  }
  switch (kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      co_return begin(statement);
    case StatementKind::kCommit:
      co_return co_await commit(std::move(statement));
    case StatementKind::kRollback:
      co_return co_await roll_back();
    case StatementKind::kSetValue:
      co_return set_value(statement);
    case StatementKind::kPrepare:
      co_return prepare(statement);
    case StatementKind::kDeallocate:
      co_return deallocate(statement);
    case StatementKind::kRead:
    case StatementKind::kWrite:
    case StatementKind::kExecute:
      if (transaction_) co_return co_await run_in_transaction(std::move(statement));
      co_return co_await run_single(std::move(statement));
    case StatementKind::kUnknown:
      break;
  }
  co_return refuse(Refusal::kMalformed, "unknown kind of statement");
}

Answer CallerSession::set_value(const Statement& statement) {
  if (values_.size() >= kMaxSessionEntries && values_.count(statement.name) == 0)
    return refuse(Refusal::kMalformed, "too many values in this session");
  values_[statement.name] = statement.argument;
  return success_answer();
}

Answer CallerSession::prepare(const Statement& statement) {
  if (prepared_.size() >= kMaxSessionEntries && prepared_.count(statement.name) == 0)
    return refuse(Refusal::kMalformed, "too many prepared statements in this session");
  prepared_[statement.name] = PreparedShape{statement.writes, statement.argument};
  return success_answer();
}

Answer CallerSession::deallocate(const Statement& statement) {
  if (prepared_.erase(statement.name) > 0) return success_answer();
  return refuse(Refusal::kUnknownStatement, "no prepared statement has this name");
}

bool CallerSession::resolve_prepared(const Statement& statement, StatementRequest& request) const {
  if (statement.kind != StatementKind::kExecute) {
    request.writes = statement.kind == StatementKind::kWrite;
    return true;
  }
  const auto found = prepared_.find(statement.name);
  if (found == prepared_.end()) return false;
  request.prepared = found->second;
  request.argument = statement.argument;
  request.writes = found->second.writes;
  return true;
}

std::optional<StatementRequest> CallerSession::make_request(const Statement& statement, Answer& refusal) {
  StatementRequest request;
  if (transaction_) {
    static_cast<StatementScope&>(request) = transaction_->scope;
  } else {
    const registry::RouteRule* route = services_.view.find_route(database_);
    if (route == nullptr) {
      refusal = refuse_unrouted(statement, Refusal::kUnknownDatabase, RejectionReason::kNoRoute,
                                "the database no longer has a route");
      return std::nullopt;
    }
    request.route = *route;
    request.group = services_.view.find_group(route->group);
  }
  if (!request.group) {
    refusal = refuse_unrouted(statement, Refusal::kBusy, RejectionReason::kNoBackend,
                              "no backend of the group is known yet");
    return std::nullopt;
  }
  if (!resolve_prepared(statement, request)) {
    refusal = refuse(Refusal::kUnknownStatement, "no prepared statement has this name");
    return std::nullopt;
  }
  request.id = statement.id;
  if (!authenticate(request, refusal)) return std::nullopt;
  if (!transaction_) request.allowed = services_.view.allowed_regions(request.route, request.tenant);
  request.text = statement.text;
  request.values = values_;
  const auto committed = committed_.find(request.group->name);
  if (committed != committed_.end()) request.committed = committed->second;
  request.arrived = services_.runtime.now();
  request.deadline = request.arrived + std::chrono::milliseconds(request.route.timeout_ms);
  request.waited_before = waited_to_open_;
  return request;
}

Answer CallerSession::begin(const Statement& statement) {
  if (transaction_) return refuse(Refusal::kMalformed, "a transaction is already open");
  Answer refusal;
  Statement placeholder;
  placeholder.kind = StatementKind::kRead;
  const auto request = make_request(placeholder, refusal);
  if (!request) return refusal;
  Transaction transaction;
  transaction.read_only = statement.kind == StatementKind::kBeginReadOnly;
  transaction.scope = *request;
  transaction.last_used = services_.runtime.now();
  transaction_ = std::move(transaction);
  return success_answer();
}

void CallerSession::record_committed(const GroupName& group, const Answer& answer) {
  if (!answer.succeeded() || !answer.position) return;
  committed_[group] = SessionCommit{answer.position, services_.runtime.now()};
}

Awaitable<bool> CallerSession::admit(const StatementRequest& request, std::optional<TimePoint>& token,
                                     Answer& refusal) {
  if (request.tenant.empty()) co_return true;
  const TimePoint wait_until = placement::refusal_time(request.progress());
  const AdmissionAnswer admission = co_await services_.limits.admit(request.tenant, wait_until);
  token = admission.expires_at;
  if (admission.outcome == AdmissionOutcome::kAdmitted) co_return true;
  const bool is_over_limit = admission.outcome == AdmissionOutcome::kOverLimit;
  if (is_over_limit) services_.metrics.count_unplaced(RejectionReason::kOverLimit);
  refusal = refuse(is_over_limit ? Refusal::kOverLimit : Refusal::kBusy,
                   fmt::format("{}; retry in {} ms",
                               is_over_limit ? "the tenant has exceeded its limit"
                                             : "no quota owner is available for the tenant",
                               in_ms(admission.retry_after)));
  services_.runtime.logger().log(
      LogLevel::kInfo, "operation_not_admitted",
      {{"id", request.id},
       {"tenant", request.tenant.value},
       {"why", refusal.detail},
       {"since", admission_outcome_name(admission.outcome)},
       {"asked", admission.asked},
       {"waited_ms", std::to_string(in_ms(services_.runtime.now() - request.arrived))},
       {"version", std::to_string(services_.view.document_version())}});
  co_return false;
}

Awaitable<RunResult> CallerSession::run_admitted(StatementRequest request) {
  // Only the caller of the first statement has been waiting since it asked for its session.
  waited_to_open_ = Duration(0);
  if (!services_.overload.admits(request.route.priority))
    co_return runner_.refuse_overloaded(std::move(request));
  RunResult result;
  std::optional<TimePoint> token;
  const bool admitted = co_await admit(request, token, result.answer);
  if (!admitted) co_return result;
  const TenantName tenant = request.tenant;
  result = co_await runner_.run(std::move(request));
  if (result.nothing_run && token) services_.limits.give_back(tenancy::limit_key(tenant), *token);
  co_return result;
}

Awaitable<Answer> CallerSession::run_single(Statement statement) {
  Answer refusal;
  auto request = make_request(statement, refusal);
  if (!request) co_return refusal;
  const bool writes = request->writes;
  RunResult result = co_await run_admitted(std::move(*request));
  if (writes) record_committed(result.group, result.answer);
  served_by_ = result.served_by;
  co_return std::move(result.answer);
}

Awaitable<Answer> CallerSession::run_in_transaction(Statement statement) {
  Answer refusal;
  auto request = make_request(statement, refusal);
  if (!request) {
    transaction_->failed = true;
    refusal.state = state();
    co_return refusal;
  }
  request->read_only_transaction = transaction_->read_only;
  transaction_->wrote = transaction_->wrote || request->writes;
  Answer answer;
  if (transaction_->pinned) {
    const PinnedLink pinned = *transaction_->pinned;
    answer = co_await runner_.transactions().run(pinned, std::move(*request), false, false);
    served_by_ = pinned.at_primary ? ServedBy::kPrimary : ServedBy::kReplica;
  } else {
    request->opens_transaction = true;
    RunResult result = co_await run_admitted(std::move(*request));
    transaction_->pinned = result.pinned;
    served_by_ = result.served_by;
    answer = std::move(result.answer);
  }
  transaction_->last_used = services_.runtime.now();
  if (answer.refusal || answer.state != TransactionState::kOpen) transaction_->failed = true;
  answer.state = state();
  co_return answer;
}

Awaitable<Answer> CallerSession::commit(Statement statement) {
  if (!transaction_) co_return refuse(Refusal::kMalformed, "no transaction is open");
  if (transaction_->failed) {
    co_await end_transaction();
    co_return refuse(Refusal::kAborted, "the transaction had failed and was rolled back");
  }
  Answer refusal;
  statement.kind = StatementKind::kRead;  // a commit writes nothing itself and names no prepared statement
  auto request = make_request(statement, refusal);
  if (!request) {
    co_await end_transaction();
    refusal.state = TransactionState::kIdle;
    co_return refusal;
  }
  request->read_only_transaction = transaction_->read_only;
  if (!transaction_->pinned) {
    request->opens_transaction = true;
    RunResult result = co_await run_admitted(std::move(*request));
    if (result.pinned && result.answer.state == TransactionState::kIdle) {
      runner_.transactions().release(*result.pinned);
    } else if (result.pinned) {
      co_await runner_.transactions().roll_back(*result.pinned);
    }
    transaction_.reset();
    result.answer.state = TransactionState::kIdle;
    co_return std::move(result.answer);
  }
  const PinnedLink pinned = *transaction_->pinned;
  const bool wrote = transaction_->wrote;
  Answer answer = co_await runner_.transactions().run(pinned, std::move(*request), true, wrote);
  served_by_ = pinned.at_primary ? ServedBy::kPrimary : ServedBy::kReplica;
  if (wrote) record_committed(pinned.group(), answer);
  if (answer.state == TransactionState::kIdle) {
    runner_.transactions().release(pinned);
  } else {
    co_await runner_.transactions().roll_back(pinned);
  }
  transaction_.reset();
  answer.state = TransactionState::kIdle;
  co_return answer;
}

Awaitable<Answer> CallerSession::roll_back() {
  if (!transaction_) co_return refuse(Refusal::kMalformed, "no transaction is open");
  co_await end_transaction();
  co_return success_answer();
}

Awaitable<void> CallerSession::end_transaction() {
  if (!transaction_) co_return;
  const auto pinned = transaction_->pinned;
  transaction_.reset();
  if (pinned) co_await runner_.transactions().roll_back(*pinned);
}

void CallerSession::abort_idle_transaction(TimePoint now, Duration limit) {
  if (transaction_ && now - transaction_->last_used >= limit) abort_transaction();
}

void CallerSession::abort_evacuated_transaction() {
  if (!transaction_ || !transaction_->pinned || transaction_->failed) return;
  if (answering_ || !runner_.transactions().is_off_limits(*transaction_->pinned)) return;
  abort_transaction();
  transaction_->failure = kEvacuatedDetail;
  services_.metrics.count_evacuated_transaction();
}

void CallerSession::abort_transaction() {
  if (answering_ || !transaction_ || transaction_->failed) return;
  transaction_->failed = true;
  transaction_->failure = "the transaction was aborted by the proxy and rolled back";
  if (transaction_->pinned) runner_.transactions().abort(*transaction_->pinned);
}

void CallerSession::close_session() {
  closing_ = true;
  answered_since_closing_ = true;
  if (!answering_) caller_->close();
}

}  // namespace cairnhollow::registered::proxy
