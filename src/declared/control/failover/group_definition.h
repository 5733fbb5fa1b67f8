// Database groups as the configuration declares them, with the members that their selectors select.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "declared/config/objects.h"

namespace cairnhollow::declared::control {

struct GroupMember {
  BackendName backend;
  Endpoint endpoint;
  ZoneName zone;
  LabelSet labels;
  bool leaving = false;  ///< drained by an operator or listed as leaving by the platform
  auto operator<=>(const GroupMember&) const = default;
};

struct GroupDefinition {
  GroupName group;
  std::vector<GroupMember> members;  ///< by name
  auto operator<=>(const GroupDefinition&) const = default;
};

/// The groups, by name. `leaving` holds names of machines that the platform lists as leaving.
std::vector<GroupDefinition> group_definitions(const std::vector<config::StoredObject>& objects,
                                               const std::set<std::string>& leaving);

/// More than half of `members`.
constexpr std::size_t majority_of(std::size_t members) { return members / 2 + 1; }

}  // namespace cairnhollow::declared::control
