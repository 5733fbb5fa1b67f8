#include "registered/placement/statement_progress.h"

#include <algorithm>

namespace cairnhollow::registered::placement {

TimePoint refusal_time(const StatementProgress& progress) {
  return progress.arrived + (progress.deadline - progress.arrived) / kRefusalDivisor;
}

AttemptAllowance attempt_allowance_at(const StatementProgress& progress, TimePoint now) {
  AttemptAllowance allowance;
  allowance.may_attempt = progress.attempts < kMaxAttempts && now < progress.deadline;
  allowance.may_wait = now < refusal_time(progress);
  allowance.was_sent = progress.was_sent;
  return allowance;
}

TimePoint link_wait_end(const StatementProgress& progress, TimePoint now) {
  if (!progress.was_sent) return refusal_time(progress);
  return std::min(progress.deadline, now + kShortestReadWait);
}

TimePoint slot_wait_end(const StatementProgress& progress, TimePoint now) {
  const TimePoint useful = progress.arrived + progress.target_latency / kSlotWaitDivisor;
  return std::min(link_wait_end(progress, now), std::max(useful, now + kRetryPause));
}

bool may_abandon_backend(bool needs_primary, const StatementProgress& progress) {
  return !needs_primary && progress.attempts < kMaxAttempts - 1;
}

TimePoint answer_wait_end(const StatementProgress& progress, TimePoint sent_at) {
  const Duration wait = std::max<Duration>(progress.target_latency / kReadWaitDivisor, kShortestReadWait);
  return std::min(progress.deadline, sent_at + wait);
}

bool may_reroute(const StatementProgress& progress) {
  return progress.attempts == 0 && !progress.was_sent && progress.reroute_count < kMaxReroutes;
}

}  // namespace cairnhollow::registered::placement
