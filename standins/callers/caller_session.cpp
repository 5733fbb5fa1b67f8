#include "standins/callers/caller_session.h"

#include <fmt/format.h>

#include <algorithm>

namespace cairnhollow::standins::callers {

namespace {

constexpr Duration kShortestRetryWait = std::chrono::milliseconds(5);
constexpr Duration kLongestRetryWait = std::chrono::milliseconds(500);
constexpr std::uint32_t kMostDoublings = 6;
constexpr Duration kResolvePause = std::chrono::milliseconds(200);
constexpr const char* kAnswerNotWhole = "answer_not_whole";

/// Refusals that another proxy may not have.
bool belongs_to_the_proxy(const CallAnswer& answer) {
  switch (answer.reason.code) {
    case ReasonCode::kDraining:
    case ReasonCode::kLeaseExpired:
    case ReasonCode::kUnreachable:
    case ReasonCode::kConnectionLost:
    case ReasonCode::kDeadlineExceeded:
    case ReasonCode::kTransactionLost:
      return true;
    default:
      return false;
  }
}

OperationOutcome outcome_of(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kDone:
      return OperationOutcome::kAcknowledged;
    case CallOutcome::kNotRun:
      return OperationOutcome::kNotRun;
    case CallOutcome::kUnknown:
      return OperationOutcome::kUnknown;
    case CallOutcome::kNoAnswer:
      return OperationOutcome::kNoAnswer;
  }
  return OperationOutcome::kNoAnswer;
}

bool is_definite(OperationOutcome outcome) {
  return outcome == OperationOutcome::kAcknowledged || outcome == OperationOutcome::kNotRun;
}

}  // namespace

CallerSession::CallerSession(runtime::Runtime& runtime, SessionName name, const CallerSettings& settings,
                             History& history, LoadStatistics& statistics)
    : runtime_(runtime),
      name_(std::move(name)),
      settings_(settings),
      history_(history),
      statistics_(statistics),
      client_(runtime, settings.proxies[runtime.random().below(settings.proxies.size())]),
      queue_changed_(runtime) {}

void CallerSession::enqueue(PlannedOperation operation, TimePoint due) {
  queue_.push_back({std::move(operation), due});
  queue_changed_.notify_all();
}

void CallerSession::finish() {
  finishing_ = true;
  queue_changed_.notify_all();
}

Awaitable<void> CallerSession::run() {
  while (true) {
    while (queue_.empty() && !finishing_) co_await queue_changed_.wait();
    if (queue_.empty()) co_return;
    const QueuedOperation next = queue_.front();
    queue_.pop_front();
    const bool succeeded = co_await perform(next.operation, next.due);
    if (succeeded) {
      ++statistics_.succeeded;
      record_latency(next.operation.kind, runtime_.now() - next.due);
    } else {
      ++statistics_.gave_up;
    }
  }
}

void CallerSession::record_latency(OperationKind kind, Duration latency) {
  if (kind == OperationKind::kRead) statistics_.reads.record(latency);
  if (kind == OperationKind::kAppend) statistics_.writes.record(latency);
  if (kind == OperationKind::kTransaction) statistics_.transactions.record(latency);
}

Awaitable<bool> CallerSession::perform(PlannedOperation operation, TimePoint due) {
  if (runtime_.random().below(1000) < settings_.roam_per_thousand) move_to_another_proxy();
  const TimePoint begun = settings_.limit_from_due ? due : std::max(due, runtime_.now());
  const TimePoint give_up = begun + settings_.operation_limit;
  for (std::uint32_t refusals = 0; runtime_.now() < give_up; ++refusals) {
    // Every attempt has a request id and a value of its own: a refused one must leave no trace.
    const RequestId id{name_, ++last_number_};
    const std::string value = request_id_text(id);
    const std::size_t record = record_start(operation, value, id);
    ++statistics_.attempts;
    const CallAnswer answer = co_await attempt(operation, value, id);
    record_answer(record, answer);
    if (operation.kind == OperationKind::kAppend && chance(settings_.resend_per_thousand)) {
      co_await send_again(operation, value, id, record);
    }
    const bool may_have_run = !is_definite(history_.operations[record].outcome);
    if (may_have_run && operation.kind != OperationKind::kRead) co_await resolve_outcome(record);
    if (history_.operations[record].outcome == OperationOutcome::kAcknowledged) co_return true;
    const bool still_unknown = !is_definite(history_.operations[record].outcome);
    if (still_unknown && operation.kind != OperationKind::kRead) co_return false;
    co_await wait_before_retry(answer, refusals);
  }
  co_return false;
}

