// The proxy's side of the follow stream: keeps a copy of the configuration, the groups' primaries and the
// serving lease up to date by asking one of several control nodes, again and again.
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
  std::vector<Endpoint> control_endpoints;                    ///< preferred first
  Duration follow_interval = std::chrono::milliseconds(500);  ///< the lease is renewed at least this often
  Duration follow_timeout = std::chrono::milliseconds(700);   ///< then another control node is asked
  /// False only in scale runs, where one machine stands for many: updates are received and counted but not
  /// read, so that only the revision and the lease are kept.
  bool read_updates = true;
};

/// Counters since the start, for metrics and scale runs.
struct FollowStatistics {
  std::uint64_t questions = 0;
  std::uint64_t answers = 0;
  std::uint64_t stale_answers = 0;  ///< dropped: the nonce was of an older question
  std::uint64_t snapshots = 0;
  std::uint64_t busy_answers = 0;  ///< refusals after which the same control node is asked again
  std::uint64_t moves = 0;         ///< times that another control node was tried
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/// One question is open at nearly all times: the control node keeps it until there is news or the hold
/// time is over, so news arrives without waiting for the next question. A newer question replaces an open
/// one. The lease counts from the moment of asking, on this process's clock (Gray and Cheriton, Leases,
/// SOSP 1989). `runtime` outlives the client, and the client lives until the process ends.
class FollowClient {
 public:
  FollowClient(runtime::Runtime& runtime, FollowClientSettings settings);

  /// Starts to follow; never gives up until stop().
  void start();
  /// Ends the connection and the loop. The configuration held stays readable.
  void stop();

  [[nodiscard]] const ServingConfiguration& current() const { return current_; }
  /// Whether new work may be taken at `now`. Ask again right before a statement is sent.
  [[nodiscard]] bool lease_valid(TimePoint now) const { return now < current_.lease_deadline; }
  /// Tells the control node at once that a primary looks dead or replaced. Repeats of the same report
  /// within kSuspectRepeatInterval are dropped.
  void report_suspect(SuspectPrimary suspect);
  /// Sent along with the next question; a change of `draining` is sent at once.
  void set_load(std::uint64_t in_flight, bool draining);

  /// Asks at once, and returns true once a question asked after this call was answered, by whichever control
  /// node: one that refuses is left for the next meanwhile. Calls made while one is being asked share the
  /// next one. A relay's way to a quorum round for its own followers, who would find the other relays no
  /// better.
  Awaitable<bool> renew(TimePoint deadline, Reason& reason);

  /// Called after each answer that changed configuration, groups or the leaving list (not for mere lease
  /// renewals). Set before start().
  void on_change(std::function<void(const AnswerEffect&)> callback) { on_change_ = std::move(callback); }
  /// Notified after each accepted answer, renewals included.
  runtime::Signal& answered() { return answered_; }

  [[nodiscard]] const FollowStatistics& statistics() const { return statistics_; }
  /// Why the last control node was given up on.
  [[nodiscard]] const Reason& last_failure() const { return last_failure_; }
  /// The control node now followed; empty while there is none.
  [[nodiscard]] const std::string& followed_peer() const { return followed_peer_; }

 private:
  /// One connection. Shared with the coroutine that reads from it.
  struct Link {
    std::shared_ptr<runtime::FrameConnection> connection;
    std::deque<std::string> frames;  ///< received, not yet looked at
    bool broken = false;
    Reason reason;  ///< why it broke
    std::uint64_t news_version = 0;
    std::uint64_t nonce = 0;       ///< of the newest question
    TimePoint asked_at{};          ///< of the newest question
    TimePoint unanswered_since{};  ///< when the oldest question after the last answer was asked
    bool answer_due = false;
    std::optional<TimePoint> busy_since;  ///< no answer but busy ones since then
    std::uint64_t bytes_seen = 0;         ///< of the connection, when its progress was last looked at
  };
  enum class WaitResult : std::uint8_t { kAnswered, kAskAgain, kBusy, kFailed };

  Awaitable<void> run();
  Awaitable<void> read_frames(std::shared_ptr<Link> link);
  /// Asks over one connection until it fails. True when it gave at least one lease.
  Awaitable<bool> converse(std::shared_ptr<Link> link);
  Awaitable<bool> send_hello(std::shared_ptr<Link> link);
  Awaitable<bool> ask(std::shared_ptr<Link> link, Duration hold);
  Awaitable<WaitResult> wait_for_answer(std::shared_ptr<Link> link);
  /// Whether a first configuration is on its way: some of it came since this was last asked.
  [[nodiscard]] bool is_receiving(Link& link) const;
  Awaitable<void> pause_before_next_question(std::shared_ptr<Link> link);
  Awaitable<void> pause_while_busy(std::shared_ptr<Link> link);
  Awaitable<void> pause_after_failure(bool was_served);
  /// Looks at the frames received; kAskAgain stands for "no answer among them yet".
  WaitResult take_frames(Link& link);
  WaitResult take_answer(Link& link, const FollowAnswer& answer);
  WaitResult take_busy_answer(Link& link);
  [[nodiscard]] bool must_ask_now() const { return ask_now_ && !stopping_; }

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
  std::map<GroupName, TimePoint> suspects_reported_;  ///< when a group's primary was last reported
  std::uint64_t next_nonce_ = 1;
  std::uint64_t in_flight_ = 0;
  bool draining_ = false;
  bool ask_now_ = false;
  std::uint64_t answered_nonce_ = 0;  ///< of the newest question that was answered
  std::size_t renewals_waiting_ = 0;
  bool stopping_ = false;
  std::size_t endpoint_index_ = 0;
  std::size_t failures_in_a_row_ = 0;
};

}  // namespace cairnhollow::declared::follow
