#include "registered/placement/statement_progress.h"

#include <algorithm>

namespace cairnhollow::registered::placement {

TimePoint refusal_time(const StatementProgress& progress) {
  return progress.arrived + (progress.deadline - progress.arrived) / kRefusalDivisor;
}

Patience patience_at(const StatementProgress& progress, TimePoint now) {
  Patience patience;
  patience.may_try = progress.attempts < kMaxAttempts && now < progress.deadline;
  patience.may_wait = now < refusal_time(progress);
  patience.offered = progress.offered;
  return patience;
}

TimePoint link_wait_end(const StatementProgress& progress, TimePoint now) {
  if (!progress.offered) return refusal_time(progress);
  return std::min(progress.deadline, now + kShortestReadWait);
}

TimePoint slot_wait_end(const StatementProgress& progress, TimePoint now) {
  const TimePoint useful = progress.arrived + progress.target_latency / kSlotWaitDivisor;
  return std::min(link_wait_end(progress, now), std::max(useful, now + kRetryPause));
}

bool may_leave_silent_backend(bool needs_primary, const StatementProgress& progress) {
  return !needs_primary && progress.attempts < kMaxAttempts - 1;
}

TimePoint silent_backend_wait_end(const StatementProgress& progress, TimePoint sent_at) {
  const Duration wait = std::max<Duration>(progress.target_latency / kReadWaitDivisor, kShortestReadWait);
  return std::min(progress.deadline, sent_at + wait);
}

bool may_be_rerouted(const StatementProgress& progress) {
  return progress.attempts == 0 && !progress.offered && progress.reroutes < kMaxReroutes;
}

}  // namespace cairnhollow::registered::placement
