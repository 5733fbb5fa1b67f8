#include "declared/config/object_store.h"

#include <algorithm>

namespace cairnhollow::declared::config {

namespace {

const Selector& backend_selector_of(const StoredObject& group) {
  return std::get<DatabaseGroupSpec>(group.object.spec).backend_selector;
}

const Selector& group_selector_of(const StoredObject& route) {
  return std::get<RouteSpec>(route.object.spec).group_selector;
}

}  // namespace

ObjectStore::ObjectStore() : groups_by_backend_(backend_selector_of), routes_by_group_(group_selector_of) {}

const Endpoint* ObjectStore::endpoint_of(const Object& object) {
  if (const auto* proxy = std::get_if<ProxySpec>(&object.spec)) return &proxy->endpoint;
  if (const auto* backend = std::get_if<BackendSpec>(&object.spec)) return &backend->endpoint;
  return nullptr;
}

void ObjectStore::put(StoredObject stored) {
  const ObjectKey key = stored.object.key();
  erase(key);
  const auto entry = table_.emplace(key, std::move(stored)).first;
  add_to_indexes(&entry->second);
}

void ObjectStore::erase(const ObjectKey& key) {
  const auto entry = table_.find(key);
  if (entry == table_.end()) return;
  remove_from_indexes(&entry->second);
  table_.erase(entry);
}

const StoredObject* ObjectStore::find(const ObjectKey& key) const {
  const auto entry = table_.find(key);
  return entry == table_.end() ? nullptr : &entry->second;
}

std::vector<const StoredObject*> ObjectStore::with_endpoint(const Endpoint& endpoint) const {
  std::vector<const StoredObject*> found;
  const auto [first, last] = by_endpoint_.equal_range(endpoint);
  for (auto entry = first; entry != last; ++entry) found.push_back(entry->second);
  std::sort(found.begin(), found.end(), [](const StoredObject* left, const StoredObject* right) {
    return left->object.key() < right->object.key();
  });
  return found;
}

void ObjectStore::add_to_indexes(const StoredObject* stored) {
  if (const Endpoint* endpoint = endpoint_of(stored->object)) by_endpoint_.emplace(*endpoint, stored);
  switch (stored->object.kind()) {
    case ObjectKind::kProxy:
      break;
    case ObjectKind::kBackend:
      backends_.add(stored);
      break;
    case ObjectKind::kDatabaseGroup:
      groups_.add(stored);
      groups_by_backend_.add(stored);
      break;
    case ObjectKind::kRoute:
      routes_by_group_.add(stored);
      break;
  }
}

void ObjectStore::remove_from_indexes(const StoredObject* stored) {
  if (const Endpoint* endpoint = endpoint_of(stored->object)) {
    const auto [first, last] = by_endpoint_.equal_range(*endpoint);
    const auto entry = std::find_if(first, last, [&](const auto& each) { return each.second == stored; });
    if (entry != last) by_endpoint_.erase(entry);
  }
  switch (stored->object.kind()) {
    case ObjectKind::kProxy:
      break;
    case ObjectKind::kBackend:
      backends_.remove(stored);
      break;
    case ObjectKind::kDatabaseGroup:
      groups_.remove(stored);
      groups_by_backend_.remove(stored);
      break;
    case ObjectKind::kRoute:
      routes_by_group_.remove(stored);
      break;
  }
}

}  // namespace cairnhollow::declared::config
