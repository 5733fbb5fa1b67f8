#include "declared/control/failover/supervisor_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cairnhollow::declared::control {

namespace {

std::uint64_t weight(const GroupName& group, const NodeName& node) {
  const std::string text = group.value + '\0' + node.value;
  return XXH64(text.data(), text.size(), 0);
}

struct Weighted {
  std::uint64_t weight = 0;
  NodeName node;
};

}  // namespace

std::vector<NodeName> supervisor_order(const GroupName& group, std::vector<NodeName> nodes) {
  std::vector<Weighted> weighted;
  weighted.reserve(nodes.size());
  for (auto& node : nodes) {
    const std::uint64_t node_weight = weight(group, node);
    weighted.push_back({node_weight, std::move(node)});
  }
  std::sort(weighted.begin(), weighted.end(), [](const Weighted& left, const Weighted& right) {
    return left.weight != right.weight ? left.weight > right.weight : left.node < right.node;
  });
  for (std::size_t place = 0; place < nodes.size(); ++place) nodes[place] = std::move(weighted[place].node);
  return nodes;
}

}  // namespace cairnhollow::declared::control
