// The current objects, with indexes that keep the cost of validating a change proportional to what it
// touches.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "declared/config/label_index.h"
#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

/// The current objects, ordered by kind, then name.
using ObjectTable = std::map<ObjectKey, StoredObject>;

/// Returned pointers are valid until the next put() or erase() of that object. Not copyable: the indexes
/// point into the table.
class ObjectStore {
 public:
  ObjectStore();
  ObjectStore(ObjectStore&&) = default;
  ObjectStore& operator=(ObjectStore&&) = default;
  ObjectStore(const ObjectStore&) = delete;
  ObjectStore& operator=(const ObjectStore&) = delete;
  ~ObjectStore() = default;

  void put(StoredObject stored);
  void erase(const ObjectKey& key);

  [[nodiscard]] const ObjectTable& table() const { return table_; }
  /// Returns null if there is no such object.
  [[nodiscard]] const StoredObject* find(const ObjectKey& key) const;
  /// Returns the object's endpoint; null for kinds without one.
  [[nodiscard]] static const Endpoint* endpoint_of(const Object& object);

  /// Returns the proxies and backends with this endpoint, ordered by key.
  [[nodiscard]] std::vector<const StoredObject*> with_endpoint(const Endpoint& endpoint) const;
  [[nodiscard]] ObjectSet backends_selected_by(const Selector& selector) const {
    return backends_.selected_by(selector);
  }
  [[nodiscard]] ObjectSet groups_selected_by(const Selector& selector) const {
    return groups_.selected_by(selector);
  }
  [[nodiscard]] const StoredObject* find_group_selected_by(const Selector& selector,
                                                           const LabelIndex::Accepts& accepts) const {
    return groups_.find_selected(selector, accepts);
  }
  /// Returns the groups whose backend selector matches a backend with these labels.
  [[nodiscard]] ObjectSet groups_selecting(const LabelSet& backend_labels) const {
    return groups_by_backend_.selecting(backend_labels);
  }
  /// Returns the routes whose group selector matches a group with these labels.
  [[nodiscard]] ObjectSet routes_selecting(const LabelSet& group_labels) const {
    return routes_by_group_.selecting(group_labels);
  }

 private:
  void add_to_indexes(const StoredObject* stored);
  void remove_from_indexes(const StoredObject* stored);

  ObjectTable table_;
  std::multimap<Endpoint, const StoredObject*> by_endpoint_;
  LabelIndex backends_;
  LabelIndex groups_;
  SelectorIndex groups_by_backend_;
  SelectorIndex routes_by_group_;
};

}  // namespace cairnhollow::declared::config
