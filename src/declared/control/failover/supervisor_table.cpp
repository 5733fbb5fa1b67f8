#include "declared/control/failover/supervisor_table.h"

#include <algorithm>

#include "declared/control/failover/supervisor_choice.h"
#include "declared/control/knobs.h"

namespace cairnhollow::declared::control {

bool SupervisorTable::set_eligible_nodes(std::map<NodeName, std::vector<GroupName>> eligible) {
  if (eligible == eligible_) return false;
  eligible_ = std::move(eligible);
  for (const auto& [node, unreachable] : eligible_) {
    const auto position = std::lower_bound(nodes_.begin(), nodes_.end(), node);
    if (position != nodes_.end() && *position == node) continue;
    nodes_.insert(position, node);
    orders_.clear();
  }
  unreachable_.assign(nodes_.size(), nullptr);
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    const auto found = eligible_.find(nodes_[index]);
    if (found != eligible_.end()) unreachable_[index] = &found->second;
  }
  return true;
}

const SupervisorTable::Order& SupervisorTable::order_of(const GroupName& group) {
  auto& order = orders_[group];
  if (order.size() == nodes_.size()) return order;
  order.clear();
  for (const auto& node : supervisor_order(group, nodes_)) {
    const auto position = std::lower_bound(nodes_.begin(), nodes_.end(), node);
    order.push_back(static_cast<std::uint16_t>(position - nodes_.begin()));
  }
  return order;
}

bool SupervisorTable::reaches(std::uint16_t node, const GroupName& group) const {
  const auto& unreachable = *unreachable_[node];
  return !std::binary_search(unreachable.begin(), unreachable.end(), group);
}

Assignment SupervisorTable::assign(const GroupName& group) {
  Assignment assignment;
  std::size_t eligible_count = 0;
  std::size_t reaching_count = 0;
  for (const std::uint16_t node : order_of(group)) {
    if (unreachable_[node] == nullptr) continue;
    const bool reaches_group = reaches(node, group);
    if (eligible_count == 0 || (reaches_group && reaching_count == 0)) assignment.supervisor = nodes_[node];
    // A node that reaches no majority keeps monitoring; otherwise it would not notice when it reaches one
    // again.
    const bool among_first =
        eligible_count < kMonitorsPerGroup || (reaches_group && reaching_count < kMonitorsPerGroup);
    if (among_first && nodes_[node] == self_) assignment.monitored_here = true;
    ++eligible_count;
    if (reaches_group) ++reaching_count;
    if (reaching_count == kMonitorsPerGroup) break;
  }
  return assignment;
}

}  // namespace cairnhollow::declared::control
