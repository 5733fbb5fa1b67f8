#include "declared/control/follow/follower_registry.h"

#include <algorithm>

#include "declared/control/knobs.h"

namespace cairnhollow::declared::control {

Duration lease_with_drift(Duration serving_lease) {
  return serving_lease + serving_lease / kClockDriftDivisor;
}

void FollowerRegistry::record_request(const NodeName& node, const ZoneName& zone,
                                      const follow::FollowRequest& request) {
  auto& follower = followers_[node];
  follower.node = node;
  follower.zone = zone;
  follower.revision = request.revision;
  follower.in_flight = request.in_flight;
  follower.draining = request.draining;
}

void FollowerRegistry::record_lease(const NodeName& node, TimePoint arrived) {
  auto& follower = followers_[node];
  follower.node = node;
  follower.lease_until = std::max(follower.lease_until, arrived + lease_with_drift(serving_lease_));
}

void FollowerRegistry::remove_expired(TimePoint now) {
  std::erase_if(followers_, [&](const auto& entry) {
    return entry.second.lease_until + kExpiredFollowerRetention < now;
  });
}

std::vector<FollowerStatus> FollowerRegistry::list() const {
  std::vector<FollowerStatus> all;
  all.reserve(followers_.size());
  for (const auto& [node, follower] : followers_) all.push_back(follower);
  return all;
}

std::size_t FollowerRegistry::serving(TimePoint now) const {
  std::size_t count = 0;
  for (const auto& [node, follower] : followers_) count += follower.may_serve(now) ? 1 : 0;
  return count;
}

std::optional<std::uint64_t> FollowerRegistry::least_revision(TimePoint now) const {
  std::optional<std::uint64_t> least;
  for (const auto& [node, follower] : followers_) {
    if (!follower.may_serve(now)) continue;
    least = std::min(least.value_or(follower.revision), follower.revision);
  }
  return least;
}

}  // namespace cairnhollow::declared::control
