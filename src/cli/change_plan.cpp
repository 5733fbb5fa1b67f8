#include "cli/change_plan.h"

#include <map>

namespace cairnhollow::cli {

namespace {

/// Adds the write of `after` unless it is what is in force.
void add_write(ChangePlan& plan, const declared::config::StoredObject& before,
               declared::config::Object after) {
  if (after == before.object) {
    plan.unchanged.push_back(after.key());
    return;
  }
  plan.changes.push_back({{std::move(after), false, before.version}, before.object});
}

using ObjectsByKey = std::map<declared::config::ObjectKey, const declared::config::StoredObject*>;

ObjectsByKey by_key(const std::vector<declared::config::StoredObject>& objects) {
  ObjectsByKey table;
  for (const auto& stored : objects) table.emplace(stored.object.key(), &stored);
  return table;
}

ChangePlan plan_on(const declared::control::ObjectList& list) {
  ChangePlan plan;
  plan.at_revision = list.revision;
  return plan;
}

void add_deletion(ChangePlan& plan, const declared::config::StoredObject& before,
                  std::optional<std::uint64_t> based_on) {
  plan.changes.push_back({{before.object, true, based_on}, before.object});
}

void set_drain(declared::config::Object& object, bool drain) {
  if (auto* proxy = std::get_if<declared::config::ProxySpec>(&object.spec)) proxy->drain = drain;
  if (auto* backend = std::get_if<declared::config::BackendSpec>(&object.spec)) backend->drain = drain;
}

}  // namespace

ChangePlan plan_apply(const std::vector<declared::config::Manifest>& manifests,
                      const declared::control::ObjectList& in_force) {
  ChangePlan plan = plan_on(in_force);
  const auto objects = by_key(in_force.objects);
  for (const auto& manifest : manifests) {
    const auto found = objects.find(manifest.object.key());
    if (found == objects.end()) {
      constexpr std::uint64_t kMustNotExist = 0;
      const auto based_on = manifest.resource_version.value_or(kMustNotExist);
      plan.changes.push_back({{manifest.object, false, based_on}, std::nullopt});
      continue;
    }
    const std::size_t writes = plan.changes.size();
    add_write(plan, *found->second, manifest.object);
    if (plan.changes.size() > writes && manifest.resource_version) {
      plan.changes.back().change.based_on = manifest.resource_version;
    }
  }
  return plan;
}

ChangePlan plan_delete(const std::vector<declared::config::Manifest>& manifests,
                       const declared::control::ObjectList& in_force) {
  ChangePlan plan = plan_on(in_force);
  const auto objects = by_key(in_force.objects);
  for (const auto& manifest : manifests) {
    const auto found = objects.find(manifest.object.key());
    if (found == objects.end()) {
      plan.unchanged.push_back(manifest.object.key());
    } else {
      add_deletion(plan, *found->second, manifest.resource_version.value_or(found->second->version));
    }
  }
  return plan;
}

ChangePlan plan_delete(const declared::control::ObjectList& selected) {
  ChangePlan plan = plan_on(selected);
  for (const auto& stored : selected.objects) add_deletion(plan, stored, stored.version);
  return plan;
}

ChangePlan plan_labels(const declared::control::ObjectList& selected,
                       const std::vector<LabelChange>& changes) {
  ChangePlan plan = plan_on(selected);
  for (const auto& stored : selected.objects) {
    declared::config::Object after = stored.object;
    for (const auto& change : changes) {
      if (change.value) {
        after.labels.entries[change.key] = *change.value;
      } else {
        after.labels.entries.erase(change.key);
      }
    }
    add_write(plan, stored, std::move(after));
  }
  return plan;
}

ChangePlan plan_drain(const declared::control::ObjectList& selected, bool drain) {
  ChangePlan plan = plan_on(selected);
  for (const auto& stored : selected.objects) {
    declared::config::Object after = stored.object;
    set_drain(after, drain);
    add_write(plan, stored, std::move(after));
  }
  return plan;
}

}  // namespace cairnhollow::cli
