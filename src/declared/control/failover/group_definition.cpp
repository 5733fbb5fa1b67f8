#include "declared/control/failover/group_definition.h"

#include <algorithm>

#include "declared/config/label_index.h"

namespace cairnhollow::declared::control {

namespace {

GroupMember make_member(const config::Object& object, const config::BackendSpec& spec,
                        const std::set<std::string>& leaving) {
  GroupMember member;
  member.backend = BackendName(object.name);
  member.endpoint = spec.endpoint;
  member.zone = spec.zone;
  member.labels = object.labels;
  member.leaving = spec.drain || leaving.contains(object.name);
  return member;
}

GroupDefinition make_group(const config::Object& object, const config::DatabaseGroupSpec& spec,
                           const config::LabelIndex& backends, const std::set<std::string>& leaving) {
  GroupDefinition definition;
  definition.group = GroupName(object.name);
  for (const auto* stored : backends.selected_by(spec.backend_selector)) {
    const auto& backend = std::get<config::BackendSpec>(stored->object.spec);
    definition.members.push_back(make_member(stored->object, backend, leaving));
  }
  return definition;
}

}  // namespace

std::vector<GroupDefinition> group_definitions(const std::vector<config::StoredObject>& objects,
                                               const std::set<std::string>& leaving) {
  config::LabelIndex backends;
  for (const auto& stored : objects) {
    if (stored.object.kind() == config::ObjectKind::kBackend) backends.add(&stored);
  }
  std::vector<GroupDefinition> definitions;
  for (const auto& stored : objects) {
    const auto* group = std::get_if<config::DatabaseGroupSpec>(&stored.object.spec);
    if (group == nullptr) continue;
    definitions.push_back(make_group(stored.object, *group, backends, leaving));
  }
  std::sort(definitions.begin(), definitions.end());
  return definitions;
}

}  // namespace cairnhollow::declared::control
