#include "standins/database/statement_service.h"

#include <fmt/format.h>

#include <algorithm>

namespace cairnhollow::standins::database {

using declared::backend::ExecuteAnswer;
using declared::backend::Requirements;
using runtime::HttpConnectionId;

namespace {

constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(1);

ExecuteAnswer refuse(ReasonCode code, const char* step, std::string detail, Reason& reason) {
  reason = Reason{code, step, "", detail};
  return declared::backend::StatementRefused{std::move(detail)};
}

ExecuteAnswer unknown(const char* step, std::string detail, Reason& reason) {
  reason = Reason{ReasonCode::kOutcomeUnknown, step, "", std::move(detail)};
  return declared::backend::Failed{runtime::SendState::kMaybeSent};
}

ExecuteAnswer already_decided(const RequestOutcome& outcome, Reason& reason) {
  reason = Reason{outcome.committed ? ReasonCode::kAlreadyExists : ReasonCode::kAborted, "check_ledger", "",
                  "the request was decided before"};
  return declared::backend::AlreadyDecided{outcome.committed, outcome.body, outcome.position};
}

ExecuteAnswer expired(Reason& reason) {
  return unknown("check_ledger", "the request is older than the ledger's memory; it did not run now", reason);
}

ExecuteAnswer answer_for(const ApplyResult& result, Reason& reason) {
  switch (result.kind) {
    case ApplyResultKind::kCommitted:
      return declared::backend::Written{result.outcome.body, result.outcome.position};
    case ApplyResultKind::kConflict:
      return refuse(ReasonCode::kConflict, "commit", "a record that it read was written since", reason);
    case ApplyResultKind::kAlreadyDecided:
      return already_decided(result.outcome, reason);
    case ApplyResultKind::kExpired:
      break;
  }
  return expired(reason);
}

}  // namespace

Awaitable<ExecuteAnswer> StatementService::execute(HttpConnectionId connection,
                                                   declared::backend::StatementCall call, Reason& reason) {
  if (!connections_.is_open(connection)) {
    co_return refuse(ReasonCode::kInvalidArgument, "execute", "the connection was not opened", reason);
  }
  auto statement = parse_statement(call.statement.database, call.statement.text, reason);
  if (!statement) co_return declared::backend::StatementRefused{reason.detail};
  if (call.statement.kind == declared::backend::StatementKind::kWrite) {
    co_return co_await write(std::move(*statement), std::move(call.requirements), reason);
  }
  if (statement->writes()) {
    co_return refuse(ReasonCode::kInvalidArgument, "execute", "a read statement may not write", reason);
  }
  co_return co_await read(std::move(*statement), std::move(call.requirements), reason);
}

Awaitable<ExecuteAnswer> StatementService::read(ParsedStatement statement, Requirements requirements,
                                                Reason& reason) {
  auto refusal = co_await check_read(requirements, reason);
  if (refusal) co_return std::move(*refusal);
  const auto slot = slots_.take();
  if (!slot) co_return busy(reason);
  co_await hold_slot();
  std::vector<OperationResult> results;
  for (const auto& operation : statement.operations) {
    OperationResult result;
    result.entries = member_.state().records().read(operation.record).entries;
    results.push_back(std::move(result));
  }
  declared::backend::Rows rows;
  rows.body = format_results(results, statement.single_operation);
  rows.position = member_.state().applied();
  co_return rows;
}

Awaitable<StatementService::MaybeAnswer> StatementService::check_read(Requirements requirements,
                                                                      Reason& reason) {
  if (requirements.confirmed_read) {
    auto refusal = co_await check_primary(requirements.term, requirements.deadline, reason);
    if (refusal) co_return refusal;
    const auto give_up = std::min(requirements.deadline, runtime_.now() + tunables_.primary_silence_limit);
    const bool confirmed = co_await member_.confirm(give_up);
    if (!confirmed) {
      reason = Reason{ReasonCode::kNoQuorum, "confirm_read", "", "no majority confirmed the primary"};
      co_return not_primary();
    }
  }
  const auto wait_until = std::min(requirements.deadline, runtime_.now() + requirements.wait_for_position);
  const bool applied = co_await member_.wait_until_applied(requirements.minimum_position, wait_until);
  if (applied) co_return std::nullopt;
  reason = Reason{ReasonCode::kTooStale, "read", "", "the required position is not applied"};
  co_return declared::backend::TooStale{member_.state().applied()};
}

Awaitable<ExecuteAnswer> StatementService::write(ParsedStatement statement, Requirements requirements,
                                                 Reason& reason) {
  auto refusal = co_await check_primary(requirements.term, requirements.deadline, reason);
  if (refusal) co_return std::move(*refusal);
  auto outcome = co_await find_outcome(requirements.request_id, requirements.deadline, reason);
  if (outcome) co_return std::move(*outcome);
  {
    const auto slot = slots_.take();
    if (!slot) co_return busy(reason);
    co_await hold_slot();
  }
  WriteCommand command;
  command.operations = std::move(statement.operations);
  command.single_operation = statement.single_operation;
  co_return co_await write_to_log(std::move(command), std::move(requirements), reason);
}

Awaitable<ExecuteAnswer> StatementService::write_to_log(WriteCommand command, Requirements requirements,
                                                        Reason& reason) {
  if (is_known(requirements.request_id)) {
    auto outcome = co_await find_outcome(requirements.request_id, requirements.deadline, reason);
    if (outcome) co_return std::move(*outcome);
  }
  // No wait lies between these checks and the append.
  auto refusal = check_primary_now(requirements.term, reason);
  if (refusal) co_return std::move(*refusal);
  if (requirements.deadline <= runtime_.now()) {
    co_return refuse(ReasonCode::kDeadlineExceeded, "write", "the deadline has passed", reason);
  }
  command.request = requirements.request_id;
  command.answered_up_to = requirements.answered_up_to;
  auto entry = member_.append(std::move(command));
  co_return co_await wait_for_result(std::move(entry), requirements.deadline, reason);
}

Awaitable<ExecuteAnswer> StatementService::wait_for_result(std::shared_ptr<PendingEntry> entry,
                                                           TimePoint deadline, Reason& reason) {
  while (!entry->result && !entry->lost && runtime_.now() < deadline && member_.hears_majority()) {
    const auto look_again = std::min(deadline, runtime_.now() + tunables_.primary_silence_limit);
    co_await member_.wait_for(entry, look_again);
  }
  if (entry->result) co_return answer_for(*entry->result, reason);
  const auto* detail = entry->lost ? "ceased to be primary before the entry was committed"
                                   : "the entry was not committed within its time";
  co_return unknown("write", detail, reason);
}

Awaitable<StatementService::MaybeAnswer> StatementService::check_primary(std::uint64_t term,
                                                                         TimePoint deadline, Reason& reason) {
  if (member_.is_primary() && member_.term() == term && !member_.serves()) {
    // Newly promoted: the first entry of its term is about to be committed.
    const auto give_up = std::min(deadline, runtime_.now() + tunables_.primary_silence_limit);
    co_await member_.wait_until_serving(term, give_up);
  }
  co_return check_primary_now(term, reason);
}

StatementService::MaybeAnswer StatementService::check_primary_now(std::uint64_t term, Reason& reason) const {
  if (!member_.is_primary() || member_.term() != term) {
    reason =
        Reason{ReasonCode::kNotPrimary, "check_primary", "", fmt::format("not the primary of term {}", term)};
    return not_primary();
  }
  if (!member_.hears_majority()) {
    reason = Reason{ReasonCode::kNoQuorum, "check_primary", "", "the primary hears no majority"};
    return not_primary();
  }
  if (!member_.serves()) {
    reason = Reason{ReasonCode::kNoQuorum, "check_primary", "", "the term's first entry is not committed"};
    return declared::backend::Busy{tunables_.primary_silence_limit};
  }
  return std::nullopt;
}

bool StatementService::is_known(const std::optional<RequestId>& request) const {
  if (!request) return false;
  const auto& ledger = member_.state().ledger();
  return ledger.find(*request) || ledger.expired(*request) || member_.in_flight(*request);
}

Awaitable<StatementService::MaybeAnswer> StatementService::find_outcome(std::optional<RequestId> request,
                                                                        TimePoint deadline, Reason& reason) {
  if (!request) co_return std::nullopt;
  const auto in_flight = member_.in_flight(*request);
  if (in_flight) {
    co_await member_.wait_for(in_flight, deadline);
    if (!in_flight->result) {
      co_return unknown("check_ledger", "another copy of the request is still in flight", reason);
    }
  }
  const auto outcome = member_.state().ledger().find(*request);
  if (outcome) co_return already_decided(*outcome, reason);
  if (member_.state().ledger().expired(*request)) co_return expired(reason);
  co_return std::nullopt;
}

Awaitable<declared::backend::BeginAnswer> StatementService::begin(HttpConnectionId connection,
                                                                  declared::backend::BeginCall call,
                                                                  Reason& reason) {
  if (!connections_.is_open(connection)) {
    reason = Reason{ReasonCode::kInvalidArgument, "begin", "", "the connection was not opened"};
    co_return declared::backend::Refused{};
  }
  const auto term = call.requirements.term;
  const auto refusal = co_await check_primary(term, call.requirements.deadline, reason);
  if (refusal) co_return declared::backend::Refused{tunables_.primary_silence_limit};
  if (!connections_.is_open(connection)) {
    reason = Reason{ReasonCode::kConnectionLost, "begin", "", "closed while the transaction began"};
    co_return declared::backend::Refused{};
  }
  co_return declared::backend::TransactionBegun{connections_.begin(connection, call.database, term)->id()};
}

Awaitable<ExecuteAnswer> StatementService::execute_in(HttpConnectionId connection,
                                                      declared::backend::StatementCall call, Reason& reason) {
  const auto transaction = connections_.find(connection, call.transaction, reason);
  if (!transaction) co_return declared::backend::StatementRefused{reason.detail};
  const auto statement = parse_statement(transaction->database(), call.statement.text, reason);
  if (!statement) co_return declared::backend::StatementRefused{reason.detail};
  const auto slot = slots_.take();
  if (!slot) co_return busy(reason);
  co_await hold_slot();
  auto refusal = check_primary_now(transaction->term(), reason);
  if (refusal) co_return std::move(*refusal);
  std::vector<OperationResult> results;
  for (const auto& operation : statement->operations) {
    results.push_back(transaction->run(operation, member_.state().records()));
  }
  declared::backend::Rows rows;
  rows.body = format_results(results, statement->single_operation);
  rows.position = member_.state().applied();
  if (!statement->writes()) co_return rows;
  co_return declared::backend::Written{rows.body, Position{}};
}

Awaitable<ExecuteAnswer> StatementService::commit(HttpConnectionId connection,
                                                  declared::backend::FinishCall call, Reason& reason) {
  auto requirements = std::move(call.requirements);
  auto outcome = co_await find_outcome(requirements.request_id, requirements.deadline, reason);
  if (outcome) co_return std::move(*outcome);
  const auto transaction = connections_.find(connection, call.transaction, reason);
  if (!transaction) co_return declared::backend::StatementRefused{reason.detail};
  connections_.end_transaction(connection);
  requirements.term = transaction->term();
  co_return co_await write_to_log(transaction->to_command(), std::move(requirements), reason);
}

declared::backend::DoneAnswer StatementService::rollback(HttpConnectionId connection,
                                                         const declared::backend::FinishCall& call,
                                                         Reason& reason) {
  if (!connections_.find(connection, call.transaction, reason)) return declared::backend::Refused{};
  connections_.end_transaction(connection);
  return declared::backend::Done{};
}

Awaitable<declared::backend::ResolveReply> StatementService::resolve(declared::backend::ResolveCall call,
                                                                     Reason& reason) {
  const auto& ledger = member_.state().ledger();
  if (!ledger.find(call.request)) {
    const auto refusal = co_await check_primary(call.term, call.deadline, reason);
    if (refusal) co_return declared::backend::Refused{tunables_.primary_silence_limit};
  }
  // A copy in flight decides; without one an abort is put in its way.
  auto entry = member_.in_flight(call.request);
  if (!entry && !is_known(call.request)) entry = member_.append(AbortCommand{call.request});
  if (entry) co_await wait_for_result(entry, call.deadline, reason);
  const auto outcome = ledger.find(call.request);
  if (outcome) {
    reason = Reason{};
    co_return declared::backend::ResolveAnswer{outcome->committed, outcome->body, outcome->position};
  }
  const auto* detail = ledger.expired(call.request) ? "the outcome is older than the ledger's memory"
                                                    : "the outcome could not be decided in time";
  reason = Reason{ReasonCode::kOutcomeUnknown, "resolve", "", detail};
  co_return declared::backend::Refused{tunables_.primary_silence_limit};
}

declared::backend::NotPrimary StatementService::not_primary() const {
  const auto primary = member_.known_primary();
  return {member_.term(), member_.is_primary() ? BackendName() : primary};
}

ExecuteAnswer StatementService::busy(Reason& reason) const {
  reason = Reason{ReasonCode::kOverloaded, "take_slot", "", "all slots are in use"};
  return declared::backend::Busy{std::max(tunables_.statement_duration, kShortestRetryAfter)};
}

Awaitable<void> StatementService::hold_slot() {
  if (tunables_.statement_duration > Duration(0)) co_await runtime_.sleep_for(tunables_.statement_duration);
}

}  // namespace cairnhollow::standins::database
