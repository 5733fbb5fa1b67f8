#include "registered/proxy/fleet/fleet_view.h"

#include <algorithm>
#include <set>
#include <utility>

#include "registered/registry/division.h"
#include "registered/registry/member_lease.h"
#include "registered/tenancy/tenant_division.h"
#include "registered/tenancy/tenant_limit.h"

namespace cairnhollow::registered::proxy {

std::shared_ptr<GroupAccess> FleetView::access(const GroupName& group) {
  auto& access = groups_[group];
  if (!access)
    access = std::make_shared<GroupAccess>(runtime_, dialer_, group, zone_, evacuated_,
                                           limits_cold_ ? &keys_confirmed_ : nullptr);
  return access;
}

const registry::RouteRule* FleetView::find_route(const DatabaseName& database) const {
  const auto name = by_database_.find(database);
  if (name == by_database_.end()) return nullptr;
  const auto route = routes_.find(name->second);
  return route == routes_.end() ? nullptr : &route->second;
}

const registry::BackendEntry* FleetView::find_backend(const BackendName& name) const {
  const auto group = group_of_.find(name);
  if (group == group_of_.end()) return nullptr;
  const auto& backends = groups_.at(group->second)->backends.all();
  const auto found = backends.find(name);
  return found == backends.end() ? nullptr : &found->second->entry;
}

std::optional<limits::Limit> FleetView::tenant_limit(const TenantName& tenant) const {
  const registry::TenantRule* rule = tenants_.find(tenant);
  if (rule == nullptr) return std::nullopt;
  return tenancy::limit_of(*rule, limit_window_);
}

std::optional<limits::Limit> FleetView::cold_limit(const BackendName& backend) const {
  const auto group = group_of_.find(backend);
  if (group == group_of_.end()) return std::nullopt;
  const double rate = groups_.at(group->second)->cold.rate_per_s();
  if (rate <= 0 || !limits_cold_) return std::nullopt;
  return proxy::cold_limit(backend, rate, cold_window_);
}

std::shared_ptr<GroupAccess> FleetView::find_group(const GroupName& group) {
  const auto found = groups_.find(group);
  return found == groups_.end() ? nullptr : found->second;
}

void FleetView::apply_routes(const registry::FleetDelta& delta) {
  if (delta.is_full) routes_.clear();
  for (const RouteName& name : delta.removed_routes) routes_.erase(name);
  for (const registry::RouteRule& route : delta.routes) routes_[route.name] = route;
  if (!delta.is_full && delta.removed_routes.empty() && delta.routes.empty()) return;
  by_database_.clear();
  routes_name_regions_ = false;
  for (const auto& [name, route] : routes_) {
    by_database_.emplace(route.database, name);
    routes_name_regions_ = routes_name_regions_ || !route.allowed_regions.empty();
  }
}

void FleetView::apply_backends(const registry::FleetDelta& delta) {
  std::set<BackendName> kept;
  for (const registry::BackendEntry& entry : delta.backends) kept.insert(entry.name);
  std::vector<BackendName> removed = delta.removed_backends;
  if (delta.is_full) {
    for (const auto& [name, group] : group_of_) {
      if (kept.count(name) == 0) removed.push_back(name);
    }
  }
  for (const BackendName& name : removed) {
    const auto group = group_of_.find(name);
    if (group == group_of_.end()) continue;
    access(group->second)->remove_backend(name);
    group_of_.erase(group);
  }
  for (const registry::BackendEntry& entry : delta.backends) {
    group_of_[entry.name] = entry.group;
    access(entry.group)->put_backend(entry);
  }
}

std::vector<ZoneName> FleetView::apply_evacuations(const registry::FleetDelta& delta) {
  std::set<ZoneName> begun;
  for (const registry::Evacuation& evacuation : delta.evacuations) begun.insert(evacuation.zone);
  std::vector<ZoneName> ended = delta.ended_evacuations;
  if (delta.is_full) ended = evacuated_->others_than(begun);
  bool changed = false;
  for (const ZoneName& zone : ended) {
    if (!evacuated_->end(zone)) continue;
    changed = true;
    log_evacuation("evacuation_over", zone, delta.revision);
  }
  const TimePoint since = evacuation_known_since();
  for (const ZoneName& zone : begun) {
    if (!evacuated_->begin(zone, since)) continue;
    changed = true;
    log_evacuation("evacuation_in_force", zone, delta.revision);
  }
  if (!changed) return ended;
  for (const auto& [name, group] : groups_) group->changed.notify_all();
  return ended;
}

TimePoint FleetView::evacuation_known_since() const {
  const auto confirmed = keys_confirmed_.confirmed_at();
  if (!confirmed) return TimePoint::min();
  return std::min(runtime_.now(), *confirmed + kLongestServingLease);
}

void FleetView::log_evacuation(const char* event, const ZoneName& zone, std::uint64_t revision) {
  // Known since the last answer of control, at the latest: so old may the order be.
  const auto confirmed = keys_confirmed_.confirmed_at();
  const std::string age = confirmed ? std::to_string(in_ms(runtime_.now() - *confirmed)) : "unknown";
  runtime_.logger().log(
      runtime::LogLevel::kInfo, event,
      {{"zone", zone.value}, {"revision", std::to_string(revision)}, {"at_most_ms_old", age}});
}

void FleetView::apply_tenants(const registry::FleetDelta& delta) {
  keys_changed_ = std::exchange(requires_keys_, delta.requires_keys) != delta.requires_keys;
  if (delta.is_full) tenants_.clear();
  for (const TenantName& name : delta.removed_tenants) tenants_.remove(name);
  for (const registry::TenantRule& tenant : delta.tenants) {
    const auto former = tenant_limit(tenant.name);
    tenants_.put(tenant);
    if (former) quotas_.record_limit(*former, *tenant_limit(tenant.name), runtime_.now());
  }
  if (!delta.tenants.empty() || !delta.removed_tenants.empty()) forward_for_.clear();
}

void FleetView::apply_proxies(const registry::FleetDelta& delta) {
  if (delta.is_full) proxies_.clear();
  for (const NodeName& name : delta.removed_proxies) proxies_.erase(name);
  for (const registry::AdmittedProxy& proxy : delta.proxies) proxies_[proxy.node] = proxy;
}

namespace {

subset::ProxyPointer view_of(const registry::AdmittedProxy& proxy) {
  return std::make_shared<subset::ProxyView>(subset::ProxyView{proxy.node, proxy.zone, proxy.peer_endpoint});
}

}  // namespace

std::vector<subset::ProxyPointer> FleetView::changed_proxies(const registry::FleetDelta& delta) const {
  std::vector<subset::ProxyPointer> changed;
  for (const registry::AdmittedProxy& proxy : delta.proxies) changed.push_back(view_of(proxy));
  for (const NodeName& node : delta.removed_proxies) {
    const auto held = proxies_.find(node);
    if (held != proxies_.end()) changed.push_back(view_of(held->second));
  }
  if (!delta.is_full) return changed;
  for (const auto& [node, proxy] : proxies_) changed.push_back(view_of(proxy));
  return changed;
}

std::vector<subset::ProxyPointer> FleetView::takers() const {
  std::vector<subset::ProxyPointer> takers;
  for (const auto& [node, proxy] : proxies_) {
    if (!proxy.leaving) takers.push_back(view_of(proxy));
  }
  return takers;
}

void FleetView::divide_groups(const std::vector<subset::ProxyPointer>& takers) {
  others_ = subset::forwarding_order(takers, node_, zone_);
  std::erase_if(others_, [this](const subset::ProxyPointer& proxy) { return proxy->name == node_; });
  const subset::SubsetTable table(takers);
  forward_to_.clear();
  also_serving_.clear();
  serving_.clear();
  forward_for_.clear();
  for (const auto& [name, group] : groups_) {
    const std::size_t size =
        registry::serving_proxies(group->rule, group->backends.slots(), takers.size(), requires_keys_);
    if (size >= takers.size()) {
      if (requires_keys_) share_connections(*group, takers);
      if (!requires_keys_) group->backends.share_connections(proxies_.size());
      also_serving_[name] = others_;
      serving_[name] = subset::forwarding_order(takers, node_, zone_);
      continue;
    }
    const auto serving = table.serving(name, static_cast<std::uint32_t>(size));
    share_connections(*group, serving);
    const bool serves =
        std::any_of(serving.begin(), serving.end(),
                    [this](const subset::ProxyPointer& proxy) { return proxy->name == node_; });
    auto order = subset::forwarding_order(serving, node_, zone_);
    serving_[name] = order;
    std::erase_if(order, [this](const subset::ProxyPointer& proxy) { return proxy->name == node_; });
    (serves ? also_serving_ : forward_to_)[name] = std::move(order);
  }
}

void FleetView::share_connections(GroupAccess& group,
                                  const std::vector<subset::ProxyPointer>& serving) const {
  if (!requires_keys_) return group.backends.share_connections(serving.size());
  tenancy::ServingProxies counts;
  counts.all = serving.size();
  for (const auto& proxy : serving) ++counts.in_zone[proxy->zone];
  group.backends.share_connections(std::move(counts));
}

std::optional<ZoneName> FleetView::zone_of_work(const GroupName& group, const TenantName& tenant,
                                                GroupWork work) const {
  const auto found = groups_.find(group);
  if (found == groups_.end()) return zone_;
  const auto primary = work == GroupWork::kAtPrimary ? found->second->standing.primary() : nullptr;
  if (primary) return primary->entry.zone;
  // Who leads next may be anywhere. Without a lease others may know more than this proxy.
  if (work == GroupWork::kAtPrimary && holds_lease_for(*found->second)) return std::nullopt;
  if (found->second->backends.reads_in(zone_)) return zone_;
  const ZoneName reads = tenancy::zone_of_reads(found->second->backends.reading_zones(), tenant, zone_);
  return reads.empty() ? zone_ : reads;
}

namespace {

const std::vector<subset::ProxyPointer>& nobody() {
  static const std::vector<subset::ProxyPointer> none;
  return none;
}

}  // namespace

const std::vector<subset::ProxyPointer>& FleetView::forward_to(const GroupName& group) {
  const auto found = forward_to_.find(group);
  return found == forward_to_.end() ? nobody() : found->second;
}

const std::vector<subset::ProxyPointer>& FleetView::forward_to(const GroupName& group,
                                                               const TenantName& tenant, GroupWork work) {
  if (tenant.empty()) return forward_to(group);
  if (forward_for_.size() > kMostTenantDivisions) forward_for_.clear();
  const auto zone = zone_of_work(group, tenant, work);
  if (!zone) return nobody();
  const auto found = forward_for_.find(std::tie(group, tenant, *zone));
  if (found != forward_for_.end()) return found->second;
  auto order = tenancy::order_for_tenant(serving_[group], tenant, tenants_.part_of(tenant), *zone);
  if (!order.empty() && order.front()->name == node_) order.clear();
  return forward_for_.emplace(TenantPlace{group, tenant, *zone}, std::move(order)).first->second;
}

const std::vector<subset::ProxyPointer>& FleetView::also_serving(const GroupName& group) {
  return also_serving_[group];
}

locality::PermittedRegions FleetView::allowed_regions(const registry::RouteRule& route,
                                                      const TenantName& tenant) const {
  const registry::TenantRule* rule = nullptr;
  if (!tenant.empty() && tenants_.any_names_regions()) rule = tenants_.find(tenant);
  if (rule != nullptr) return {regions_, route.allowed_regions, rule->allowed_regions};
  if (route.allowed_regions.empty()) return {};
  return {regions_, route.allowed_regions, {}};
}

std::vector<subset::ProxyPointer> FleetView::in_regions(const std::vector<subset::ProxyPointer>& proxies,
                                                        const locality::PermittedRegions& allowed) const {
  std::vector<subset::ProxyPointer> inside = proxies;
  std::erase_if(inside, [&](const subset::ProxyPointer& proxy) {
    return proxy->name != node_ && !allowed.allows(proxy->zone);
  });
  return inside;
}

bool FleetView::names_regions() const { return routes_name_regions_ || tenants_.any_names_regions(); }

void FleetView::record_zone(const ZoneName& zone) {
  if (regions_.find(zone) != nullptr || !told_unknown_.insert(zone).second) return;
  runtime_.logger().log(runtime::LogLevel::kWarning, "region_unknown",
                        {{"zone", zone.value}, {"version", std::to_string(document_version_)}});
}

void FleetView::record_unknown_regions(const registry::FleetDelta& delta) {
  if (!names_regions()) return;
  for (const registry::BackendEntry& backend : delta.backends) record_zone(backend.zone);
  for (const registry::AdmittedProxy& proxy : delta.proxies) record_zone(proxy.zone);
  if (delta.routes.empty() && delta.tenants.empty()) return;
  // These lists may be the first ones.
  for (const auto& [name, group] : groups_) {
    for (const auto& [backend, use] : group->backends.all()) record_zone(use->entry.zone);
  }
  for (const auto& [node, proxy] : proxies_) record_zone(proxy.zone);
}

void FleetView::apply(const registry::FleetDelta& delta) {
  revision_ = delta.revision;
  document_version_ = delta.document_version;
  transaction_idle_ = std::chrono::milliseconds(delta.transaction_idle_ms);
  const std::vector<ZoneName> given_back = apply_evacuations(delta);
  apply_routes(delta);
  apply_tenants(delta);
  for (const registry::GroupRule& rule : delta.groups) access(rule.name)->rule = rule;
  const bool divides = keys_changed_ || changes_division(delta);
  apply_backends(delta);
  for (const ZoneName& zone : given_back) {
    for (const auto& [name, group] : groups_) group->backends.record_evacuation_ended(zone);
  }
  for (const registry::GroupTerm& term : delta.terms) access(term.group)->set_term(term);
  const auto changed = changed_proxies(delta);
  apply_proxies(delta);
  record_unknown_regions(delta);
  if (!divides) return;
  const auto takers = this->takers();
  if (!changed.empty()) quotas_.set_owners(limits::QuotaOwners(takers, changed), revision_);
  divide_groups(takers);
}

bool FleetView::changes_division(const registry::FleetDelta& delta) const {
  // A group counts with its connections; terms and routes do not.
  if (delta.is_full || !delta.proxies.empty() || !delta.removed_proxies.empty()) return true;
  if (!delta.groups.empty() || !delta.removed_backends.empty()) return true;
  return std::any_of(delta.backends.begin(), delta.backends.end(), [this](const auto& entry) {
    const registry::BackendEntry* held = find_backend(entry.name);
    return held == nullptr || held->group != entry.group || held->zone != entry.zone ||
           held->slots != entry.slots;
  });
}

void FleetView::extend_lease(TimePoint asked_at, TimePoint until, std::uint64_t stable_revision) {
  keys_confirmed_.record(asked_at);
  quotas_.record_confirmed(asked_at, stable_revision, runtime_.now());
  lease_until_ = std::max(lease_until_, until);
  renewed_.notify_all();
}

void FleetView::extend_member_lease(GroupAccess& group, std::uint64_t epoch, std::uint64_t membership,
                                    TimePoint until) {
  group.leadership.extend_member_lease(epoch, membership,
                                       std::min(until, lease_until_ + registry::kServeWithoutControl));
  renewed_.notify_all();
}

bool FleetView::has_member_lease() const {
  return std::any_of(groups_.begin(), groups_.end(),
                     [](const auto& entry) { return entry.second->leadership.has_member_lease(); });
}

std::vector<registry::ClosedGroup> FleetView::closed_groups() const {
  std::vector<registry::ClosedGroup> closed;
  for (const auto& [name, group] : groups_) {
    const registry::GroupTerm& term = group->term();
    if (term.open || term.epoch == 0) continue;
    closed.push_back({name, term.epoch, group->positions.highest_acknowledged()});
  }
  return closed;
}

}  // namespace cairnhollow::registered::proxy
