#include "registered/balancing/outlier_detection.h"

#include <algorithm>
#include <cmath>

namespace cairnhollow::registered::balancing {

void OutcomeHistory::record(bool failed) {
  failed_[next_] = failed;
  next_ = (next_ + 1) % kOutcomeWindow;
  count_ = std::min(count_ + 1, kOutcomeWindow);
}

bool is_outlier(const OutcomeCounts& backend, const OutcomeCounts& peers) {
  if (backend.outcomes < kMinOutcomes || backend.failures < kMinFailures) return false;
  if (peers.outcomes < kMinOutcomes) return false;
  OutcomeCounts all = backend;
  all += peers;
  const double excess = backend.failure_share() - peers.failure_share();
  const double variance =
      all.failure_share() * (1 - all.failure_share()) *
      (1 / static_cast<double>(backend.outcomes) + 1 / static_cast<double>(peers.outcomes));
  return excess > kOutlierShare && excess > kOutlierDeviations * std::sqrt(variance);
}

bool may_eject(std::size_t ejected, std::size_t members) { return 2 * (ejected + 1) <= members; }

void Ejection::begin(TimePoint now) {
  const bool follows = length_ > Duration(0) && now < until_ + kEjectionMemory;
  length_ = follows ? std::min(length_ * 2, kMaxEjectionTime) : kEjectionTime;
  until_ = now + length_;
}

}  // namespace cairnhollow::registered::balancing
