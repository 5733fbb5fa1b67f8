// Server side of the follow protocol. Each request is answered only after a quorum round that began after the
// request arrived, so a control node cut off from the quorum cannot renew leases.
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

/// Counters since start.
struct FollowServerStatistics {
  std::uint64_t requests = 0;
  std::uint64_t answers = 0;
  std::uint64_t refusals = 0;
  std::uint64_t overload_refusals = 0;  ///< refusals because too many large updates were in flight
  std::uint64_t quorum_rounds = 0;      ///< read barriers waited for; each serves many requests
};

/// A request is held until there are changes or its hold time has elapsed. All due requests share one read
/// barrier: they are answered once it succeeds, and refused if it fails. A newer request on a connection
/// replaces the open one. Lease renewals go before first configurations, which are sent one per turn of the
/// event loop. Large updates in flight are limited (kMaxLargeUpdateBytesInFlight), so that first
/// configurations neither exhaust memory nor delay renewals; a follower above the limit gets kOverloaded at
/// once and retries. References passed to the constructor are not owned and must outlive this object, which
/// must live until the process ends.
class FollowServer {
 public:
  FollowServer(runtime::Runtime& runtime, Duration serving_lease, RenewalBarrier& barrier,
               ConfigView& configuration, ClusterStateDirectory& directory);

  void start();
  /// Refuses every open request, and each one that arrives later, with kDraining. Connections stay open until
  /// the followers close them.
  void stop();
  /// Serves one follower until its connection ends.
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> connection, wire::Hello hello);

  /// Sets the callback invoked for each suspected primary that a proxy reports. Must be called before
  /// start().
  void on_suspect(std::function<void(const follow::SuspectPrimary&)> callback) {
    on_suspect_ = std::move(callback);
  }
  [[nodiscard]] const FollowerRegistry& registry() const { return registry_; }
  [[nodiscard]] const FollowServerStatistics& statistics() const { return statistics_; }
  [[nodiscard]] std::size_t connections() const { return followers_.size(); }

 private:
  struct PendingRequest {
    follow::FollowRequest request;
    TimePoint arrived{};
    TimePoint hold_until{};
    bool confirmed = false;  ///< confirmed by a barrier; its first configuration is about to be sent
  };
  struct OutgoingAnswer {
    std::string frame;  ///< an encoded answer
    std::size_t large_bytes =
        0;  ///< bytes counted against kMaxLargeUpdateBytesInFlight; 0 for a small answer
    std::uint64_t large_update_id = 0;  ///< sequence number of a large update, from 1; 0 for a small answer
  };
  struct Follower {
    std::shared_ptr<runtime::FrameConnection> connection;
    NodeName node;
    ZoneName zone;
    std::optional<PendingRequest> pending;
    std::deque<OutgoingAnswer> outgoing;  ///< the front entry is being sent
    bool sending = false;
  };
  using FollowerId = std::uint64_t;
  /// A request in the batch that a barrier is run for.
  struct BatchEntry {
    FollowerId follower = 0;
    std::uint64_t nonce = 0;
  };

  Awaitable<void> run();
  Awaitable<void> forward(runtime::Signal& from);
  Awaitable<void> answer_batch();
  /// Answers the confirmed first configurations, one per turn of the event loop.
  Awaitable<void> send_first_configurations();
  Awaitable<void> send_outgoing(std::shared_ptr<Follower> follower);
  bool accept_request(Follower& follower, const std::string& frame);
  [[nodiscard]] bool is_due(const PendingRequest& pending, TimePoint now) const;
  [[nodiscard]] bool any_due() const;
  [[nodiscard]] TimePoint next_due() const;
  [[nodiscard]] std::vector<BatchEntry> collect_batch() const;
  /// Returns the follower if its open request is still the one in the batch, else null.
  [[nodiscard]] std::shared_ptr<Follower> find_follower(const BatchEntry& entry) const;
  void answer(const std::shared_ptr<Follower>& follower);
  void refuse(const std::shared_ptr<Follower>& follower, const Reason& reason);
  void refuse_due(const Reason& reason);
  /// Whether an update of `update_bytes` bytes may be sent now.
  [[nodiscard]] bool may_send_update(std::size_t update_bytes) const;
  void send(const std::shared_ptr<Follower>& follower, const follow::FollowAnswer& answer);
  void release(const OutgoingAnswer& outgoing);
  /// Closes the connection if the large update has not been sent within kLargeUpdateTimeout.
  Awaitable<void> enforce_send_timeout(std::shared_ptr<Follower> follower, std::uint64_t large_update_id);

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
  std::deque<BatchEntry> first_configurations_;  ///< confirmed by a barrier, waiting to be sent
  runtime::Signal wake_;
  TimePoint next_wakeup_ = TimePoint::max();  ///< when run() next wakes without a notification
  std::size_t large_bytes_ = 0;               ///< total size of the large updates in flight
  std::uint64_t last_large_update_id_ = 0;
  bool sending_first_configurations_ = false;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
