// Admits statements to one backend: each gets a pooled connection and a permit under the concurrency limit.
// Statements that find none wait in order of urgency; a statement that cannot meet its deadline is refused at
// once.
#pragma once

#include <memory>
#include <optional>

#include "admission/admission_queue.h"
#include "admission/concurrency_limit.h"
#include "declared/backend/connection_pool.h"
#include "declared/backend/urgent_allowance.h"
#include "declared/backend/wait_cancellation.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::backend {

struct AdmissionRequest {
  std::uint8_t priority_class = 0;  ///< 0 is the most urgent
  TimePoint deadline;
  WaitCancellation* cancellation = nullptr;  ///< ends the wait with kCancelled; null: not cancellable
};

/// Counters since the start, and current values.
struct AdmissionStatistics {
  std::uint32_t running = 0;
  std::uint32_t limit = 0;
  std::uint32_t connections = 0;  ///< open connections, including idle ones
  std::size_t waiting = 0;
  std::uint64_t admitted = 0;
  std::uint64_t admitted_at_once = 0;
  std::uint64_t refused_early = 0;  ///< would miss the deadline, or the queue was full
  std::uint64_t timed_out = 0;      ///< the deadline passed in the queue
  std::uint64_t unreachable = 0;
  std::uint64_t busy_answers = 0;
};

class AdmittedConnection;

/// `runtime` and `connector` are not owned and must outlive this object. This object must outlive the
/// connections it admits, and lives until the process ends.
class BackendAdmission {
 public:
  BackendAdmission(runtime::Runtime& runtime, BackendConnector& connector, BackendName backend);

  void set_backend(const Endpoint& endpoint, const BackendCapacity& capacity);
  /// Stops keeping connections open ahead of need.
  void retire() { pool_.retire(); }
  /// Same as retire(), and closes idle connections at once so that other proxies can use the capacity.
  void release() { pool_.release(); }
  /// Called when the backend answers again after a failure. Replaces the idle connections: after a power
  /// failure they still look open, and a write sent on one of them could only be resolved as aborted.
  void backend_returned();
  /// Opens and closes connections as needed; called periodically.
  void maintain();

  /// Returns a connection for one statement or one transaction; it is in use until it is destroyed. Returns
  /// null and sets `reason` to kOverloaded (the deadline cannot be met, the queue is full, or the backend
  /// refuses connections), kDeadlineExceeded, kCancelled, or the cause why no connection could be opened.
  Awaitable<std::unique_ptr<AdmittedConnection>> admit(AdmissionRequest request, Reason& reason);

  /// How long the caller of a statement refused now should wait before it retries.
  [[nodiscard]] Duration suggested_retry_after() const;
  [[nodiscard]] AdmissionStatistics statistics() const;
  [[nodiscard]] const PoolStatistics& pool_statistics() const { return pool_.statistics(); }

 private:
  friend class AdmittedConnection;

  struct Waiter {
    explicit Waiter(runtime::Runtime& runtime) : woken(runtime) {}
    bool needs_connection = true;
    bool decided = false;
    std::shared_ptr<BackendConnection> connection;  ///< set on admission if it needs one
    std::optional<Reason> refusal;                  ///< set on refusal
    runtime::Signal woken;
  };
  using Queue = admission::AdmissionQueue<Waiter>;

  /// Waits for a permit, and also for a connection if `connection` is not null.
  Awaitable<bool> enter(AdmissionRequest request, std::shared_ptr<BackendConnection>* connection,
                        Reason& reason);
  bool try_enter(std::shared_ptr<BackendConnection>* connection);
  bool may_wait(const AdmissionRequest& request, Reason& reason);
  /// Makes room in a full queue for `key` by evicting the least urgent entry. Returns false if `key` itself
  /// is the least urgent.
  bool ensure_queue_capacity(const admission::AdmissionKey& key);
  void dispatch();
  void cancel(const admission::AdmissionKey& key, const std::shared_ptr<Waiter>& waiter);
  void decide(const admission::AdmissionKey& key, const std::shared_ptr<Waiter>& waiter);
  void refuse_all_without_connection(const Reason& reason);
  bool refuse(ReasonCode code, const char* detail, Reason& reason) const;
  [[nodiscard]] std::size_t waiting_for_connection() const;
  [[nodiscard]] Duration expected_wait(std::size_t ahead, std::uint32_t at_once) const;
  /// The number of statements that may be in flight, as it applies to a statement with this key.
  [[nodiscard]] std::uint32_t limit_for(const admission::AdmissionKey& key) const;
  /// Whether a waiting urgent statement would miss its deadline, or barely meet it, under the concurrency
  /// limit alone.
  [[nodiscard]] bool urgent_is_under_deadline_pressure() const;
  [[nodiscard]] bool is_under_deadline_pressure(const admission::AdmissionKey& key, std::size_t ahead) const;
  /// The latest time at which a statement can start and still be expected to be answered by its deadline. One
  /// that starts later would only take a slot from a statement that can meet its deadline.
  [[nodiscard]] TimePoint latest_start(TimePoint deadline) const;

  void release_permit();
  void return_connection(std::shared_ptr<BackendConnection> connection);
  void answered(Duration latency, std::uint32_t in_flight, bool borrowed);
  /// The backend has no free slot. Nothing more is sent until a statement of this proxy is answered, which
  /// frees a slot, or until `retry_after` (at most kMaxBusyPause) has passed. A busy answer to a borrowed
  /// slot does not lower the concurrency limit.
  void busy(Duration retry_after, bool borrowed);
  [[nodiscard]] bool is_paused() const { return runtime_.now() < paused_until_; }
  Awaitable<void> resume_after_pause();

  runtime::Runtime& runtime_;
  BackendName backend_;
  ConnectionPool pool_;
  admission::ConcurrencyLimit limit_;
  UrgentAllowance allowance_;
  Queue queue_;
  std::uint32_t running_ = 0;
  TimePoint paused_until_{};
  bool resuming_ = false;  ///< resume_after_pause() is running
  AdmissionStatistics statistics_;
};

}  // namespace cairnhollow::declared::backend
