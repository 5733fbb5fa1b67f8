#include "declared/backend/admitted_connection.h"

namespace cairnhollow::declared::backend {

AdmittedConnection::AdmittedConnection(BackendAdmission& admission,
                                       std::shared_ptr<BackendConnection> connection,
                                       std::uint8_t priority_class)
    : admission_(admission), connection_(std::move(connection)), priority_class_(priority_class) {}

AdmittedConnection::~AdmittedConnection() {
  return_permit();
  admission_.return_connection(std::move(connection_));
}

Awaitable<bool> AdmittedConnection::take_permit(TimePoint deadline, Reason& reason) {
  if (has_permit_) co_return true;
  const AdmissionRequest request{priority_class_, deadline};
  has_permit_ = co_await admission_.enter(request, nullptr, reason);
  co_return has_permit_;
}

void AdmittedConnection::return_permit() {
  if (!has_permit_) return;
  has_permit_ = false;
  admission_.release_permit();
}

void AdmittedConnection::statement_ended() {
  return_permit();
  admission_.maintain();
}

AdmittedConnection::Measurement AdmittedConnection::begin_measurement() const {
  const bool borrowed =
      priority_class_ == admission::kUrgentClass && admission_.running_ > admission_.limit_.limit();
  return {admission_.runtime_.now(), admission_.running_, borrowed};
}

void AdmittedConnection::end_measurement(const Measurement& measurement) {
  admission_.answered(admission_.runtime_.now() - measurement.began, measurement.in_flight,
                      measurement.borrowed);
}

void AdmittedConnection::record_answer(const ExecuteAnswer& answer, const Measurement& measurement) {
  const auto* failed = std::get_if<Failed>(&answer);
  if (const auto* busy = std::get_if<Busy>(&answer)) {
    admission_.busy(busy->retry_after, measurement.borrowed);
  } else if (failed == nullptr || failed->sent != runtime::SendState::kNotSent) {
    end_measurement(measurement);
  }
}

Awaitable<std::optional<BackendStatus>> AdmittedConnection::status(TimePoint deadline, Reason& reason) {
  co_return co_await connection_->status(deadline, reason);
}

Awaitable<ExecuteAnswer> AdmittedConnection::execute(Statement statement, Requirements requirements,
                                                     Reason& reason) {
  const bool permitted = co_await take_permit(requirements.deadline, reason);
  if (!permitted) co_return Busy{admission_.suggested_retry_after()};
  const auto measurement = begin_measurement();
  auto answer = co_await connection_->execute(std::move(statement), std::move(requirements), reason);
  record_answer(answer, measurement);
  statement_ended();
  co_return answer;
}

Awaitable<std::optional<TransactionId>> AdmittedConnection::begin(DatabaseName database,
                                                                  Requirements requirements, Reason& reason) {
  auto transaction = co_await connection_->begin(std::move(database), std::move(requirements), reason);
  statement_ended();
  co_return transaction;
}

Awaitable<ExecuteAnswer> AdmittedConnection::execute_in(TransactionId transaction, Statement statement,
                                                        Requirements requirements, Reason& reason) {
  while (true) {
    const bool permitted = co_await take_permit(requirements.deadline, reason);
    if (!permitted) co_return Busy{admission_.suggested_retry_after()};
    const auto measurement = begin_measurement();
    auto answer = co_await connection_->execute_in(transaction, statement, requirements, reason);
    record_answer(answer, measurement);
    statement_ended();
    if (!std::holds_alternative<Busy>(answer) || !is_open()) co_return answer;
  }
}

Awaitable<ExecuteAnswer> AdmittedConnection::commit(TransactionId transaction, Requirements requirements,
                                                    Reason& reason) {
  while (true) {
    const bool permitted = co_await take_permit(requirements.deadline, reason);
    if (!permitted) co_return Busy{admission_.suggested_retry_after()};
    const auto measurement = begin_measurement();
    auto answer = co_await connection_->commit(transaction, requirements, reason);
    record_answer(answer, measurement);
    statement_ended();
    if (!std::holds_alternative<Busy>(answer) || !is_open()) co_return answer;
  }
}

Awaitable<bool> AdmittedConnection::rollback(TransactionId transaction, TimePoint deadline, Reason& reason) {
  co_return co_await connection_->rollback(std::move(transaction), deadline, reason);
}

Awaitable<std::optional<FenceAnswer>> AdmittedConnection::fence(std::uint64_t term, std::string owner,
                                                                TimePoint deadline, Reason& reason) {
  co_return co_await connection_->fence(term, std::move(owner), deadline, reason);
}

Awaitable<bool> AdmittedConnection::promote(std::uint64_t term, std::string owner, TimePoint deadline,
                                            Reason& reason) {
  co_return co_await connection_->promote(term, std::move(owner), deadline, reason);
}

Awaitable<bool> AdmittedConnection::follow(std::uint64_t term, BackendName primary, Endpoint endpoint,
                                           TimePoint deadline, Reason& reason) {
  co_return co_await connection_->follow(term, std::move(primary), std::move(endpoint), deadline, reason);
}

Awaitable<std::optional<ResolveAnswer>> AdmittedConnection::resolve(RequestId request, std::uint64_t term,
                                                                    TimePoint deadline, Reason& reason) {
  co_return co_await connection_->resolve(std::move(request), term, deadline, reason);
}

}  // namespace cairnhollow::declared::backend
