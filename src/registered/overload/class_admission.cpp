#include "registered/overload/class_admission.h"

#include <algorithm>
#include <iterator>

namespace cairnhollow::registered::overload {

void ClassAdmission::update(double load, TimePoint now) {
  std::erase_if(classes_, [&](const auto& entry) { return now - entry.second.last_seen > kClassMemory; });
  if (load > kHighLoad) refused_ += std::min(kRefuseGain * (load - kHighLoad), kMaxRefuseStep);
  if (load < kLowLoad) refused_ -= kAdmitGain * (kLowLoad - load);
  const double limit = std::max(static_cast<double>(classes_.size()) - kAlwaysAdmitted, 0.0);
  refused_ = std::clamp(refused_, 0.0, limit);
}

double ClassAdmission::refused_part(std::uint64_t priority) const {
  const auto lower = std::distance(classes_.upper_bound(priority), classes_.end());
  return std::clamp(refused_ - static_cast<double>(lower), 0.0, 1.0);
}

bool ClassAdmission::admits(std::uint64_t priority, TimePoint now) {
  ClassState& state = classes_[priority];
  state.last_seen = now;
  const double refused = refused_part(priority);
  if (refused == 0) return true;
  state.credit += 1 - refused;
  if (state.credit < 1) return false;
  state.credit -= 1;
  return true;
}

}  // namespace cairnhollow::registered::overload
