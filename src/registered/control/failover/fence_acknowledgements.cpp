#include "registered/control/failover/fence_acknowledgements.h"

#include <algorithm>

namespace cairnhollow::registered::control {

void FenceAcknowledgements::set_proxies(const std::vector<registry::AdmittedProxy>& proxies) {
  proxies_.clear();
  for (const registry::AdmittedProxy& proxy : proxies) proxies_[proxy.node] = proxy.incarnation;
  // The set of proxies that must answer may have changed; progress is rebuilt on the next query.
  closes_.clear();
}

void FenceAcknowledgements::clear() {
  reports_.clear();
  closes_.clear();
}

bool FenceAcknowledgements::record(const NodeName& node, std::uint64_t incarnation,
                                   const registry::ClosedGroup& closed) {
  Reports& reports = reports_[node];
  if (reports.incarnation != incarnation) reports = Reports{incarnation, {}};
  registry::ClosedGroup& held = reports.closed[closed.group];
  if (closed.epoch < held.epoch) return false;
  held = closed;
  const auto found = closes_.find(closed.group);
  if (found == closes_.end() || closed.epoch < found->second.epoch) return false;
  Close& close = found->second;
  const auto silent = close.silent.find(node);
  const bool counts = silent != close.silent.end() && silent->second == incarnation;
  const auto admitted = proxies_.find(node);
  const bool is_admitted = admitted != proxies_.end() && admitted->second == incarnation;
  if (is_admitted)
    close.highest_acknowledged = std::max(close.highest_acknowledged, closed.highest_acknowledged);
  if (counts) close.silent.erase(silent);
  return counts && close.silent.empty();
}

FenceAcknowledgements::Close FenceAcknowledgements::begin(const GroupName& group, std::uint64_t epoch) const {
  Close close;
  close.epoch = epoch;
  for (const auto& [node, incarnation] : proxies_) {
    const auto reports = reports_.find(node);
    const registry::ClosedGroup* answer = nullptr;
    if (reports != reports_.end() && reports->second.incarnation == incarnation) {
      const auto closed = reports->second.closed.find(group);
      if (closed != reports->second.closed.end() && closed->second.epoch >= epoch) answer = &closed->second;
    }
    if (answer == nullptr) {
      close.silent.emplace(node, incarnation);
    } else {
      close.highest_acknowledged = std::max(close.highest_acknowledged, answer->highest_acknowledged);
    }
  }
  return close;
}

FenceProgress FenceAcknowledgements::progress(const GroupName& group, std::uint64_t epoch,
                                              const DescribeSilent& describe_silent) {
  auto found = closes_.find(group);
  if (found == closes_.end() || found->second.epoch != epoch)
    found = closes_.insert_or_assign(group, begin(group, epoch)).first;
  const Close& close = found->second;
  FenceProgress progress;
  progress.highest_acknowledged = close.highest_acknowledged;
  progress.all_answered = close.silent.empty();
  for (const auto& [node, incarnation] : close.silent) {
    const Silent silent = describe_silent(node, incarnation);
    progress.silent_revision = std::min(progress.silent_revision, silent.revision);
    if (silent.may_hold_lease) ++progress.waiting_for;
  }
  progress.complete = progress.waiting_for == 0;
  return progress;
}

}  // namespace cairnhollow::registered::control
