#include "registered/proxy/group/group_backends.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace cairnhollow::registered::proxy {

BackendChange GroupBackends::put(const registry::BackendEntry& entry) {
  auto& use = backends_[entry.name];
  BackendChange change = BackendChange::kSame;
  if (!use || use->entry.endpoint != entry.endpoint) change = BackendChange::kJoined;
  if (use && use->entry.incarnation() != entry.incarnation()) change = BackendChange::kOtherIncarnation;
  if (change == BackendChange::kOtherIncarnation) use->pool.retire();
  if (change != BackendChange::kSame) {
    if (use) use->pool.close_idle();
    use = std::make_shared<BackendUse>(runtime_, dialer_, entry, evacuated_);
  }
  use->entry = entry;
  if (!entry.leaving) use->leaving_since.reset();
  if (entry.leaving && !use->leaving_since) use->leaving_since = runtime_.now();
  shares_.apply_to(*use);
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

std::shared_ptr<BackendUse> GroupBackends::at(std::size_t place) const {
  return std::next(backends_.begin(), static_cast<std::ptrdiff_t>(place))->second;
}

std::shared_ptr<BackendUse> GroupBackends::named_primary() const {
  const auto found = backends_.find(leadership_.term().primary);
  return found == backends_.end() ? nullptr : found->second;
}

bool GroupBackends::is_primary_restarted() const {
  const auto found = backends_.find(leadership_.term().primary);
  return found != backends_.end() && leadership_.term().is_restarted_primary(found->second->entry);
}

void GroupBackends::share_connections(std::uint64_t proxies) {
  shares_.divide(proxies);
  for (const auto& [name, use] : backends_) shares_.apply_to(*use);
}

void GroupBackends::share_connections(tenancy::ServingProxies serving) {
  shares_.divide(std::move(serving));
  for (const auto& [name, use] : backends_) shares_.apply_to(*use);
}

std::vector<std::uint64_t> GroupBackends::slots() const {
  std::vector<std::uint64_t> slots;
  for (const auto& [name, use] : backends_) slots.push_back(use->entry.slots);
  return slots;
}

bool GroupBackends::reads_in(const ZoneName& zone) const {
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) {
    return entry.second->entry.zone == zone && entry.second->takes_reads();
  });
}

std::vector<ZoneName> GroupBackends::reading_zones() const {
  std::set<ZoneName> zones;
  for (const auto& [name, use] : backends_) {
    if (use->takes_reads()) zones.insert(use->entry.zone);
  }
  return {zones.begin(), zones.end()};
}

void GroupBackends::close_evacuated_links() {
  const auto leader = open_primary();
  for (const auto& [name, use] : backends_) {
    if (use == leader ? use->is_off_limits(runtime_.now()) : use->is_evacuated()) use->pool.close_idle();
  }
}

void GroupBackends::record_evacuation_ended(const ZoneName& zone) {
  for (const auto& [name, use] : backends_) {
    if (use->entry.zone == zone) use->cold_until = runtime_.now() + kColdAfterEvacuation;
  }
}

}  // namespace cairnhollow::registered::proxy
