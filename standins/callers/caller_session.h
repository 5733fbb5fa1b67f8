// One caller: performs its operations one after another through one proxy at a time, moves between
// proxies, keeps the session token, and ends every write with a definite outcome where the system gives one.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "runtime/signal.h"
#include "standins/callers/load_statistics.h"
#include "standins/callers/proxy_client.h"
#include "standins/callers/workload.h"

namespace cairnhollow::standins::callers {

struct CallerSettings {
  std::vector<Endpoint> proxies;
  Duration statement_limit = std::chrono::seconds(5);   ///< deadline of one attempt
  Duration operation_limit = std::chrono::seconds(20);  ///< then no further attempt is made
  Duration resolve_limit = std::chrono::seconds(3);     ///< of one resolve
  std::uint32_t resolve_attempts = 5;
  std::uint32_t roam_per_thousand = 50;  ///< moves to another proxy before an operation
  /// Writes that are sent once more under their number through another proxy, whatever the first answer was.
  std::uint32_t resend_per_thousand = 0;
  /// Reads that are sent without a request id.
  std::uint32_t unnamed_reads_per_thousand = 0;
  /// The operation's limit runs from when it was due, also while the session is busy with an earlier one:
  /// a caller who has waited that long has lost interest.
  bool limit_from_due = false;
};

class CallerSession {
 public:
  /// `settings`, `history` and `statistics` outlive the session.
  CallerSession(runtime::Runtime& runtime, SessionName name, const CallerSettings& settings, History& history,
                LoadStatistics& statistics);

  /// Adds an operation that is due at `due`.
  void enqueue(PlannedOperation operation, TimePoint due);
  /// No more operations will come: run() returns once the queue is empty.
  void finish();
  Awaitable<void> run();
  /// Asks once more for outcomes that are still unknown.
  Awaitable<void> resolve_leftovers();

 private:
  struct QueuedOperation {
    PlannedOperation operation;
    TimePoint due;
  };

  Awaitable<bool> perform(PlannedOperation operation, TimePoint due);
  Awaitable<CallAnswer> attempt(PlannedOperation operation, std::string value, RequestId id);
  Awaitable<CallAnswer> attempt_transaction(PlannedOperation operation, std::string value, RequestId id);
  Awaitable<CallAnswer> fill_transaction(PlannedOperation operation, std::string value,
                                         std::string transaction);
  Awaitable<void> send_again(PlannedOperation operation, std::string value, RequestId id, std::size_t record);
  [[nodiscard]] bool chance(std::uint32_t per_thousand);
  Awaitable<void> resolve_outcome(std::size_t record);
  Awaitable<bool> resolve_once(std::size_t record);
  Awaitable<void> wait_before_retry(CallAnswer refused, std::uint32_t refusals_before);

  [[nodiscard]] StatementRequest make_request(const PlannedOperation& operation, const RequestId& id) const;
  std::size_t record_start(const PlannedOperation& operation, const std::string& value, const RequestId& id);
  void record_answer(std::size_t record, const CallAnswer& answer);
  void record_latency(OperationKind kind, Duration latency);
  [[nodiscard]] std::uint64_t answered_up_to() const;
  void move_to_another_proxy();

  runtime::Runtime& runtime_;
  SessionName name_;
  const CallerSettings& settings_;
  History& history_;
  LoadStatistics& statistics_;
  ProxyClient client_;
  runtime::Signal queue_changed_;
  std::deque<QueuedOperation> queue_;
  bool finishing_ = false;
  std::uint64_t last_number_ = 0;
  std::string token_;
  std::vector<std::size_t> unresolved_;  ///< places in the history, oldest first
};

}  // namespace cairnhollow::standins::callers
