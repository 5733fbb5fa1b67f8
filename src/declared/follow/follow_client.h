// Client side of the follow protocol: keeps the configuration, the groups' primaries and the serving lease up
// to date by polling one of several control nodes.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "declared/follow/serving_configuration.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"
#include "wire/hello.h"

namespace cairnhollow::declared::follow {

struct FollowClientSettings {
  NodeName node;
  ZoneName zone;
  std::vector<Endpoint> control_endpoints;                    ///< in order of preference
  Duration follow_interval = std::chrono::milliseconds(500);  ///< maximum time between lease renewals
  Duration follow_timeout =
      std::chrono::milliseconds(700);  ///< time without an answer after which another control node is tried
  /// False only in scale runs, where one machine simulates many followers: updates are received and counted
  /// but not decoded, and only the revision and the lease are kept.
  bool decode_updates = true;
};

/// Counters since start, for metrics and scale runs.
struct FollowStatistics {
  std::uint64_t requests = 0;
  std::uint64_t answers = 0;
  std::uint64_t stale_answers = 0;  ///< dropped because the nonce belonged to an older request
  std::uint64_t snapshots = 0;
  std::uint64_t busy_answers = 0;   ///< refusals after which the same control node is asked again
  std::uint64_t node_switches = 0;  ///< switches to another control node
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/// Long polling: one request is nearly always open, and the control node holds it until it has news or the
/// hold time has elapsed. A newer request replaces an open one. The lease counts from the time at which the
/// request was sent, on this process's clock (Gray and Cheriton, Leases, SOSP 1989). `runtime` is not owned
/// and must outlive this object, which must live until the process ends.
class FollowClient {
 public:
  FollowClient(runtime::Runtime& runtime, FollowClientSettings settings);

  /// Starts following; retries until stop().
  void start();
  /// Closes the connection and ends the loop. The last configuration stays readable.
  void stop();

  [[nodiscard]] const ServingConfiguration& current() const { return current_; }
  /// Whether new work may be accepted at `now`. Must be checked again immediately before a statement is sent.
  [[nodiscard]] bool lease_valid(TimePoint now) const { return now < current_.lease_deadline; }
  /// Reports a suspected primary to the control node without delay. Repeated reports on a group within
  /// kSuspectRepeatInterval are dropped.
  void report_suspect(SuspectPrimary suspect);
  /// Sets the load reported with the next request; a change of `draining` triggers a request at once.
  void set_load(std::uint64_t in_flight, bool draining);

  /// Sends a request at once and returns true once a request sent after this call was answered, by any
  /// control node: a node that refuses is abandoned for the next one meanwhile. Calls made while a request is
  /// open share the next one. Returns false with `reason` by `deadline`, or earlier if the control node is
  /// busy. Relays use this to confirm a quorum round for their own followers.
  Awaitable<bool> renew(TimePoint deadline, Reason& reason);

  /// Sets the callback invoked after each answer that changed the configuration, the groups or the leaving
  /// list (not for plain lease renewals). Must be called before start().
  void on_change(std::function<void(const AnswerEffect&)> callback) { on_change_ = std::move(callback); }
  /// Notified after each accepted answer, including renewals.
  runtime::Signal& answered() { return answered_; }

  [[nodiscard]] const FollowStatistics& statistics() const { return statistics_; }
  /// Why the last control node was abandoned.
  [[nodiscard]] const Reason& last_failure() const { return last_failure_; }
  /// The control node currently followed; empty if there is none.
  [[nodiscard]] const std::string& followed_peer() const { return followed_peer_; }

 private:
  /// One connection, shared with the coroutine that reads from it.
  struct Link {
    std::shared_ptr<runtime::FrameConnection> connection;
    std::deque<std::string> frames;  ///< received and not yet processed
    bool broken = false;
    Reason reason;  ///< why the connection broke
    std::uint64_t news_version = 0;
    std::uint64_t nonce = 0;       ///< of the newest request
    TimePoint sent_at{};           ///< when the newest request was sent
    TimePoint unanswered_since{};  ///< when the oldest request since the last answer was sent
    bool awaiting_answer = false;
    std::optional<TimePoint> busy_since;  ///< start of the current run of busy answers
    std::uint64_t bytes_seen = 0;         ///< bytes received when progress was last checked
  };
  enum class WaitResult : std::uint8_t { kAnswered, kRequestAgain, kBusy, kFailed };

  Awaitable<void> run();
  Awaitable<void> read_frames(std::shared_ptr<Link> link);
  /// Sends requests over one connection until it fails. Returns true if it granted at least one lease.
  Awaitable<bool> run_session(std::shared_ptr<Link> link);
  Awaitable<bool> send_hello(std::shared_ptr<Link> link);
  Awaitable<bool> send_request(std::shared_ptr<Link> link, Duration hold);
  Awaitable<WaitResult> wait_for_answer(std::shared_ptr<Link> link);
  /// Whether a first configuration is arriving: bytes were received since the previous call.
  [[nodiscard]] bool is_receiving(Link& link) const;
  Awaitable<void> pause_before_next_request(std::shared_ptr<Link> link);
  Awaitable<void> pause_while_busy(std::shared_ptr<Link> link);
  Awaitable<void> pause_after_failure(bool lease_granted);
  /// Processes the frames received; kRequestAgain means that none of them was the awaited answer.
  WaitResult process_frames(Link& link);
  WaitResult process_answer(Link& link, const FollowAnswer& answer);
  WaitResult process_busy_answer(Link& link);
  [[nodiscard]] bool must_request_now() const { return request_now_ && !stopping_; }

  runtime::Runtime& runtime_;
  FollowClientSettings settings_;
  ServingConfiguration current_;
  wire::ClientHandshake greeting_;
  std::function<void(const AnswerEffect&)> on_change_;
  runtime::Signal answered_;
  runtime::Signal wake_;
  FollowStatistics statistics_;
  Reason last_failure_;
  std::string followed_peer_;
  std::shared_ptr<Link> link_;
  std::vector<SuspectPrimary> suspects_;
  std::map<GroupName, TimePoint> last_suspect_reports_;  ///< when each group's primary was last reported
  std::uint64_t next_nonce_ = 1;
  std::uint64_t in_flight_ = 0;
  bool draining_ = false;
  bool request_now_ = false;
  std::uint64_t last_answered_nonce_ = 0;  ///< nonce of the newest answered request
  std::size_t pending_renewals_ = 0;
  bool stopping_ = false;
  std::size_t endpoint_index_ = 0;
  std::size_t consecutive_failures_ = 0;
};

}  // namespace cairnhollow::declared::follow
