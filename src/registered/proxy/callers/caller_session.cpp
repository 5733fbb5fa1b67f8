#include "registered/proxy/callers/caller_session.h"

#include <fmt/format.h>

#include <algorithm>

#include "registered/proxy/statement/placement_facts.h"
#include "registered/tenancy/tenant_limit.h"

namespace cairnhollow::registered::proxy {

using runtime::LogLevel;

namespace {

/// Longest wait for a caller's first line. Chosen, not measured.
constexpr Duration kStartTimeout = std::chrono::seconds(5);
/// A new session waits this long for a serving lease, e.g. while the fleet starts. Chosen, not measured.
constexpr Duration kStartPatience = std::chrono::milliseconds(700);
/// Values, or prepared statements, of one session. Chosen, not measured.
constexpr std::size_t kMaxSessionEntries = 1024;

constexpr const char* kEvacuated =
    "the zone of the transaction's backend is evacuated; nothing of it is kept";

}  // namespace

Awaitable<void> CallerSession::run() {
  const auto self = shared_from_this();
  const bool opened = co_await open();
  while (opened && (!leaving_ || transaction_ || !answered_since_leaving_)) {
    Reason reason;
    auto statement = co_await caller_->read_statement(reason);
    if (!statement) break;
    answering_ = true;
    const TimePoint arrived = services_.runtime.now();
    served_by_ = ServedBy::kProxy;
    const Answer answer = co_await handle(std::move(*statement));
    if (answer.refusal) services_.metrics.count_refused(*answer.refusal);
    if (!answer.refusal) services_.metrics.count_served(served_by_, services_.runtime.now() - arrived);
    const bool told = co_await caller_->answer(answer, reason);
    answering_ = false;
    if (!told) break;
    if (is_unserved_here(answer)) let_go_after_answer();
    answered_since_leaving_ = leaving_;
  }
  co_await end_transaction();
  caller_->close();
}

Awaitable<bool> CallerSession::open() {
  Reason reason;
  const auto start = co_await caller_->read_start(services_.runtime.now() + kStartTimeout, reason);
  if (!start) co_return false;
  database_ = start->database;
  key_ = start->key;
  const TimePoint patience = services_.runtime.now() + kStartPatience;
  while (!may_open() && services_.view.expects_lease() && services_.runtime.now() < patience)
    co_await services_.view.renewed().wait_until(patience);
  const bool leased = services_.view.lease_valid();
  Refusal refusal = leased ? Refusal::kUnknownDatabase : Refusal::kBusy;
  std::string why = leased ? "no route names this database" : "no serving lease; come back later";
  if (services_.view.find_route(database_) != nullptr) {
    const auto fault = co_await check_key();
    if (!fault) co_return co_await caller_->accept(reason);
    refusal = *fault;
    why = refusal == Refusal::kUnauthorized ? "the key is not known"
                                            : "keys can't be confirmed now; come back soon";
  }
  services_.metrics.count_refused(refusal);
  services_.runtime.logger().log(LogLevel::kWarning, "session_refused",
                                 {{"refusal", refusal_name(refusal)},
                                  {"database", database_.value},
                                  {"version", std::to_string(services_.view.document_version())}});
  co_await caller_->refuse(refusal, std::move(why));
  co_return false;
}

Awaitable<std::optional<Refusal>> CallerSession::check_key() {
  const TimePoint arrived = services_.runtime.now();
  const TimePoint patience = arrived + kStartPatience;
  FleetView& view = services_.view;
  const auto proves_tenant = [&] {
    const registry::RouteRule* route = view.find_route(database_);
    const bool needs_key = route == nullptr ? view.requires_keys() : view.needs_key(*route);
    return !needs_key || view.tenants().find_by_key(key_) != nullptr;
  };
  if (!proves_tenant() && view.lease_valid()) services_.link.ask_now();
  while (!proves_tenant() && view.expects_lease() && !view.keys_confirmed().is_confirmed_since(arrived) &&
         services_.runtime.now() < patience)
    co_await view.renewed().wait_until(patience);
  if (proves_tenant()) co_return std::nullopt;
  co_return view.keys_confirmed().is_confirmed_since(arrived) ? Refusal::kUnauthorized : Refusal::kBusy;
}

bool CallerSession::find_tenant(StatementRequest& order, Answer& refusal) {
  const FleetView& view = services_.view;
  if (!view.needs_key(order.route)) return true;
  const registry::TenantRule* tenant = view.tenants().find_by_key(key_);
  const placement::KeyFacts key{true, tenant != nullptr,
                                view.keys_confirmed().allows(services_.runtime.now())};
  const auto rejection = placement::key_rejection(key);
  if (rejection == placement::RejectionReason::kNone) {
    order.key = key_;
    order.tenant = tenant->name;
    return true;
  }
  const bool unknown = rejection == placement::RejectionReason::kKeyUnauthorized;
  refusal = refuse(refusal_of(rejection),
                   unknown ? "the key proves no tenant any more"
                           : "keys can't be confirmed without control; come back through another proxy");
  services_.metrics.count_unplaced(rejection);
  services_.runtime.logger().log(
      LogLevel::kWarning, "key_refused",
      {{"id", order.id},
       {"database", database_.value},
       {"tenant", unknown ? "" : tenant->name.value},
       {"version", std::to_string(view.document_version())},
       {"confirmed_ms_ago",
        view.keys_confirmed().confirmed_at()
            ? std::to_string(in_ms(services_.runtime.now() - *view.keys_confirmed().confirmed_at()))
            : "never"}});
  let_go_after_answer();
  return false;
}

bool CallerSession::may_open() const {
  if (services_.view.lease_valid()) return true;
  // Others may hold a lease and serve its statements.
  return services_.view.find_route(database_) != nullptr && !services_.view.others().empty();
}

bool CallerSession::is_unserved_here(const Answer& answer) {
  if (answer.refusal != Refusal::kBusy) return false;
  const registry::RouteRule* route = services_.view.find_route(database_);
  const auto group = route == nullptr ? nullptr : services_.view.find_group(route->group);
  return group && (!services_.view.holds_lease_for(*group) || group->leadership.is_primary_unreachable());
}

TransactionState CallerSession::state() const {
  if (!transaction_) return TransactionState::kIdle;
  return transaction_->failed ? TransactionState::kFailed : TransactionState::kOpen;
}

Answer CallerSession::done() const {
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

Awaitable<Answer> CallerSession::handle(Statement statement) {
  const StatementKind kind = statement.kind;
  const bool ends = kind == StatementKind::kCommit || kind == StatementKind::kRollback;
  if (transaction_) transaction_->last_used = services_.runtime.now();
  if (transaction_ && transaction_->failed && !ends) {
    std::string failure = std::exchange(transaction_->failure, std::string());
    if (!failure.empty()) co_return refuse(Refusal::kAborted, std::move(failure));
    co_return refuse(Refusal::kMalformed, "the transaction has failed; end it first");
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
  co_return refuse(Refusal::kMalformed, "not a statement");
}

Answer CallerSession::set_value(const Statement& statement) {
  if (values_.size() >= kMaxSessionEntries && values_.count(statement.name) == 0)
    return refuse(Refusal::kMalformed, "too many values in one session");
  values_[statement.name] = statement.argument;
  return done();
}

Answer CallerSession::prepare(const Statement& statement) {
  if (prepared_.size() >= kMaxSessionEntries && prepared_.count(statement.name) == 0)
    return refuse(Refusal::kMalformed, "too many prepared statements in one session");
  prepared_[statement.name] = PreparedShape{statement.writes, statement.argument};
  return done();
}

Answer CallerSession::deallocate(const Statement& statement) {
  if (prepared_.erase(statement.name) > 0) return done();
  return refuse(Refusal::kUnknownStatement, "no prepared statement of this name");
}

bool CallerSession::find_shape(const Statement& statement, StatementRequest& order) const {
  if (statement.kind != StatementKind::kExecute) {
    order.writes = statement.kind == StatementKind::kWrite;
    return true;
  }
  const auto found = prepared_.find(statement.name);
  if (found == prepared_.end()) return false;
  order.prepared = found->second;
  order.argument = statement.argument;
  order.writes = found->second.writes;
  return true;
}

std::optional<StatementRequest> CallerSession::make_order(const Statement& statement, Answer& refusal) {
  StatementRequest order;
  if (transaction_) {
    order.route = transaction_->route;
    order.group = transaction_->group;
  } else {
    const registry::RouteRule* route = services_.view.find_route(database_);
    if (route == nullptr) {
      refusal = refuse(Refusal::kUnknownDatabase, "no route names this database any more");
      return std::nullopt;
    }
    order.route = *route;
    order.group = services_.view.find_group(route->group);
  }
  if (!order.group) {
    refusal = refuse(Refusal::kBusy, "no backend of the group is known yet");
    return std::nullopt;
  }
  if (!find_shape(statement, order)) {
    refusal = refuse(Refusal::kUnknownStatement, "no prepared statement of this name");
    return std::nullopt;
  }
  order.id = statement.id;
  if (!find_tenant(order, refusal)) return std::nullopt;
  order.allowed =
      transaction_ ? transaction_->allowed : services_.view.allowed_regions(order.route, order.tenant);
  order.text = statement.text;
  order.values = values_;
  if (committed_in_ == order.group->name) order.committed = committed_;
  order.arrived = services_.runtime.now();
  order.deadline = order.arrived + std::chrono::milliseconds(order.route.timeout_ms);
  return order;
}

Answer CallerSession::begin(const Statement& statement) {
  if (transaction_) return refuse(Refusal::kMalformed, "a transaction is open already");
  Answer refusal;
  Statement nothing;
  nothing.kind = StatementKind::kRead;
  const auto order = make_order(nothing, refusal);
  if (!order) return refusal;
  Transaction transaction;
  transaction.read_only = statement.kind == StatementKind::kBeginReadOnly;
  transaction.route = order->route;
  transaction.group = order->group;
  transaction.allowed = order->allowed;
  transaction.last_used = services_.runtime.now();
  transaction_ = std::move(transaction);
  return done();
}

void CallerSession::record_committed(const StatementRequest& order, const Answer& answer) {
  if (!answer.succeeded() || !answer.position) return;
  committed_ = SessionCommit{answer.position, services_.runtime.now()};
  committed_in_ = order.group->name;
}

Awaitable<bool> CallerSession::admit(const StatementRequest& order, std::optional<TimePoint>& token,
                                     Answer& refusal) {
  if (order.tenant.empty()) co_return true;
  const AdmissionAnswer admission = co_await services_.limits.admit(order.tenant);
  token = admission.expires_at;
  if (admission.outcome == AdmissionOutcome::kAdmitted) co_return true;
  const bool is_over = admission.outcome == AdmissionOutcome::kOverLimit;
  if (is_over) services_.metrics.count_unplaced(placement::RejectionReason::kOverLimit);
  refusal = refuse(is_over ? Refusal::kOverLimit : Refusal::kBusy,
                   fmt::format("{}; come back in {} ms",
                               is_over ? "the tenant is over its limit" : "the tenant can't be counted now",
                               in_ms(admission.retry_after)));
  services_.runtime.logger().log(LogLevel::kInfo, "operation_not_admitted",
                                 {{"id", order.id},
                                  {"tenant", order.tenant.value},
                                  {"why", refusal.detail},
                                  {"version", std::to_string(services_.view.document_version())}});
  co_return false;
}

Awaitable<RunResult> CallerSession::run_admitted(StatementRequest order) {
  RunResult result;
  std::optional<TimePoint> token;
  const bool admitted = co_await admit(order, token, result.answer);
  if (!admitted) co_return result;
  const TenantName tenant = order.tenant;
  result = co_await runner_.run(std::move(order));
  if (result.nothing_run && token) services_.limits.give_back(tenancy::limit_key(tenant), *token);
  co_return result;
}

Awaitable<Answer> CallerSession::run_single(Statement statement) {
  Answer refusal;
  auto order = make_order(statement, refusal);
  if (!order) co_return refusal;
  const bool writes = order->writes;
  const StatementRequest kept = *order;
  RunResult result = co_await run_admitted(std::move(*order));
  if (writes) record_committed(kept, result.answer);
  served_by_ = result.served_by;
  co_return std::move(result.answer);
}

Awaitable<Answer> CallerSession::run_in_transaction(Statement statement) {
  Answer refusal;
  auto order = make_order(statement, refusal);
  if (!order) {
    transaction_->failed = true;
    refusal.state = state();
    co_return refusal;
  }
  order->read_only_transaction = transaction_->read_only;
  transaction_->wrote = transaction_->wrote || order->writes;
  Answer answer;
  if (transaction_->pinned) {
    const PinnedLink pinned = *transaction_->pinned;
    answer = co_await runner_.transactions().run(pinned, std::move(*order), false, false);
    served_by_ = pinned.at_primary ? ServedBy::kPrimary : ServedBy::kReplica;
  } else {
    order->opens_transaction = true;
    RunResult result = co_await run_admitted(std::move(*order));
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
    co_return refuse(Refusal::kAborted, "the transaction had failed; nothing of it is kept");
  }
  Answer refusal;
  statement.kind = StatementKind::kRead;  // as far as the order is concerned
  auto order = make_order(statement, refusal);
  if (!order) {
    co_await end_transaction();
    refusal.state = TransactionState::kIdle;
    co_return refusal;
  }
  order->read_only_transaction = transaction_->read_only;
  if (!transaction_->pinned) {
    order->opens_transaction = true;
    RunResult result = co_await run_admitted(std::move(*order));
    if (result.pinned && result.answer.state == TransactionState::kIdle) {
      runner_.transactions().give_back(*result.pinned);
    } else if (result.pinned) {
      co_await runner_.transactions().roll_back(*result.pinned);
    }
    transaction_.reset();
    result.answer.state = TransactionState::kIdle;
    co_return std::move(result.answer);
  }
  const PinnedLink pinned = *transaction_->pinned;
  const bool wrote = transaction_->wrote;
  const StatementRequest kept = *order;
  Answer answer = co_await runner_.transactions().run(pinned, std::move(*order), true, wrote);
  served_by_ = pinned.at_primary ? ServedBy::kPrimary : ServedBy::kReplica;
  if (wrote) record_committed(kept, answer);
  if (answer.state == TransactionState::kIdle) {
    runner_.transactions().give_back(pinned);
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
  co_return done();
}

Awaitable<void> CallerSession::end_transaction() {
  if (!transaction_) co_return;
  const auto pinned = transaction_->pinned;
  transaction_.reset();
  if (pinned) co_await runner_.transactions().roll_back(*pinned);
}

void CallerSession::end_resting_transaction(TimePoint now, Duration limit) {
  if (transaction_ && now - transaction_->last_used >= limit) abort_transaction();
}

void CallerSession::end_evacuated_transaction() {
  if (!transaction_ || !transaction_->pinned || transaction_->failed) return;
  if (answering_ || !runner_.transactions().is_off_limits(*transaction_->pinned)) return;
  abort_transaction();
  transaction_->failure = kEvacuated;
  services_.metrics.count_evacuated_transaction();
}

void CallerSession::abort_transaction() {
  if (answering_ || !transaction_ || transaction_->failed) return;
  transaction_->failed = true;
  transaction_->failure = "the transaction was given up; nothing of it is kept";
  if (transaction_->pinned) runner_.transactions().abort(*transaction_->pinned);
}

void CallerSession::let_go() {
  leaving_ = true;
  answered_since_leaving_ = true;
  if (!answering_) caller_->close();
}

}  // namespace cairnhollow::registered::proxy
