// What this control node knows of the groups' primaries and of leaving machines: the part of a follower's
// view that is not replicated configuration. Safety does not rest on it: a backend refuses any term but
// its own.
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

/// Every change gets a version number of this process; followers ask for what is newer than theirs.
class NewsDirectory {
 public:
  explicit NewsDirectory(runtime::Runtime& runtime) : changed_(runtime) {}

  /// True when the state was news: a higher term, or the primary of a term known without one.
  bool learn(const follow::GroupState& state);
  /// Replaces the list of leaving machines. True when it differs.
  bool set_leaving(std::set<std::string> leaving);

  [[nodiscard]] std::optional<follow::GroupState> find(const GroupName& group) const;
  [[nodiscard]] std::uint64_t version() const { return version_; }
  /// Group states learned after `version`, by name.
  [[nodiscard]] std::vector<follow::GroupState> changed_since(std::uint64_t version) const;
  [[nodiscard]] const std::set<std::string>& leaving() const { return leaving_; }
  /// Notified after every change.
  runtime::Signal& changed() { return changed_; }

 private:
  std::map<GroupName, follow::GroupState> groups_;
  std::map<GroupName, std::uint64_t> versions_;  ///< at which each group changed last
  std::set<std::string> leaving_;
  std::uint64_t version_ = 1;
  runtime::Signal changed_;
};

}  // namespace cairnhollow::declared::control
