#include "registered/proxy/group/connection_shares.h"

#include <algorithm>
#include <utility>

#include "registered/registry/division.h"

namespace cairnhollow::registered::proxy {

void apply_capacity(BackendState& backend, TimePoint now) {
  if (backend.room.is_divided()) backend.gate.set_capacity(backend.room.capacity(backend.gate.demand(), now));
}

void apply_link_limits(BackendState& backend, TimePoint now) {
  if (backend.room.owners().empty()) return;
  const capacity::LinkLimits limits = backend.connections.limits(now);
  backend.pool.set_limits(std::min(limits.kept, kMaxOwnedConnections),
                          std::min(limits.maximum, kMaxOwnedConnections));
}

void ConnectionShares::divide(std::uint64_t proxies) {
  proxies_ = std::max<std::uint64_t>(proxies, 1);
  serving_.reset();
  regional_.reset();
}

void ConnectionShares::divide(TenantServing serving) {
  serving_ = std::move(serving);
  regional_.reset();
}

void ConnectionShares::divide(balancing::RegionalServing serving) {
  proxies_ = std::max<std::uint64_t>(serving.all(), 1);
  serving_.reset();
  regional_ = std::move(serving);
}

std::vector<subset::ProxyPointer> ConnectionShares::owners_in(const ZoneName& zone) const {
  if (!serving_) return {};
  return capacity::owners_of(serving_->proxies, zone, capacity::owner_count(serving_->slots));
}

void ConnectionShares::apply_to(BackendState& backend, TimePoint now) const {
  if (serving_) return apply_owned_share(backend, now);
  apply_even_share(backend);
}

void ConnectionShares::apply_even_share(BackendState& backend) const {
  backend.room.clear();
  const std::uint64_t usable = registry::usable_connections(rule_);
  const std::uint64_t share = usable == 0 ? kMaxConnections : links_to(backend.entry.zone);
  const std::uint64_t links = std::clamp(share, kMinConnections, kMaxConnections);
  backend.pool.set_limit(links);
  backend.pool.set_idle_timeout(kIdleLinkTimeout);
  backend.pool.set_lasting(lasting_links_to(backend.entry.zone), kLastingLinkTimeout);
  backend.in_other_region = regional_ && !regional_->are_in_one_region(backend.entry.zone, zone_);
  backend.opens_links_ahead = !regional_ || backend.entry.zone == zone_;
  const std::uint64_t slots = std::max<std::uint64_t>(backend.entry.slots / users_of(backend.entry.zone), 1);
  backend.gate.set_bounds(static_cast<std::uint32_t>(slots), static_cast<std::uint32_t>(links));
  backend.gate.set_shared_room(false);
}

std::uint64_t ConnectionShares::links_to(const ZoneName& zone) const {
  const std::uint64_t usable = registry::usable_connections(rule_);
  return regional_ ? regional_->links_per_proxy(usable, zone, zone_) : usable / proxies_;
}

std::uint64_t ConnectionShares::users_of(const ZoneName& zone) const {
  if (!regional_ || zone != zone_) return proxies_;
  return std::max<std::uint64_t>(regional_->count_in(zone), 1);
}

std::uint64_t ConnectionShares::lasting_links_to(const ZoneName& zone) const {
  if (!regional_ || zone != zone_) return 0;
  return registry::usable_connections(rule_) / kLastingLinksDivisor / users_of(zone);
}

void ConnectionShares::apply_owned_share(BackendState& backend, TimePoint now) const {
  backend.pool.set_lasting(0, kLastingLinkTimeout);
  backend.in_other_region = false;
  backend.opens_links_ahead = true;
  const auto slots = static_cast<std::uint32_t>(backend.entry.slots);
  const std::uint64_t removed = backend.room.set_owners(slots, owners_in(backend.entry.zone), serving_->self);
  const std::uint64_t owners = backend.room.owners().size();
  const bool is_owner = backend.room.is_owner();
  const capacity::ConnectionUsers users{registry::usable_connections(rule_), owners,
                                        serving_->proxies.size() - owners, is_owner};
  backend.connections.set_users(users, removed, now);
  backend.pool.set_idle_timeout(is_owner ? kOwnedIdleLinkTimeout : kIdleLinkTimeout);
  apply_link_limits(backend, now);
  backend.gate.set_shared_room(backend.room.is_divided());
  if (backend.room.is_divided()) return apply_capacity(backend, now);
  backend.gate.set_bounds(1, static_cast<std::uint32_t>(backend.pool.kept_limit()));
}

}  // namespace cairnhollow::registered::proxy
