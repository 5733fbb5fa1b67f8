#include "registered/proxy/group/connection_shares.h"

#include <algorithm>
#include <utility>

#include "registered/registry/division.h"

namespace cairnhollow::registered::proxy {

void ConnectionShares::divide(std::uint64_t proxies) {
  proxies_ = std::max<std::uint64_t>(proxies, 1);
  serving_.reset();
  regional_.reset();
}

void ConnectionShares::divide(tenancy::ServingProxies serving) {
  proxies_ = std::max<std::uint64_t>(serving.all, 1);
  serving_ = std::move(serving);
  regional_.reset();
}

void ConnectionShares::divide(balancing::RegionalServing serving) {
  proxies_ = std::max<std::uint64_t>(serving.all(), 1);
  serving_.reset();
  regional_ = std::move(serving);
}

std::uint64_t ConnectionShares::links_to(const ZoneName& zone) const {
  const std::uint64_t usable = registry::usable_connections(rule_);
  if (usable == 0) return kMaxConnections;
  if (regional_) return regional_->links_per_proxy(usable, zone, zone_);
  return serving_ ? tenancy::links_per_proxy(usable, *serving_, zone, zone_) : usable / proxies_;
}

std::uint64_t ConnectionShares::users_of(const ZoneName& zone) const {
  const bool is_local = (serving_ || regional_) && zone == zone_;
  if (!is_local) return proxies_;
  return std::max<std::uint64_t>(serving_ ? serving_->count_in(zone) : regional_->count_in(zone), 1);
}

std::uint64_t ConnectionShares::lasting_links_to(const ZoneName& zone) const {
  if (!regional_ || zone != zone_) return 0;
  return registry::usable_connections(rule_) / kLastingLinksDivisor / users_of(zone);
}

void ConnectionShares::apply_to(BackendState& backend) const {
  const bool is_local = serving_ && backend.entry.zone == zone_;
  const std::uint64_t maximum = is_local ? kMaxLocalConnections : kMaxConnections;
  const std::uint64_t links = std::clamp(links_to(backend.entry.zone), kMinConnections, maximum);
  backend.pool.set_limit(links);
  backend.pool.set_idle_timeout(is_local ? kLocalIdleLinkTimeout : kIdleLinkTimeout);
  backend.pool.set_lasting(lasting_links_to(backend.entry.zone), kLastingLinkTimeout);
  backend.in_other_region = regional_ && !regional_->are_in_one_region(backend.entry.zone, zone_);
  backend.opens_links_ahead = !regional_ || backend.entry.zone == zone_;
  const std::uint64_t slots = std::max<std::uint64_t>(backend.entry.slots / users_of(backend.entry.zone), 1);
  backend.gate.set_bounds(static_cast<std::uint32_t>(slots), static_cast<std::uint32_t>(links));
}

}  // namespace cairnhollow::registered::proxy
