#include "registered/placement/statement_progress.h"

#include <algorithm>

namespace cairnhollow::registered::placement {

TimePoint refusal_time(const StatementProgress& progress) { return wait_end(progress.wait_budget()); }

AttemptAllowance attempt_allowance_at(const StatementProgress& progress, TimePoint now) {
  AttemptAllowance allowance;
  allowance.may_wait = now < refusal_time(progress);
  allowance.may_wait_longer = allowance.may_wait && allows_longer_wait(progress.wait_budget());
  const bool is_patient = allowance.may_wait_longer && !progress.was_sent;
  allowance.may_attempt = (progress.attempts < kMaxAttempts || is_patient) && now < progress.deadline;
  allowance.was_sent = progress.was_sent;
  return allowance;
}

namespace {

/// `first`, doubled `times` times, at most kLongestRetryPause.
Duration doubled(Duration first, int times) {
  Duration pause = first;
  for (int each = 0; each < times && pause < kLongestRetryPause; ++each) pause *= 2;
  return std::min(pause, kLongestRetryPause);
}

}  // namespace

Duration retry_pause(const StatementProgress& progress) {
  if (!allows_longer_wait(progress.wait_budget())) return kRetryPause;
  return doubled(kRetryPause, progress.attempts - kMaxAttempts);
}

Duration wait_pause(const StatementProgress& progress, RejectionReason cause) {
  const bool is_notified = cause == RejectionReason::kNoLease || cause == RejectionReason::kGroupClosed;
  if (is_notified && allows_longer_wait(progress.wait_budget())) return kEventCheckInterval;
  return retry_pause(progress);
}

Duration forwarding_pause(int rounds) { return doubled(kRetryPause, rounds); }

TimePoint link_wait_end(const StatementProgress& progress, TimePoint now) {
  if (!progress.was_sent) return refusal_time(progress);
  return std::min(progress.deadline, now + kShortestReadWait);
}

TimePoint slot_wait_end(const StatementProgress& progress, TimePoint now) {
  const WaitBudget budget = progress.wait_budget();
  TimePoint useful = progress.arrived + progress.target_latency / kSlotWaitDivisor;
  if (allows_longer_wait(budget)) useful = std::max(useful, useful_wait_end(budget));
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