Awaitable<CallAnswer> CallerSession::attempt(PlannedOperation operation, std::string value, RequestId id) {
  if (operation.kind == OperationKind::kTransaction) {
    co_return co_await attempt_transaction(operation, value, id);
  }
  StatementRequest request = make_request(operation, id);
  const RecordKey& key = operation.records.front();
  const bool is_read = operation.kind == OperationKind::kRead;
  request.kind = is_read ? StatementKind::kRead : StatementKind::kWrite;
  request.text = is_read ? make_get_text(key) : make_append_text(key, value);
  const bool unnamed = is_read && chance(settings_.unnamed_reads_per_thousand);
  if (unnamed) request.id = RequestId{};
  CallAnswer answer = co_await client_.execute(request);
  // An answer that names a request although none was named is another's.
  if (unnamed && answer.request_id.empty()) answer.request_id = value;
  co_return answer;
}

bool CallerSession::chance(std::uint32_t per_thousand) {
  return per_thousand > 0 && runtime_.random().below(1000) < per_thousand;
}

/// A refusal speaks of the copy that it answers, so that only a result can better what the first copy was
/// told.
Awaitable<void> CallerSession::send_again(PlannedOperation operation, std::string value, RequestId id,
                                          std::size_t record) {
  move_to_another_proxy();
  const CallAnswer again = co_await attempt(operation, value, id);
  OperationRecord& first = history_.operations[record];
  const bool was_aborted = first.refusal == reason_code_name(ReasonCode::kAborted);
  const bool is_done = again.outcome == CallOutcome::kDone;
  if (first.outcome == OperationOutcome::kAcknowledged) {
    // A decided request stays decided; the checkers object to one that ran and was then said to be aborted.
    if (again.reason.code == ReasonCode::kAborted) first.outcome = OperationOutcome::kNotRun;
    if (is_done) first.answered_for = again.request_id;
  } else if (is_done && !was_aborted) {
    record_answer(record, again);
  }
}

Awaitable<CallAnswer> CallerSession::attempt_transaction(PlannedOperation operation, std::string value,
                                                         RequestId id) {
  const StatementRequest request = make_request(operation, id);
  CallAnswer begun = co_await client_.begin(request);
  if (begun.outcome != CallOutcome::kDone) {
    // Nothing was written yet, whatever became of the call.
    begun.outcome = CallOutcome::kNotRun;
    co_return begun;
  }
  CallAnswer filled = co_await fill_transaction(operation, value, begun.transaction);
  if (filled.outcome != CallOutcome::kDone) {
    // Without a commit the transaction's writes cannot take effect.
    if (client_.is_connected()) co_await client_.rollback(begun.transaction);
    filled.outcome = CallOutcome::kNotRun;
    co_return filled;
  }
  co_return co_await client_.commit(begun.transaction, request);
}

Awaitable<CallAnswer> CallerSession::fill_transaction(PlannedOperation operation, std::string value,
                                                      std::string transaction) {
  CallAnswer answer;
  for (const RecordKey& key : operation.records) {
    StatementRequest request = make_request(operation, RequestId{});
    request.kind = StatementKind::kWrite;
    request.text = make_append_text(key, value);
    answer = co_await client_.execute_in(transaction, request);
    if (answer.outcome != CallOutcome::kDone) co_return answer;
  }
  co_return answer;
}

Awaitable<void> CallerSession::resolve_outcome(std::size_t record) {
  for (std::uint32_t tries = 0; tries < settings_.resolve_attempts; ++tries) {
    const bool resolved = co_await resolve_once(record);
    if (resolved) {
      ++statistics_.resolved;
      co_return;
    }
    co_await runtime_.sleep_for(kResolvePause);
    move_to_another_proxy();
  }
  unresolved_.push_back(record);
  ++statistics_.unresolved;
}

Awaitable<bool> CallerSession::resolve_once(std::size_t record) {
  const auto key = parse_record_key(history_.operations[record].records.front());
  ResolveRequest request;
  request.database = key->database;
  request.partition_key = key->partition_key;
  request.id = RequestId{name_, history_.operations[record].number};
  request.session_token = token_;
  Reason reason;
  const auto resolved = co_await client_.resolve(request, settings_.resolve_limit, reason);
  if (!resolved) co_return false;
  OperationRecord& operation = history_.operations[record];
  const bool committed = resolved->outcome == ResolvedOutcome::kCommitted;
  operation.outcome = committed ? OperationOutcome::kAcknowledged : OperationOutcome::kNotRun;
  operation.answered = runtime_.now().time_since_epoch().count();
  operation.served_by = resolved->backend;
  operation.answered_for = resolved->request_id;
  if (!resolved->session_token.empty()) token_ = resolved->session_token;
  co_return true;
}

