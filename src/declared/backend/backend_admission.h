// Admission of statements to one backend: a connection from the pool together with a permit under the
// concurrency limit. Statements that find none wait in order of urgency; one that can't make its deadline is
// refused at once.
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
  WaitCancellation* cancellation = nullptr;  ///< ends the wait with kCancelled; null: nobody does
};

/// Counters since the start, and what is so now.
struct AdmissionStatistics {
  std::uint32_t running = 0;
  std::uint32_t limit = 0;
  std::uint32_t connections = 0;  ///< open, idle ones included
  std::size_t waiting = 0;
  std::uint64_t admitted = 0;
  std::uint64_t admitted_at_once = 0;
  std::uint64_t refused_early = 0;  ///< could not make the deadline, or the queue was full
  std::uint64_t timed_out = 0;      ///< the deadline passed in the queue
  std::uint64_t unreachable = 0;
  std::uint64_t busy_answers = 0;
};

class AdmittedConnection;

/// Both references outlive it, it outlives what it admits, and it lives until the process ends.
class BackendAdmission {
 public:
  BackendAdmission(runtime::Runtime& runtime, BackendConnector& connector, BackendName backend);

  void set_backend(const Endpoint& endpoint, const BackendCapacity& capacity);
  /// Nothing is kept ready for the backend any more.
  void retire() { pool_.retire(); }
  /// The same, and idle connections are left to others at once.
  void release() { pool_.release(); }
  /// The backend answers again after it did not. A machine that lost its power leaves idle connections that
  /// look whole, and a write sent on one of them could only be resolved as aborted: new ones are opened
  /// instead.
  void backend_returned();
  /// Opens and closes connections as needed; called every now and then.
  void maintain();

  /// A connection that is busy with one statement or one transaction until it is destroyed. Null with
  /// kOverloaded (the deadline can't be made, the queue is full, or the backend refuses connections),
  /// kDeadlineExceeded, kCancelled, or why no connection could be opened.
  Awaitable<std::unique_ptr<AdmittedConnection>> admit(AdmissionRequest request, Reason& reason);

  /// When a statement refused now had better come back.
  [[nodiscard]] Duration suggested_retry_after() const;
  [[nodiscard]] AdmissionStatistics statistics() const;
  [[nodiscard]] const PoolStatistics& pool_statistics() const { return pool_.statistics(); }

 private:
  friend class AdmittedConnection;

  struct Waiter {
    explicit Waiter(runtime::Runtime& runtime) : woken(runtime) {}
    bool needs_connection = true;
    bool decided = false;
    std::shared_ptr<BackendConnection> connection;  ///< set when admitted, if it needs one
    std::optional<Reason> refusal;                  ///< set when refused
    runtime::Signal woken;
  };
  using Queue = admission::AdmissionQueue<Waiter>;

  /// Waits for a permit, and for a connection when `connection` is given.
  Awaitable<bool> enter(AdmissionRequest request, std::shared_ptr<BackendConnection>* connection,
                        Reason& reason);
  bool enter_at_once(std::shared_ptr<BackendConnection>* connection);
  bool may_wait(const AdmissionRequest& request, Reason& reason);
  /// Makes room in a full queue for `key`; false when nobody in it is less urgent.
  bool make_room(const admission::AdmissionKey& key);
  void dispatch();
  void cancel(const admission::AdmissionKey& key, const std::shared_ptr<Waiter>& waiter);
  void decide(const admission::AdmissionKey& key, const std::shared_ptr<Waiter>& waiter);
  void refuse_all_without_connection(const Reason& reason);
  bool refuse(ReasonCode code, const char* detail, Reason& reason) const;
  [[nodiscard]] std::size_t waiting_for_connection() const;
  [[nodiscard]] Duration expected_wait(std::size_t ahead, std::uint32_t at_once) const;
  /// What may be under way for a statement of this class to be sent or awaited.
  [[nodiscard]] std::uint32_t limit_for(const admission::AdmissionKey& key) const;
  /// An urgent statement that waits would be late, or just in time, with the limit alone.
  [[nodiscard]] bool urgent_is_pressed() const;
  [[nodiscard]] bool is_pressed(const admission::AdmissionKey& key, std::size_t ahead) const;
  /// A statement that starts later is not answered by its deadline: it would only take a slot from one that
  /// is.
  [[nodiscard]] TimePoint latest_start(TimePoint deadline) const;

  void release_permit();
  void give_back(std::shared_ptr<BackendConnection> connection);
  void answered(Duration latency, std::uint32_t in_flight, bool borrowed);
  /// The backend's slots are taken: nothing more is sent until a statement of this proxy is answered, which
  /// frees a slot, or `retry_after` (at most kLongestBusyPause) is over. A borrowed slot that was not there
  /// says nothing about the limit.
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
  bool resuming_ = false;  ///< resume_after_pause() runs
  AdmissionStatistics statistics_;
};

}  // namespace cairnhollow::declared::backend
