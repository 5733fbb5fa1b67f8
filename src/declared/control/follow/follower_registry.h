// Tracks the followers of a control node: revision, lease and load of each proxy as of its last request.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/types.h"
#include "declared/follow/messages.h"

namespace cairnhollow::declared::control {

struct FollowerStatus {
  NodeName node;
  ZoneName zone;
  std::uint64_t revision = 0;  ///< lower bound: the proxy named it in a request
  TimePoint
      lease_until{};  ///< on this node's clock; the proxy's lease has expired by then, clock drift included
  std::uint64_t in_flight = 0;
  bool draining = false;
  [[nodiscard]] bool may_serve(TimePoint now) const { return now < lease_until; }
};

/// Keeps an entry for some time after the proxy's lease has expired.
class FollowerRegistry {
 public:
  explicit FollowerRegistry(Duration serving_lease) : serving_lease_(serving_lease) {}

  void record_request(const NodeName& node, const ZoneName& zone, const follow::FollowRequest& request);
  /// Records that a lease was granted for a request that arrived at `arrived`.
  void record_lease(const NodeName& node, TimePoint arrived);
  /// Removes proxies whose lease expired more than kExpiredFollowerRetention before `now`.
  void remove_expired(TimePoint now);

  [[nodiscard]] std::vector<FollowerStatus> list() const;
  /// Number of proxies whose lease has not expired at `now`.
  [[nodiscard]] std::size_t serving(TimePoint now) const;
  /// Lowest revision among the proxies that may serve at `now`, or std::nullopt if there are none.
  [[nodiscard]] std::optional<std::uint64_t> least_revision(TimePoint now) const;

 private:
  Duration serving_lease_;
  std::map<NodeName, FollowerStatus> followers_;
};

/// Time after a request's arrival by which its lease has expired even on a proxy whose clock runs slower.
Duration lease_with_drift(Duration serving_lease);

}  // namespace cairnhollow::declared::control
