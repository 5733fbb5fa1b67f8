#include "registered/proxy/group/group_backends.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace cairnhollow::registered::proxy {

BackendChange GroupBackends::put(const registry::BackendEntry& entry) {
  auto& backend = backends_[entry.name];
  BackendChange change = BackendChange::kSame;
  if (!backend || backend->entry.endpoint != entry.endpoint) change = BackendChange::kJoined;
  if (backend && backend->entry.incarnation() != entry.incarnation())
    change = BackendChange::kOtherIncarnation;
  if (change == BackendChange::kOtherIncarnation) backend->pool.retire();
  if (change != BackendChange::kSame) {
    if (backend) backend->pool.close_idle();
    const auto previous = backend;
    backend = std::make_shared<BackendState>(runtime_, dialer_, entry, evacuated_);
    // The same proxies own the next incarnation.
    if (previous) backend->room = previous->room;
    if (previous) backend->connections = previous->connections;
  }
  backend->entry = entry;
  if (!entry.leaving) backend->leaving_since.reset();
  if (entry.leaving && !backend->leaving_since) backend->leaving_since = runtime_.now();
  shares_.apply_to(*backend, runtime_.now());
  return change;
}

bool GroupBackends::remove(const BackendName& name) {
  const auto found = backends_.find(name);
  if (found == backends_.end()) return false;
  // Holders of this object can no longer open links to the backend, and links that they release are closed.
  found->second->pool.retire();
  backends_.erase(found);
  return true;
}

std::shared_ptr<BackendState> GroupBackends::at(std::size_t index) const {
  return std::next(backends_.begin(), static_cast<std::ptrdiff_t>(index))->second;
}

std::shared_ptr<BackendState> GroupBackends::named_primary() const {
  const auto found = backends_.find(leadership_.term().primary);
  return found == backends_.end() ? nullptr : found->second;
}

bool GroupBackends::is_primary_restarted() const {
  const auto found = backends_.find(leadership_.term().primary);
  return found != backends_.end() && leadership_.term().is_restarted_primary(found->second->entry);
}

void GroupBackends::share_connections(std::uint64_t proxies) {
  shares_.divide(proxies);
  for (const auto& [name, backend] : backends_) shares_.apply_to(*backend, runtime_.now());
}

void GroupBackends::share_connections(std::vector<subset::ProxyPointer> serving, const NodeName& self) {
  std::uint64_t slots = 0;
  for (const auto& [name, backend] : backends_) slots = std::max(slots, backend->entry.slots);
  shares_.divide(TenantServing{std::move(serving), self, slots});
  for (const auto& [name, backend] : backends_) shares_.apply_to(*backend, runtime_.now());
}

void GroupBackends::refresh_link_limits() {
  for (const auto& [name, backend] : backends_) apply_link_limits(*backend, runtime_.now());
}

void GroupBackends::share_connections(balancing::RegionalServing serving) {
  shares_.divide(std::move(serving));
  for (const auto& [name, backend] : backends_) shares_.apply_to(*backend, runtime_.now());
}

std::vector<std::uint64_t> GroupBackends::slots() const {
  std::vector<std::uint64_t> slots;
  for (const auto& [name, backend] : backends_) slots.push_back(backend->entry.slots);
  return slots;
}

bool GroupBackends::has_readers_in(const ZoneName& zone) const {
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) {
    return entry.second->entry.zone == zone && entry.second->takes_reads();
  });
}

std::vector<ZoneName> GroupBackends::reading_zones() const {
  std::set<ZoneName> zones;
  for (const auto& [name, backend] : backends_) {
    if (backend->takes_reads()) zones.insert(backend->entry.zone);
  }
  return {zones.begin(), zones.end()};
}

void GroupBackends::close_evacuated_links() {
  const auto primary = open_primary();
  for (const auto& [name, backend] : backends_) {
    if (backend == primary ? backend->is_off_limits(runtime_.now()) : backend->is_evacuated())
      backend->pool.close_idle();
  }
}

void GroupBackends::record_evacuation_ended(const ZoneName& zone) {
  for (const auto& [name, backend] : backends_) {
    if (backend->entry.zone == zone) backend->cold_until = runtime_.now() + kColdAfterEvacuation;
  }
}

}  // namespace cairnhollow::registered::proxy
