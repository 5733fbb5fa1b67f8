#include "declared/control/news/cluster_state_directory.h"

namespace cairnhollow::declared::control {

bool ClusterStateDirectory::learn(const follow::GroupState& state) {
  if (!follow::accept_group_state(groups_, state)) return false;
  versions_[state.group] = ++version_;
  changed_.notify_all();
  return true;
}

bool ClusterStateDirectory::set_leaving(std::set<std::string> leaving) {
  if (leaving == leaving_) return false;
  leaving_ = std::move(leaving);
  ++version_;
  changed_.notify_all();
  return true;
}

std::optional<follow::GroupState> ClusterStateDirectory::find(const GroupName& group) const {
  const auto known = groups_.find(group);
  if (known == groups_.end()) return std::nullopt;
  return known->second;
}

std::vector<follow::GroupState> ClusterStateDirectory::changed_since(std::uint64_t version) const {
  std::vector<follow::GroupState> changed;
  for (const auto& [group, changed_at] : versions_) {
    if (changed_at > version) changed.push_back(groups_.at(group));
  }
  return changed;
}

}  // namespace cairnhollow::declared::control
