// A pooled backend connection together with an admission permit. Measures each statement for the concurrency
// limit and returns the permit while a transaction is idle between statements.
#pragma once

#include "declared/backend/backend_admission.h"

namespace cairnhollow::declared::backend {

/// Holds a permit until its first statement is answered. In a transaction each further statement acquires a
/// permit again and is answered Busy if it is refused one. A statement of a transaction that the backend
/// answers with Busy did not run; it waits for a permit and is sent again. Destroying this object returns the
/// connection to the pool.
class AdmittedConnection final : public BackendConnection {
 public:
  AdmittedConnection(BackendAdmission& admission, std::shared_ptr<BackendConnection> connection,
                     std::uint8_t priority_class);
  ~AdmittedConnection() override;
  AdmittedConnection(const AdmittedConnection&) = delete;
  AdmittedConnection& operator=(const AdmittedConnection&) = delete;

  Awaitable<std::optional<BackendStatus>> status(TimePoint deadline, Reason& reason) override;
  Awaitable<ExecuteAnswer> execute(Statement statement, Requirements requirements, Reason& reason) override;
  Awaitable<std::optional<TransactionId>> begin(DatabaseName database, Requirements requirements,
                                                Reason& reason) override;
  Awaitable<ExecuteAnswer> execute_in(TransactionId transaction, Statement statement,
                                      Requirements requirements, Reason& reason) override;
  Awaitable<ExecuteAnswer> commit(TransactionId transaction, Requirements requirements,
                                  Reason& reason) override;
  Awaitable<bool> rollback(TransactionId transaction, TimePoint deadline, Reason& reason) override;
  Awaitable<std::optional<FenceAnswer>> fence(std::uint64_t term, std::string owner, TimePoint deadline,
                                              Reason& reason) override;
  Awaitable<bool> promote(std::uint64_t term, std::string owner, TimePoint deadline, Reason& reason) override;
  Awaitable<bool> follow(std::uint64_t term, BackendName primary, Endpoint endpoint, TimePoint deadline,
                         Reason& reason) override;
  Awaitable<std::optional<ResolveAnswer>> resolve(RequestId request, std::uint64_t term, TimePoint deadline,
                                                  Reason& reason) override;

  [[nodiscard]] bool is_open() const override { return connection_->is_open(); }
  void close() override { connection_->close(); }
  [[nodiscard]] std::string peer() const override { return connection_->peer(); }

 private:
  /// A statement in progress.
  struct Measurement {
    TimePoint began;
    std::uint32_t in_flight = 0;
    bool borrowed = false;  ///< sent beyond the concurrency limit
  };
  Awaitable<bool> take_permit(TimePoint deadline, Reason& reason);
  void return_permit();
  /// Returns the permit and opens a connection if a queued statement now lacks only that.
  void statement_ended();
  [[nodiscard]] Measurement begin_measurement() const;
  void end_measurement(const Measurement& measurement);
  void record_answer(const ExecuteAnswer& answer, const Measurement& measurement);

  BackendAdmission& admission_;
  std::shared_ptr<BackendConnection> connection_;
  std::uint8_t priority_class_;
  bool has_permit_ = true;
};

}  // namespace cairnhollow::declared::backend
