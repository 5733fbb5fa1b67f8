// Determines which control node supervises a group and whether this node monitors it, among the currently
// eligible nodes.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/types.h"

namespace cairnhollow::declared::control {

struct Assignment {
  NodeName supervisor;
  bool monitored_here = false;
};

/// Caches the node order of each group (supervisor_choice.h), computed over all nodes that were ever
/// eligible. When nodes become eligible or ineligible, the cached orders are only filtered: that happens most
/// often under overload, so reassignment must be cheap.
class SupervisorTable {
 public:
  explicit SupervisorTable(NodeName self) : self_(std::move(self)) {}

  /// Sets the eligible nodes, which must include `self`, each with the sorted names of the groups of which it
  /// reaches no majority. Returns false if nothing changed.
  bool set_eligible_nodes(std::map<NodeName, std::vector<GroupName>> eligible);
  /// Uses the nodes of the last set_eligible_nodes() call.
  [[nodiscard]] Assignment assign(const GroupName& group);
  /// Removes the cached order of a deleted group.
  void remove_group(const GroupName& group) { orders_.erase(group); }

 private:
  using Order = std::vector<std::uint16_t>;  ///< indexes into nodes_

  const Order& order_of(const GroupName& group);
  [[nodiscard]] bool reaches(std::uint16_t node, const GroupName& group) const;

  NodeName self_;
  std::map<NodeName, std::vector<GroupName>> eligible_;
  std::vector<NodeName> nodes_;  ///< every node that was ever eligible, sorted by name
  /// Parallel to nodes_; points into eligible_, or null if the node is not eligible.
  std::vector<const std::vector<GroupName>*> unreachable_;
  std::unordered_map<GroupName, Order> orders_;
};

}  // namespace cairnhollow::declared::control
