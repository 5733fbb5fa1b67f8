// The control node's side of the follow stream: answers proxies' questions, each only after a quorum round
// that began after the question arrived, so that a control node that is cut off can renew no lease.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "declared/control/follow/config_view.h"
#include "declared/control/follow/follower_registry.h"
#include "declared/control/follow/renewal_barrier.h"
#include "declared/control/follow/update_encoder.h"
#include "declared/control/news/cluster_state_directory.h"
#include "runtime/runtime.h"
#include "wire/hello.h"

namespace cairnhollow::declared::control {

/// Counters since the start.
struct FollowServerStatistics {
  std::uint64_t questions = 0;
  std::uint64_t answers = 0;
  std::uint64_t refusals = 0;
  std::uint64_t told_to_come_back = 0;  ///< of the refusals: too many large updates were on their way
  std::uint64_t quorum_rounds = 0;      ///< barriers waited for; each serves many questions
};

/// A question without news is held for the time that it allows; all questions due are answered after one
/// read barrier. A newer question on a connection replaces an open one. When a barrier fails, all
/// questions due are refused at once. Of those that it confirms, renewals are answered before first
/// configurations, which then follow one in each turn of the event loop. Large updates on their way are
/// bounded (kMaxLargeUpdateBytesInFlight), so that many first configurations neither fill the memory nor hold
/// up the renewals of those who serve; who asks for one more gets kOverloaded at once and comes back. What it
/// refers to outlives it; it lives until the process ends.
class FollowServer {
 public:
  FollowServer(runtime::Runtime& runtime, Duration serving_lease, RenewalBarrier& barrier,
               ConfigView& configuration, ClusterStateDirectory& directory);

  void start();
  /// Refuses every open question with kDraining and closes the connections.
  void stop();
  /// Serves one follower until its connection ends.
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello);

  /// Called for each suspicion that a proxy reports. Set before start().
  void on_suspect(std::function<void(const follow::SuspectPrimary&)> callback) {
    on_suspect_ = std::move(callback);
  }
  [[nodiscard]] const FollowerRegistry& registry() const { return registry_; }
  [[nodiscard]] const FollowServerStatistics& statistics() const { return statistics_; }
  [[nodiscard]] std::size_t connections() const { return followers_.size(); }

 private:
  struct Question {
    follow::FollowRequest request;
    TimePoint arrived{};
    TimePoint hold_until{};
    bool confirmed = false;  ///< by a barrier; its first configuration is about to be sent
  };
  struct Outgoing {
    std::string frame;               ///< an encoded answer
    std::size_t large_bytes = 0;     ///< what it takes of kMaxLargeUpdateBytesInFlight
    std::uint64_t large_number = 0;  ///< of a large one, counted up from 1
  };
  struct Follower {
    std::shared_ptr<runtime::FrameConnection> connection;
    NodeName node;
    ZoneName zone;
    std::optional<Question> question;
    std::deque<Outgoing> outgoing;  ///< the front one is being sent
    bool sending = false;
  };
  using FollowerId = std::uint64_t;
  /// A question of the batch that a barrier is run for.
  struct BatchEntry {
    FollowerId follower = 0;
    std::uint64_t nonce = 0;
  };

  Awaitable<void> run();
  Awaitable<void> forward(runtime::Signal& from);
  Awaitable<void> answer_batch();
  /// Answers those that wait for a first configuration, one in each turn of the event loop.
  Awaitable<void> send_first_configurations();
  Awaitable<void> send_outgoing(std::shared_ptr<Follower> follower);
  bool take_question(Follower& follower, const std::string& frame);
  [[nodiscard]] bool is_due(const Question& question, TimePoint now) const;
  [[nodiscard]] bool any_due() const;
  [[nodiscard]] TimePoint next_due() const;
  [[nodiscard]] std::vector<BatchEntry> collect_batch() const;
  /// The follower, if the question of the batch is still its open one.
  [[nodiscard]] std::shared_ptr<Follower> find_asker(const BatchEntry& entry) const;
  void answer(const std::shared_ptr<Follower>& follower);
  void refuse(const std::shared_ptr<Follower>& follower, const Reason& reason);
  void refuse_due(const Reason& reason);
  /// Whether an update of this many bytes may be sent now.
  [[nodiscard]] bool has_room(std::size_t update_bytes) const;
  void send(const std::shared_ptr<Follower>& follower, const follow::FollowAnswer& answer);
  void release(const Outgoing& outgoing);
  /// Closes the connection when the large update is still not sent after kLargeUpdateTimeout.
  Awaitable<void> limit_large_update(std::shared_ptr<Follower> follower, std::uint64_t large_number);

  runtime::Runtime& runtime_;
  Duration serving_lease_;
  RenewalBarrier& barrier_;
  ConfigView& configuration_;
  ClusterStateDirectory& directory_;
  UpdateEncoder encoder_;
  FollowerRegistry registry_;
  FollowServerStatistics statistics_;
  std::function<void(const follow::SuspectPrimary&)> on_suspect_;
  std::map<FollowerId, std::shared_ptr<Follower>> followers_;
  FollowerId next_follower_ = 1;
  std::deque<BatchEntry> first_configurations_;  ///< confirmed, to be sent
  runtime::Signal wake_;
  TimePoint sleeping_until_ = TimePoint::max();  ///< when run() wakes by itself
  std::size_t large_bytes_ = 0;                  ///< of large updates on their way
  std::uint64_t large_updates_ = 0;
  bool sending_first_configurations_ = false;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
