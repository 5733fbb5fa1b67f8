#include "registered/proxy/group/connection_shares.h"

#include <algorithm>
#include <utility>

#include "registered/registry/division.h"

namespace cairnhollow::registered::proxy {

void ConnectionShares::divide(std::uint64_t proxies) {
  proxies_ = std::max<std::uint64_t>(proxies, 1);
  serving_.reset();
}

void ConnectionShares::divide(tenancy::ServingProxies serving) {
  proxies_ = std::max<std::uint64_t>(serving.all, 1);
  serving_ = std::move(serving);
}

std::uint64_t ConnectionShares::links_to(const ZoneName& zone) const {
  const std::uint64_t usable = registry::usable_connections(rule_);
  if (usable == 0) return kMaxConnections;
  return serving_ ? tenancy::links_per_proxy(usable, *serving_, zone, zone_) : usable / proxies_;
}

void ConnectionShares::apply_to(BackendState& backend) const {
  const bool is_local = serving_ && backend.entry.zone == zone_;
  const std::uint64_t maximum = is_local ? kMaxLocalConnections : kMaxConnections;
  const std::uint64_t links = std::clamp(links_to(backend.entry.zone), kMinConnections, maximum);
  backend.pool.set_limit(links);
  backend.pool.set_idle_timeout(is_local ? kLocalIdleLinkTimeout : kIdleLinkTimeout);
  const std::uint64_t users = std::max<std::uint64_t>(is_local ? serving_->count_in(zone_) : proxies_, 1);
  const std::uint64_t slots = std::max<std::uint64_t>(backend.entry.slots / users, 1);
  backend.gate.set_bounds(static_cast<std::uint32_t>(slots), static_cast<std::uint32_t>(links));
  // While the other proxies' demand is not known, a part of the slots would leave some idle where one of the
  // proxies has all of the work.
  backend.gate.set_capacity(static_cast<std::uint32_t>(backend.entry.slots + kBackendBacklog));
  backend.gate.set_shared_room(is_local);
}

}  // namespace cairnhollow::registered::proxy
