// A connection that was admitted to a backend. It measures each statement for the concurrency limit, and
// gives its permit back while a transaction idles between two statements.
#pragma once

#include "declared/backend/backend_admission.h"

namespace cairnhollow::declared::backend {

/// Holds a permit until its first statement is answered. In a transaction each further statement takes one
/// again, and is answered Busy when it gets none in time; one that the backend was too busy for did not run,
/// and waits for a permit as before it was sent. Destroying it returns the connection to the pool.
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
  /// One statement under way.
  struct Measurement {
    TimePoint began;
    std::uint32_t in_flight = 0;
    bool borrowed = false;  ///< it went beyond the concurrency limit
  };
  Awaitable<bool> take_permit(TimePoint deadline, Reason& reason);
  void return_permit();
  /// Returns the permit, and has a connection opened for a statement that now lacks only that.
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
