// Derives the database groups and their members from the configuration objects.
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
  bool leaving = false;  ///< drained by an operator or reported as leaving by the platform
  auto operator<=>(const GroupMember&) const = default;
};

struct GroupDefinition {
  GroupName group;
  std::vector<GroupMember> members;  ///< sorted by name
  auto operator<=>(const GroupDefinition&) const = default;
};

/// Returns the groups sorted by name. `leaving` holds the names of the machines that the platform reports as
/// leaving.
std::vector<GroupDefinition> group_definitions(const std::vector<config::StoredObject>& objects,
                                               const std::set<std::string>& leaving);

/// Returns the smallest number of members that is more than half of `members`.
constexpr std::size_t majority_of(std::size_t members) { return members / 2 + 1; }

}  // namespace cairnhollow::declared::control