Awaitable<void> CallerSession::resolve_leftovers() {
  const std::vector<std::size_t> leftovers = unresolved_;
  unresolved_.clear();
  for (const std::size_t record : leftovers) {
    co_await resolve_outcome(record);
    --statistics_.unresolved;
  }
}

Awaitable<void> CallerSession::wait_before_retry(CallAnswer refused, std::uint32_t refusals_before) {
  if (belongs_to_the_proxy(refused)) move_to_another_proxy();
  // When a proxy without a lease serves again says nothing of another one.
  if (refused.reason.code == ReasonCode::kLeaseExpired) refused.retry_after = Duration(0);
  // A proxy that says "elsewhere, at once" is believed; when elsewhere says the same, the wait doubles.
  const Duration backoff = kShortestRetryWait * (1U << std::min(refusals_before, kMostDoublings));
  const Duration wait = std::min(std::max(refused.retry_after, backoff), kLongestRetryWait);
  // Spread, so that callers refused together do not come back together.
  co_await runtime_.sleep_for(runtime_.random().between(wait, wait + wait / 2));
}

StatementRequest CallerSession::make_request(const PlannedOperation& operation, const RequestId& id) const {
  StatementRequest request;
  request.database = operation.records.front().database;
  request.partition_key = operation.records.front().partition_key;
  request.repeatable = operation.repeatable;
  request.priority = operation.priority;
  request.time_limit = settings_.statement_limit;
  request.id = id;
  request.answered_up_to = answered_up_to();
  request.session_token = token_;
  return request;
}

std::size_t CallerSession::record_start(const PlannedOperation& operation, const std::string& value,
                                        const RequestId& id) {
  OperationRecord record;
  record.session = name_;
  record.number = id.number;
  record.kind = operation.kind;
  record.repeatable = operation.repeatable;
  record.priority = operation.priority == Priority::kHigh;
  for (const RecordKey& key : operation.records) record.records.push_back(key.to_string());
  if (operation.kind != OperationKind::kRead) record.value = value;
  record.proxy = client_.proxy().to_string();
  record.invoked = runtime_.now().time_since_epoch().count();
  history_.operations.push_back(std::move(record));
  return history_.operations.size() - 1;
}

void CallerSession::record_answer(std::size_t record, const CallAnswer& answer) {
  OperationRecord& operation = history_.operations[record];
  operation.outcome = outcome_of(answer.outcome);
  operation.answered_for = answer.request_id;
  operation.served_by = answer.backend;
  operation.served_by_replica = answer.outcome == CallOutcome::kDone && !answer.backend_is_primary;
  if (answer.outcome != CallOutcome::kNoAnswer) {
    operation.answered = runtime_.now().time_since_epoch().count();
  }
  if (answer.reason.failed()) {
    operation.refusal = reason_code_name(answer.reason.code);
    ++statistics_.refusals[operation.refusal];
  }
  if (answer.reason.code == ReasonCode::kCorrupt) operation.refusal = kAnswerNotWhole;
  if (answer.outcome != CallOutcome::kDone) return;
  if (!answer.session_token.empty()) token_ = answer.session_token;
  if (operation.kind != OperationKind::kRead) return;
  Reason reason;
  const auto entries = parse_entries(answer.result, reason);
  if (!entries) operation.refusal = kAnswerNotWhole;
  if (entries) operation.observed = *entries;
}

std::uint64_t CallerSession::answered_up_to() const {
  // The request being made is the last number; one whose outcome is unknown holds the mark back.
  const std::uint64_t before_this = last_number_ == 0 ? 0 : last_number_ - 1;
  if (unresolved_.empty()) return before_this;
  return std::min(before_this, history_.operations[unresolved_.front()].number - 1);
}

void CallerSession::move_to_another_proxy() {
  if (settings_.proxies.size() < 2) {
    client_.move_to(client_.proxy());
    return;
  }
  Endpoint next = client_.proxy();
  while (next == client_.proxy()) next = settings_.proxies[runtime_.random().below(settings_.proxies.size())];
  client_.move_to(next);
  ++statistics_.moves;
}

}  // namespace cairnhollow::standins::callers
