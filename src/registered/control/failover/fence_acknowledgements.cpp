#include "registered/control/failover/fence_acknowledgements.h"

#include <algorithm>

namespace cairnhollow::registered::control {

void FenceAcknowledgements::set_proxies(const std::vector<registry::AdmittedProxy>& proxies) {
  proxies_.clear();
  for (const registry::AdmittedProxy& proxy : proxies) proxies_[proxy.node] = proxy.incarnation;
  // The set of proxies that must answer may have changed; progress is rebuilt on the next query.
  fences_.clear();
}

void FenceAcknowledgements::clear() {
  answers_.clear();
  fences_.clear();
}

bool FenceAcknowledgements::record(const NodeName& node, std::uint64_t incarnation,
                                   const registry::ClosedGroup& closed) {
  if (!closed.is_closed()) {
    Position& certain = certainly_acknowledged_[closed.group];
    certain = std::max(certain, closed.highest_acknowledged);
    return false;
  }
  ProxyAnswers& answers = answers_[node];
  if (answers.incarnation != incarnation) answers = ProxyAnswers{incarnation, {}};
  registry::ClosedGroup& latest = answers.closed[closed.group];
  if (closed.epoch < latest.epoch) return false;
  latest = closed;
  const auto found = fences_.find(closed.group);
  if (found == fences_.end() || closed.epoch < found->second.epoch) return false;
  GroupFence& fence = found->second;
  const auto unresponsive = fence.unresponsive.find(node);
  const bool is_expected = unresponsive != fence.unresponsive.end() && unresponsive->second == incarnation;
  const auto admitted = proxies_.find(node);
  const bool is_admitted = admitted != proxies_.end() && admitted->second == incarnation;
  if (is_admitted)
    fence.highest_acknowledged = std::max(fence.highest_acknowledged, closed.highest_acknowledged);
  if (is_expected) fence.unresponsive.erase(unresponsive);
  return is_expected && fence.unresponsive.empty();
}

Position FenceAcknowledgements::certainly_acknowledged(const GroupName& group) const {
  const auto found = certainly_acknowledged_.find(group);
  return found == certainly_acknowledged_.end() ? Position{} : found->second;
}

FenceAcknowledgements::GroupFence FenceAcknowledgements::start_fence(const GroupName& group,
                                                                     std::uint64_t epoch) const {
  GroupFence fence;
  fence.epoch = epoch;
  for (const auto& [node, incarnation] : proxies_) {
    const auto answers = answers_.find(node);
    const registry::ClosedGroup* answer = nullptr;
    if (answers != answers_.end() && answers->second.incarnation == incarnation) {
      const auto closed = answers->second.closed.find(group);
      if (closed != answers->second.closed.end() && closed->second.epoch >= epoch) answer = &closed->second;
    }
    if (answer == nullptr) {
      fence.unresponsive.emplace(node, incarnation);
    } else {
      fence.highest_acknowledged = std::max(fence.highest_acknowledged, answer->highest_acknowledged);
    }
  }
  return fence;
}

FenceProgress FenceAcknowledgements::progress(const GroupName& group, std::uint64_t epoch,
                                              const DescribeUnresponsive& describe_unresponsive) {
  auto found = fences_.find(group);
  if (found == fences_.end() || found->second.epoch != epoch)
    found = fences_.insert_or_assign(group, start_fence(group, epoch)).first;
  const GroupFence& fence = found->second;
  FenceProgress progress;
  progress.highest_acknowledged = fence.highest_acknowledged;
  progress.all_answered = fence.unresponsive.empty();
  for (const auto& [node, incarnation] : fence.unresponsive) {
    const UnresponsiveProxy unresponsive = describe_unresponsive(node, incarnation);
    progress.min_unresponsive_revision = std::min(progress.min_unresponsive_revision, unresponsive.revision);
    if (unresponsive.may_hold_lease) ++progress.possible_leaseholders;
  }
  progress.complete = progress.possible_leaseholders == 0;
  return progress;
}

}  // namespace cairnhollow::registered::control
