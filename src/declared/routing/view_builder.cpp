#include "declared/routing/view_builder.h"

#include <algorithm>
#include <iterator>

#include "declared/routing/route_table.h"

namespace cairnhollow::declared::routing {

namespace {

using config::ObjectKind;
using config::StoredObject;

const config::DatabaseGroupSpec& group_spec(const StoredObject& stored) {
  return std::get<config::DatabaseGroupSpec>(stored.object.spec);
}

void set_state(GroupView& group, const std::map<GroupName, follow::GroupState>& groups) {
  const auto state = groups.find(group.name);
  if (state == groups.end()) return;
  group.term = state->second.term;
  group.primary = state->second.primary;
}

/// Replaces the group by a copy with its current term and primary, if they changed.
void set_state(const GroupName& name, const ViewSources& sources, RoutingView& view) {
  const auto* known = view.groups.find(name);
  if (known == nullptr) return;
  auto replacement = std::make_shared<GroupView>(**known);
  set_state(*replacement, sources.groups);
  if (replacement->term == (*known)->term && replacement->primary == (*known)->primary) return;
  view.groups.put(std::move(replacement));
}

}  // namespace

std::uint32_t BackendOrdinals::of(const BackendName& name) {
  const auto next = static_cast<std::uint32_t>(ordinals_.size());
  return ordinals_.try_emplace(name, next).first->second;
}

ViewPointer ViewBuilder::rebuild(const ViewSources& sources) {
  objects_ = config::ObjectStore();
  routes_.clear();
  proxies_serving_.clear();
  subsets_ = subset::SubsetTable();
  leaving_ = sources.leaving;
  view_ = std::make_shared<RoutingView>();
  ViewChange full_change;
  for (const auto& [key, stored] : sources.objects) full_change.objects.push_back(key);
  return update(sources, full_change);
}

ViewPointer ViewBuilder::update(const ViewSources& sources, const ViewChange& change) {
  auto view = std::make_shared<RoutingView>(*view_);
  view->domain = domain_;
  view->revision = sources.revision;
  Affected affected;
  std::set<std::string> changed;
  if (change.leaving) changed = update_leaving(sources.leaving);
  for (const auto& key : change.objects) update_object(sources, key, affected);
  for (const auto& name : changed) update_machine(name, affected);
  if (affected.proxies) rebuild_subsets();
  for (const auto& name : affected.groups) {
    const auto* stored = objects_.find({ObjectKind::kDatabaseGroup, name});
    if (stored == nullptr) {
      view->groups.erase(GroupName(name));
    } else {
      make_group(*stored, sources, *view);
    }
  }
  if (affected.proxies) update_group_subsets(*view);
  for (const auto& name : change.groups) set_state(name, sources, *view);
  if (!affected.routes.empty()) make_routes(affected.routes, *view);
  set_proxy_state(*view);
  view_ = std::move(view);
  return view_;
}

/// Stores the leaving machines. Returns those that started or stopped leaving.
std::set<std::string> ViewBuilder::update_leaving(const std::set<std::string>& leaving) {
  std::set<std::string> changed;
  std::set_symmetric_difference(leaving_.begin(), leaving_.end(), leaving.begin(), leaving.end(),
                                std::inserter(changed, changed.end()));
  leaving_ = leaving;
  return changed;
}

void ViewBuilder::update_object(const ViewSources& sources, const config::ObjectKey& key,
                                Affected& affected) {
  const auto found = sources.objects.find(key);
  const StoredObject* after = found == sources.objects.end() ? nullptr : &found->second;
  const StoredObject* before = objects_.find(key);
  if (before == nullptr && after == nullptr) return;
  if (key.kind == ObjectKind::kBackend) record_selecting_groups(before, affected);
  if (key.kind == ObjectKind::kDatabaseGroup) record_group(before, after, affected);
  if (key.kind == ObjectKind::kRoute) affected.routes.insert(key.name);
  if (after == nullptr) {
    objects_.erase(key);
  } else {
    objects_.put(*after);
  }
  if (key.kind == ObjectKind::kBackend) record_selecting_groups(after, affected);
  if (key.kind == ObjectKind::kProxy) update_machine(key.name, affected);
  // A change of this proxy's own object may change whether it serves at all.
  if (key.kind == ObjectKind::kProxy && key.name == this_proxy_.value) affected.proxies = true;
}

void ViewBuilder::record_group(const StoredObject* before, const StoredObject* after, Affected& affected) {
  affected.groups.insert((before != nullptr ? before : after)->object.name);
  const bool same_slots = before != nullptr && after != nullptr &&
                          before->object.labels == after->object.labels &&
                          group_spec(*before).hash_slots == group_spec(*after).hash_slots;
  if (same_slots) return;
  for (const auto* group : {before, after}) {
    if (group == nullptr) continue;
    for (const auto* route : objects_.routes_selecting(group->object.labels)) {
      affected.routes.insert(route->object.name);
    }
  }
}

void ViewBuilder::record_selecting_groups(const StoredObject* backend, Affected& affected) const {
  if (backend == nullptr) return;
  for (const auto* group : objects_.groups_selecting(backend->object.labels)) {
    affected.groups.insert(group->object.name);
  }
}

void ViewBuilder::update_machine(const std::string& name, Affected& affected) {
  record_selecting_groups(objects_.find({ObjectKind::kBackend, name}), affected);
  const auto* proxy = objects_.find({ObjectKind::kProxy, name});
  const auto* spec = proxy == nullptr ? nullptr : &std::get<config::ProxySpec>(proxy->object.spec);
  const auto known = proxies_serving_.find(name);
  if (spec == nullptr || spec->drain || leaving_.contains(name)) {
    if (known == proxies_serving_.end()) return;
    proxies_serving_.erase(known);
    affected.proxies = true;
    return;
  }
  subset::ProxyView view{NodeName(name), spec->zone, spec->endpoint};
  if (known != proxies_serving_.end() && *known->second == view) return;
  proxies_serving_[name] = std::make_shared<const subset::ProxyView>(std::move(view));
  affected.proxies = true;
}

BackendView ViewBuilder::make_backend(const StoredObject& stored) {
  const auto& spec = std::get<config::BackendSpec>(stored.object.spec);
  BackendView backend;
  backend.name = BackendName(stored.object.name);
  backend.endpoint = spec.endpoint;
  backend.zone = spec.zone;
  backend.labels = stored.object.labels;
  backend.leaving = spec.drain || leaving_.contains(stored.object.name);
  backend.ordinal = ordinals_.of(backend.name);
  return backend;
}

void ViewBuilder::make_group(const StoredObject& stored, const ViewSources& sources, RoutingView& view) {
  auto group = std::make_shared<GroupView>();
  group->name = GroupName(stored.object.name);
  group->session_name = domain_.empty() ? group->name : GroupName(domain_.value + "/" + group->name.value);
  group->labels = stored.object.labels;
  group->spec = group_spec(stored);
  for (const auto* member : objects_.backends_selected_by(group->spec.backend_selector)) {
    group->members.push_back(make_backend(*member));
  }
  set_state(*group, sources.groups);
  assign_proxies(*group);
  view.groups.put(std::move(group));
}

void ViewBuilder::rebuild_subsets() {
  std::vector<subset::ProxyPointer> proxies;
  proxies.reserve(proxies_serving_.size());
  for (const auto& [name, proxy] : proxies_serving_) proxies.push_back(proxy);
  subsets_ = subset::SubsetTable(proxies);
}

void ViewBuilder::assign_proxies(GroupView& group) const {
  const auto size = subset::subset_size(group.spec.connections_per_backend, subsets_.proxy_count());
  group.serving_proxies = subsets_.serving(group.name, size);
  group.proxies_serving = std::max(size, 1U);
  // With no more proxies than the subset size, every proxy of the domain serves every group. That includes a
  // leaving proxy, which is no longer in the subset, but not a proxy of another domain.
  const bool belongs_here = domain_.empty() || this_proxy_object() != nullptr;
  group.served_here =
      (belongs_here && size == subsets_.proxy_count()) ||
      std::any_of(group.serving_proxies.begin(), group.serving_proxies.end(),
                  [&](const subset::ProxyPointer& proxy) { return proxy->name == this_proxy_; });
}

void ViewBuilder::update_group_subsets(RoutingView& view) const {
  std::vector<GroupPointer> changed;
  for (const auto& group : view.groups) {
    auto replacement = std::make_shared<GroupView>(*group);
    assign_proxies(*replacement);
    if (replacement->serving_proxies != group->serving_proxies ||
        replacement->served_here != group->served_here) {
      changed.push_back(std::move(replacement));
    }
  }
  for (auto& group : changed) view.groups.put(std::move(group));
}

void ViewBuilder::make_routes(const std::set<std::string>& names, RoutingView& view) {
  auto table = std::make_shared<RouteTable>(*view.routes);
  for (const auto& name : names) {
    const auto known = routes_.find(name);
    if (known != routes_.end()) {
      remove_route(*table, *known->second);
      routes_.erase(known);
    }
    const auto* stored = objects_.find({ObjectKind::kRoute, name});
    if (stored == nullptr) continue;
    RouteView route{RouteName(name), std::get<config::RouteSpec>(stored->object.spec), {}};
    for (const auto* group : objects_.groups_selected_by(route.spec.group_selector)) {
      route.slots.push_back(SlotEntry{group_spec(*group).hash_slots, GroupName(group->object.name)});
    }
    std::stable_sort(
        route.slots.begin(), route.slots.end(),
        [](const SlotEntry& left, const SlotEntry& right) { return left.slots.first < right.slots.first; });
    const auto made = std::make_shared<const RouteView>(std::move(route));
    add_route(*table, made);
    routes_.emplace(name, made);
  }
  view.routes = std::move(table);
}

const StoredObject* ViewBuilder::this_proxy_object() const {
  return objects_.find({ObjectKind::kProxy, this_proxy_.value});
}

void ViewBuilder::set_proxy_state(RoutingView& view) const {
  const auto* proxy = this_proxy_object();
  view.this_proxy_known = proxy != nullptr;
  view.this_proxy_serves = proxy != nullptr && !std::get<config::ProxySpec>(proxy->object.spec).drain;
  view.this_proxy_leaves = proxy != nullptr && leaving_.contains(this_proxy_.value);
  view.proxies_serving = std::max(static_cast<std::uint32_t>(proxies_serving_.size()), 1U);
}

}  // namespace cairnhollow::declared::routing
