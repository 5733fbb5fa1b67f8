#include "registered/proxy/fleet/fleet_view.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <utility>

#include "registered/balancing/region_division.h"
#include "registered/registry/division.h"
#include "registered/registry/member_lease.h"
#include "registered/registry/proxy_incarnation.h"
#include "registered/tenancy/tenant_division.h"
#include "registered/tenancy/tenant_limit.h"

namespace cairnhollow::registered::proxy {

std::shared_ptr<GroupAccess> FleetView::get_or_create_group(const GroupName& group) {
  auto& access = groups_[group];
  if (!access)
    access = std::make_shared<GroupAccess>(runtime_, dialer_, group, zone_, evacuated_,
                                           limits_cold_backends_ ? &keys_confirmed_ : nullptr);
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
  if (rate <= 0 || !limits_cold_backends_) return std::nullopt;
  return proxy::cold_limit(backend, rate, cold_window_);
}

std::shared_ptr<GroupAccess> FleetView::find_group(const GroupName& group) {
  const auto found = groups_.find(group);
  return found == groups_.end() ? nullptr : found->second;
}

void FleetView::apply_routes(const registry::FleetDelta& delta) {
  if (!delta.is_full && delta.removed_routes.empty() && delta.routes.empty()) return;
  std::set<RouteName> replaced(delta.removed_routes.begin(), delta.removed_routes.end());
  for (const registry::RouteRule& route : delta.routes) replaced.insert(route.name);
  std::erase_if(routes_,
                [&](const auto& entry) { return delta.is_full || replaced.count(entry.second.name) > 0; });
  for (const registry::RouteRule& route : delta.routes) routes_[route.key()] = route;
  by_database_.clear();
  routes_restrict_regions_ = false;
  for (const auto& [key, route] : routes_) {
    by_database_.emplace(route.database, key);
    routes_restrict_regions_ = routes_restrict_regions_ || !route.allowed_regions.empty();
  }
}

void FleetView::apply_backends(const registry::FleetDelta& delta) {
  std::set<BackendName> listed;
  for (const registry::BackendEntry& entry : delta.backends) listed.insert(entry.name);
  std::vector<BackendName> removed = delta.removed_backends;
  if (delta.is_full) {
    for (const auto& [name, group] : group_of_) {
      if (listed.count(name) == 0) removed.push_back(name);
    }
  }
  for (const BackendName& name : removed) {
    const auto group = group_of_.find(name);
    if (group == group_of_.end()) continue;
    get_or_create_group(group->second)->remove_backend(name);
    group_of_.erase(group);
  }
  for (const registry::BackendEntry& entry : delta.backends) {
    group_of_[entry.name] = entry.group;
    get_or_create_group(entry.group)->put_backend(entry);
  }
}

std::vector<ZoneName> FleetView::apply_evacuations(const registry::FleetDelta& delta) {
  std::set<ZoneName> active;
  for (const registry::Evacuation& evacuation : delta.evacuations) active.insert(evacuation.zone);
  std::vector<ZoneName> ended = delta.ended_evacuations;
  if (delta.is_full) ended = evacuated_->missing_from(active);
  bool changed = false;
  for (const ZoneName& zone : ended) {
    if (!evacuated_->end(zone)) continue;
    changed = true;
    log_evacuation("evacuation_over", zone, delta.revision);
  }
  const TimePoint since = evacuation_known_since();
  for (const ZoneName& zone : active) {
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
  return std::min(runtime_.now(), *confirmed + kMaxServingLease);
}

void FleetView::log_evacuation(const char* event, const ZoneName& zone, std::uint64_t revision) {
  // The order was given after control's last confirmation, so this is its maximum age.
  const auto confirmed = keys_confirmed_.confirmed_at();
  const std::string age = confirmed ? std::to_string(in_ms(runtime_.now() - *confirmed)) : "unknown";
  runtime_.logger().log(
      runtime::LogLevel::kInfo, event,
      {{"zone", zone.value}, {"revision", std::to_string(revision)}, {"at_most_ms_old", age}});
}

void FleetView::apply_tenants(const registry::FleetDelta& delta) {
  requires_keys_changed_ = std::exchange(requires_keys_, delta.requires_keys) != delta.requires_keys;
  if (delta.is_full) tenants_.clear();
  for (const TenantName& name : delta.removed_tenants) tenants_.remove(name);
  for (const registry::TenantRule& tenant : delta.tenants) {
    const auto previous = tenant_limit(tenant.name);
    tenants_.put(tenant);
    if (previous) quotas_.record_limit_change(*previous, *tenant_limit(tenant.name), runtime_.now());
  }
  if (!delta.tenants.empty() || !delta.removed_tenants.empty()) tenant_forwarding_targets_.clear();
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
    const auto known = proxies_.find(node);
    if (known != proxies_.end()) changed.push_back(view_of(known->second));
  }
  if (!delta.is_full) return changed;
  for (const auto& [node, proxy] : proxies_) changed.push_back(view_of(proxy));
  return changed;
}

std::vector<subset::ProxyPointer> FleetView::accepting_proxies() const {
  std::vector<subset::ProxyPointer> accepting_proxies;
  for (const auto& [node, proxy] : proxies_) {
    if (!proxy.leaving) accepting_proxies.push_back(view_of(proxy));
  }
  return accepting_proxies;
}

std::size_t FleetView::tenant_owners() const {
  const bool all_spread = std::all_of(proxies_.begin(), proxies_.end(), [](const auto& entry) {
    return entry.second.leaving || registry::spreads_limits(entry.second.incarnation);
  });
  return all_spread ? limits::kManyQuotaOwners : limits::kQuotaOwners;
}

void FleetView::divide_groups(const std::vector<subset::ProxyPointer>& accepting_proxies) {
  other_proxies_ = subset::forwarding_order(accepting_proxies, node_, zone_);
  std::erase_if(other_proxies_, [this](const subset::ProxyPointer& proxy) { return proxy->name == node_; });
  const subset::SubsetTable table(accepting_proxies);
  forwarding_targets_.clear();
  also_serving_.clear();
  serving_.clear();
  tenant_forwarding_targets_.clear();
  for (const auto& [name, group] : groups_) {
    group->positions.set_pace(divides_by_region() ? kRefreshPaceAcrossRegions : RefreshPace{});
    const std::size_t size = registry::serving_proxies(group->rule, group->backends.slots(),
                                                       accepting_proxies.size(), requires_keys_);
    if (size >= accepting_proxies.size()) {
      const bool evenly = !requires_keys_ && !divides_by_region();
      if (!evenly)
        share_connections(*group, table.serving(name, static_cast<std::uint32_t>(accepting_proxies.size())));
      if (evenly) group->backends.share_connections(proxies_.size());
      also_serving_[name] = other_proxies_;
      serving_[name] = subset::forwarding_order(accepting_proxies, node_, zone_);
      continue;
    }
    const auto serving = select_serving(*group, table, size);
    share_connections(*group, serving);
    const bool serves =
        std::any_of(serving.begin(), serving.end(),
                    [this](const subset::ProxyPointer& proxy) { return proxy->name == node_; });
    auto order = subset::forwarding_order(serving, node_, zone_);
    serving_[name] = order;
    std::erase_if(order, [this](const subset::ProxyPointer& proxy) { return proxy->name == node_; });
    (serves ? also_serving_ : forwarding_targets_)[name] = std::move(order);
  }
}

std::vector<subset::ProxyPointer> FleetView::select_serving(const GroupAccess& group,
                                                            const subset::SubsetTable& table,
                                                            std::size_t size) const {
  if (!divides_by_region()) return table.serving(group.name, static_cast<std::uint32_t>(size));
  std::vector<ZoneName> zones;
  for (const auto& [name, backend] : group.backends.all()) zones.push_back(backend->entry.zone);
  return table.serving_near(group.name, static_cast<std::uint32_t>(size), zones);
}

void FleetView::share_connections(GroupAccess& group,
                                  const std::vector<subset::ProxyPointer>& serving) const {
  if (divides_by_region()) return group.backends.share_connections({serving, regions_});
  if (!requires_keys_) return group.backends.share_connections(serving.size());
  group.backends.share_connections(serving, node_);
}

std::optional<ZoneName> FleetView::work_zone(const GroupName& group, const TenantName& tenant,
                                             GroupWork work) const {
  const auto found = groups_.find(group);
  if (found == groups_.end()) return zone_;
  const auto primary = work == GroupWork::kAtPrimary ? found->second->evaluator.primary() : nullptr;
  if (primary) return primary->entry.zone;
  // The next primary may be in any zone. Without a lease other proxies may be better informed.
  if (work == GroupWork::kAtPrimary && holds_lease_for(*found->second)) return std::nullopt;
  if (found->second->backends.has_readers_in(zone_)) return zone_;
  const ZoneName reads = tenancy::zone_for_reads(found->second->backends.reading_zones(), tenant, zone_);
  return reads.empty() ? zone_ : reads;
}

namespace {

const std::vector<subset::ProxyPointer>& no_proxies() {
  static const std::vector<subset::ProxyPointer> none;
  return none;
}

}  // namespace

const std::vector<subset::ProxyPointer>& FleetView::forwarding_targets(const GroupName& group) {
  const auto found = forwarding_targets_.find(group);
  return found == forwarding_targets_.end() ? no_proxies() : found->second;
}

const std::vector<subset::ProxyPointer>& FleetView::forwarding_targets(const GroupName& group,
                                                                       const TenantName& tenant,
                                                                       GroupWork work) {
  if (tenant.empty()) {
    return divides_by_region() ? regional_targets(group, work) : forwarding_targets(group);
  }
  if (tenant_forwarding_targets_.size() > kMaxCachedTenantOrders) tenant_forwarding_targets_.clear();
  const auto zone = work_zone(group, tenant, work);
  if (!zone) return no_proxies();
  const auto found = tenant_forwarding_targets_.find(std::tie(group, tenant, *zone));
  if (found != tenant_forwarding_targets_.end()) return found->second;
  auto order = order_for_tenant(group, tenant, *zone);
  if (!order.empty() && order.front()->name == node_) order.clear();
  return tenant_forwarding_targets_.emplace(TenantOrderKey{group, tenant, *zone}, std::move(order))
      .first->second;
}

std::vector<subset::ProxyPointer> FleetView::order_for_tenant(const GroupName& group,
                                                              const TenantName& tenant,
                                                              const ZoneName& zone) {
  std::vector<subset::ProxyPointer> owning;
  const auto found = groups_.find(group);
  if (found != groups_.end()) owning = found->second->backends.owners_in(zone);
  const auto owns = [&owning](const subset::ProxyPointer& proxy) {
    return std::any_of(owning.begin(), owning.end(),
                       [&proxy](const subset::ProxyPointer& owner) { return owner->name == proxy->name; });
  };
  std::vector<subset::ProxyPointer> first = serving_[group];
  std::vector<subset::ProxyPointer> others;
  std::copy_if(first.begin(), first.end(), std::back_inserter(others), std::not_fn(owns));
  std::erase_if(first, std::not_fn(owns));
  const double fraction = tenants_.limit_fraction(tenant);
  auto order = tenancy::order_for_tenant(first, tenant, fraction, zone);
  const auto rest = tenancy::order_for_tenant(others, tenant, fraction, zone);
  order.insert(order.end(), rest.begin(), rest.end());
  return order;
}

const std::vector<subset::ProxyPointer>& FleetView::regional_targets(const GroupName& group, GroupWork work) {
  const auto found = groups_.find(group);
  if (found == groups_.end()) return forwarding_targets(group);
  const GroupAccess& access = *found->second;
  const balancing::Forwarder here{node_, zone_};
  ZoneName zone;
  if (work == GroupWork::kAtPrimary) {
    const auto primary = access.evaluator.primary();
    if (primary) zone = primary->entry.zone;
    // The next primary may be in any region.
    if (!primary && holds_lease_for(access)) return no_proxies();
  } else {
    zone = balancing::zone_for_reads(access.backends.reading_zones(), here, regions_);
  }
  if (zone.empty()) return forwarding_targets(group);
  const TenantName no_tenant;
  const auto known = tenant_forwarding_targets_.find(std::tie(group, no_tenant, zone));
  if (known != tenant_forwarding_targets_.end()) return known->second;
  auto order = balancing::order_near(serving_[group], here, zone, regions_);
  return tenant_forwarding_targets_.emplace(TenantOrderKey{group, no_tenant, zone}, std::move(order))
      .first->second;
}

const std::vector<subset::ProxyPointer>& FleetView::also_serving(const GroupName& group) {
  return also_serving_[group];
}

locality::PermittedRegions FleetView::allowed_regions(const registry::RouteRule& route,
                                                      const TenantName& tenant) const {
  const registry::TenantRule* rule = nullptr;
  if (!tenant.empty() && tenants_.any_restricts_regions()) rule = tenants_.find(tenant);
  if (rule != nullptr) return {regions_, route.allowed_regions, rule->allowed_regions};
  if (route.allowed_regions.empty()) return {};
  return {regions_, route.allowed_regions, {}};
}

std::vector<subset::ProxyPointer> FleetView::filter_by_region(
    const std::vector<subset::ProxyPointer>& proxies, const locality::PermittedRegions& allowed) const {
  std::vector<subset::ProxyPointer> permitted = proxies;
  std::erase_if(permitted, [&](const subset::ProxyPointer& proxy) {
    return proxy->name != node_ && !allowed.allows(proxy->zone);
  });
  return permitted;
}

bool FleetView::has_region_restrictions() const {
  return routes_restrict_regions_ || tenants_.any_restricts_regions();
}

void FleetView::log_if_region_unknown(const ZoneName& zone) {
  if (regions_.find(zone) != nullptr || !logged_zones_.insert(zone).second) return;
  runtime_.logger().log(runtime::LogLevel::kWarning, "region_unknown",
                        {{"zone", zone.value}, {"version", std::to_string(document_version_)}});
}

void FleetView::log_unknown_regions(const registry::FleetDelta& delta) {
  if (!has_region_restrictions()) return;
  for (const registry::BackendEntry& backend : delta.backends) log_if_region_unknown(backend.zone);
  for (const registry::AdmittedProxy& proxy : delta.proxies) log_if_region_unknown(proxy.zone);
  if (delta.routes.empty() && delta.tenants.empty()) return;
  // These may be the first region lists, so the zones of all known backends and proxies are checked.
  for (const auto& [name, group] : groups_) {
    for (const auto& [backend, use] : group->backends.all()) log_if_region_unknown(use->entry.zone);
  }
  for (const auto& [node, proxy] : proxies_) log_if_region_unknown(proxy.zone);
}

void FleetView::apply(const registry::FleetDelta& delta) {
  revision_ = delta.revision;
  const bool is_another_document =
      std::exchange(document_version_, delta.document_version) != delta.document_version;
  transaction_idle_ = std::chrono::milliseconds(delta.transaction_idle_ms);
  const std::vector<ZoneName> ended_zones = apply_evacuations(delta);
  apply_routes(delta);
  apply_tenants(delta);
  for (const registry::GroupRule& rule : delta.groups) get_or_create_group(rule.name)->rule = rule;
  const bool division_changes = requires_keys_changed_ || changes_division(delta);
  apply_backends(delta);
  for (const ZoneName& zone : ended_zones) {
    for (const auto& [name, group] : groups_) group->backends.record_evacuation_ended(zone);
  }
  for (const registry::GroupTerm& term : delta.terms) {
    get_or_create_group(term.group)->set_term(term);
    if (term.open) record_step(ReturnStep::kPrimary);
  }
  const auto changed = changed_proxies(delta);
  apply_proxies(delta);
  log_unknown_regions(delta);
  if (is_another_document) document_changed_.notify_all();
  if (!division_changes) return;
  const auto accepting_proxies = this->accepting_proxies();
  if (!changed.empty())
    quotas_.set_owners(limits::QuotaOwners(accepting_proxies, changed, tenant_owners()), revision_);
  divide_groups(accepting_proxies);
}

bool FleetView::changes_division(const registry::FleetDelta& delta) const {
  // A group's rule includes its connection limit. Terms and routes do not affect the division.
  if (delta.is_full || !delta.proxies.empty() || !delta.removed_proxies.empty()) return true;
  if (!delta.groups.empty() || !delta.removed_backends.empty()) return true;
  return std::any_of(delta.backends.begin(), delta.backends.end(), [this](const auto& entry) {
    const registry::BackendEntry* known = find_backend(entry.name);
    return known == nullptr || known->group != entry.group || known->zone != entry.zone ||
           known->slots != entry.slots;
  });
}

void FleetView::extend_lease(TimePoint asked_at, TimePoint until, std::uint64_t stable_revision) {
  keys_confirmed_.record(asked_at);
  quotas_.record_confirmed(asked_at, stable_revision, runtime_.now());
  record_step(ReturnStep::kLease);
  const bool was_valid = lease_valid();
  lease_until_ = std::max(lease_until_, until);
  renewed_.notify_all();
  if (was_valid) return;
  for (const auto& [name, group] : groups_) group->changed.notify_all();
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

std::vector<registry::ClosedGroup> FleetView::certainly_acknowledged() const {
  std::vector<registry::ClosedGroup> acknowledged;
  for (const auto& [name, group] : groups_) {
    const registry::GroupTerm& term = group->term();
    const Position certain = group->positions.certainly_acknowledged();
    if (term.epoch == 0 || certain.index == 0) continue;
    acknowledged.push_back({name, term.open ? term.epoch : term.epoch - 1, certain});
  }
  return acknowledged;
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
