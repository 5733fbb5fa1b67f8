// Which control node supervises a group and whether this one watches it, over the nodes that can take part
// now.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/types.h"

namespace cairnhollow::declared::control {

struct Assignment {
  NodeName supervisor;
  bool watched_here = false;
};

/// The order of the nodes for a group (supervisor_choice.h) is worked out once, over all nodes that ever took
/// part; when some come and go, the orders are only followed. Nodes come and go most when all are overloaded,
/// so that their assignments must not be dear then.
class SupervisorTable {
 public:
  explicit SupervisorTable(NodeName self) : self_(std::move(self)) {}

  /// The nodes that can take part, `self` among them, each with the groups, by name, of which it reaches no
  /// majority. False when nothing has changed.
  bool set_able(std::map<NodeName, std::vector<GroupName>> able);
  /// By the nodes set last.
  [[nodiscard]] Assignment assign(const GroupName& group);
  /// The group is gone.
  void forget(const GroupName& group) { orders_.erase(group); }

 private:
  using Order = std::vector<std::uint16_t>;  ///< places in nodes_

  const Order& order_of(const GroupName& group);
  [[nodiscard]] bool reaches(std::uint16_t node, const GroupName& group) const;

  NodeName self_;
  std::map<NodeName, std::vector<GroupName>> able_;
  std::vector<NodeName> nodes_;                             ///< that ever took part, by name
  std::vector<const std::vector<GroupName>*> unreachable_;  ///< by node; null for one that can't take part
  std::unordered_map<GroupName, Order> orders_;
};

}  // namespace cairnhollow::declared::control
