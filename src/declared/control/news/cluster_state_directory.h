// Stores the known primaries of the groups and the leaving machines: the part of a follower's view that is
// not replicated configuration. Stale content is safe, because a backend rejects any term but its own.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "declared/follow/serving_configuration.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::control {

/// Each change increments a version number that is local to this process; followers request the changes since
/// their version.
class ClusterStateDirectory {
 public:
  explicit ClusterStateDirectory(runtime::Runtime& runtime) : changed_(runtime) {}

  /// Stores a group state if it is newer: a higher term, or the primary of a term known without one. Returns
  /// false if it was ignored.
  bool learn(const follow::GroupState& state);
  /// Replaces the set of leaving machines. Returns false if it is unchanged.
  bool set_leaving(std::set<std::string> leaving);

  [[nodiscard]] std::optional<follow::GroupState> find(const GroupName& group) const;
  [[nodiscard]] std::uint64_t version() const { return version_; }
  /// Returns the group states that changed after `version`, sorted by group name.
  [[nodiscard]] std::vector<follow::GroupState> changed_since(std::uint64_t version) const;
  [[nodiscard]] const std::set<std::string>& leaving() const { return leaving_; }
  /// Notified after each change.
  runtime::Signal& changed() { return changed_; }

 private:
  std::map<GroupName, follow::GroupState> groups_;
  std::map<GroupName, std::uint64_t> versions_;  ///< version at which each group last changed
  std::set<std::string> leaving_;
  std::uint64_t version_ = 1;
  runtime::Signal changed_;
};

}  // namespace cairnhollow::declared::control
