// Rules between objects (declared in validation.h).
#include <fmt/format.h>

#include <algorithm>

#include "declared/config/object_names.h"
#include "declared/config/validation.h"

namespace cairnhollow::declared::config {

namespace {

const HashSlotRange& slots_of(const StoredObject* group) {
  return std::get<DatabaseGroupSpec>(group->object.spec).hash_slots;
}

std::string name_of(const StoredObject* stored) { return to_string(stored->object.key()); }

class RelationValidator {
 public:
  explicit RelationValidator(const ObjectStore& objects) : objects_(objects) {}

  /// Checks the rules that involve `touched`.
  void check(const StoredObject* touched) {
    switch (touched->object.kind()) {
      case ObjectKind::kProxy:
        check_endpoint(touched);
        break;
      case ObjectKind::kBackend:
        check_endpoint(touched);
        check_membership(touched, touched, "metadata.labels");
        break;
      case ObjectKind::kDatabaseGroup:
        check_members(touched);
        check_slots_of_group(touched);
        break;
      case ObjectKind::kRoute:
        check_slots_of_route(touched);
        break;
    }
  }

  std::vector<FieldFault> take_faults() { return std::move(faults_); }

 private:
  void add(const StoredObject* touched, const char* field, std::string problem) {
    faults_.push_back({touched->object.key(), field, std::move(problem)});
  }

  void check_endpoint(const StoredObject* touched) {
    const Endpoint& endpoint = *ObjectStore::endpoint_of(touched->object);
    for (const StoredObject* other : objects_.with_endpoint(endpoint)) {
      if (other == touched) continue;
      add(touched, "spec.endpoint",
          fmt::format("{} is also the endpoint of {}", endpoint.to_string(), name_of(other)));
      return;
    }
  }

  /// A backend belongs to at most one group. The fault is reported on the touched object, which is the
  /// backend or one of the groups.
  void check_membership(const StoredObject* backend, const StoredObject* touched, const char* field) {
    const ObjectSet owners = objects_.groups_selecting(backend->object.labels);
    if (owners.size() < 2) return;
    const auto first = owners.begin();
    add(touched, field,
        fmt::format("{} would belong to {} and {}", name_of(backend), name_of(*first),
                    name_of(*std::next(first))));
  }

  void check_members(const StoredObject* group) {
    const auto& selector = std::get<DatabaseGroupSpec>(group->object.spec).backend_selector;
    for (const StoredObject* backend : objects_.backends_selected_by(selector)) {
      check_membership(backend, group, "spec.backendSelector");
    }
  }

  void check_slots_of_group(const StoredObject* group) {
    for (const StoredObject* route : objects_.routes_selecting(group->object.labels)) {
      const auto& selector = std::get<RouteSpec>(route->object.spec).group_selector;
      const StoredObject* other = objects_.find_group_selected_by(
          selector, [&](const StoredObject& each) { return &each != group && overlap(group, &each); });
      if (other != nullptr) add_overlap(group, "spec.hashSlots", route, group, other);
    }
  }

  void check_slots_of_route(const StoredObject* route) {
    const auto& selector = std::get<RouteSpec>(route->object.spec).group_selector;
    const ObjectSet selected = objects_.groups_selected_by(selector);
    std::vector<const StoredObject*> groups(selected.begin(), selected.end());
    std::stable_sort(groups.begin(), groups.end(), [](const StoredObject* left, const StoredObject* right) {
      return slots_of(left).first < slots_of(right).first;
    });
    for (std::size_t i = 1; i < groups.size(); ++i) {
      if (overlap(groups[i - 1], groups[i])) {
        add_overlap(route, "spec.groupSelector", route, groups[i - 1], groups[i]);
      }
    }
  }

  static bool overlap(const StoredObject* left, const StoredObject* right) {
    return slots_of(left).first <= slots_of(right).last && slots_of(right).first <= slots_of(left).last;
  }

  void add_overlap(const StoredObject* touched, const char* field, const StoredObject* route,
                   const StoredObject* left, const StoredObject* right) {
    if (std::make_pair(slots_of(right).first, right->object.name) <
        std::make_pair(slots_of(left).first, left->object.name)) {
      std::swap(left, right);
    }
    add(touched, field,
        fmt::format("{} selects {} and {}, which share hash slots from {}", name_of(route), name_of(left),
                    name_of(right), slots_of(right).first));
  }

  const ObjectStore& objects_;
  std::vector<FieldFault> faults_;
};

}  // namespace

std::vector<FieldFault> validate_relations(const ObjectStore& objects,
                                           const std::vector<ObjectKey>& touched) {
  RelationValidator validator(objects);
  for (const ObjectKey& key : touched) {
    if (const StoredObject* stored = objects.find(key)) validator.check(stored);
  }
  return validator.take_faults();
}

}  // namespace cairnhollow::declared::config
