#include "declared/control/failover/supervisor_table.h"

#include <algorithm>

#include "declared/control/failover/supervisor_choice.h"
#include "declared/control/knobs.h"

namespace cairnhollow::declared::control {

bool SupervisorTable::set_able(std::map<NodeName, std::vector<GroupName>> able) {
  if (able == able_) return false;
  able_ = std::move(able);
  for (const auto& [node, unreachable] : able_) {
    const auto place = std::lower_bound(nodes_.begin(), nodes_.end(), node);
    if (place != nodes_.end() && *place == node) continue;
    nodes_.insert(place, node);
    orders_.clear();
  }
  unreachable_.assign(nodes_.size(), nullptr);
  for (std::size_t place = 0; place < nodes_.size(); ++place) {
    const auto found = able_.find(nodes_[place]);
    if (found != able_.end()) unreachable_[place] = &found->second;
  }
  return true;
}

const SupervisorTable::Order& SupervisorTable::order_of(const GroupName& group) {
  auto& order = orders_[group];
  if (order.size() == nodes_.size()) return order;
  order.clear();
  for (const auto& node : supervisor_order(group, nodes_)) {
    const auto place = std::lower_bound(nodes_.begin(), nodes_.end(), node);
    order.push_back(static_cast<std::uint16_t>(place - nodes_.begin()));
  }
  return order;
}

bool SupervisorTable::reaches(std::uint16_t node, const GroupName& group) const {
  const auto& unreachable = *unreachable_[node];
  return !std::binary_search(unreachable.begin(), unreachable.end(), group);
}

Assignment SupervisorTable::assign(const GroupName& group) {
  Assignment assignment;
  std::size_t able = 0;
  std::size_t reaching = 0;
  for (const std::uint16_t node : order_of(group)) {
    if (unreachable_[node] == nullptr) continue;
    const bool reaches_group = reaches(node, group);
    if (able == 0 || (reaches_group && reaching == 0)) assignment.supervisor = nodes_[node];
    // A node that reaches no majority keeps monitoring; otherwise it would not notice when it reaches one
    // again.
    const bool among_first = able < kMonitorsPerGroup || (reaches_group && reaching < kMonitorsPerGroup);
    if (among_first && nodes_[node] == self_) assignment.watched_here = true;
    ++able;
    if (reaches_group) ++reaching;
    if (reaching == kMonitorsPerGroup) break;
  }
  return assignment;
}

}  // namespace cairnhollow::declared::control
