#include "declared/proxy/statement/primary_wait.h"

#include <algorithm>

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

namespace {

/// Number of doublings after which the pause has reached kPrimaryRetryPauseLimit; bounds the shift.
constexpr std::uint32_t kMaximumDoublings = 10;

}  // namespace

bool is_retryable_at_primary(const Reason& reason) {
  return reason.code == ReasonCode::kUnreachable || reason.code == ReasonCode::kNotPrimary;
}

bool PrimaryWait::has_new_primary(const AttemptTarget& failed) const {
  Reason reason;
  const auto primary = primary_target(*state_.serving.view(), failed.group_name(), reason);
  return primary && primary->term > failed.term;
}

Awaitable<bool> PrimaryWait::wait(PrimaryFailure& failure, TimePoint deadline) {
  if (state_.serving.waiting() >= state_.settings.queue_limit_per_backend) co_return false;
  if (!failure.refused_by) {
    const bool changed = co_await state_.serving.wait_for_change(deadline);
    co_return changed;
  }
  // A backend that was too busy did not run the statement. The statement waits for a slot in the admission
  // queue by priority, and admission paces requests to such a backend, so this does not amplify load.
  if (failure.retry_after > Duration(0)) co_return state_.runtime.now() < deadline;
  TimePoint retry_at = state_.runtime.now() + next_pause();
  while (!has_new_primary(*failure.refused_by)) {
    const bool changed = co_await state_.serving.wait_for_change(std::min(retry_at, deadline));
    if (changed) continue;
    if (state_.runtime.now() >= deadline) co_return false;
    Reason exhausted = failure.reason;
    if (budget_.try_spend(exhausted)) co_return true;
    failure.reason = std::move(exhausted);
    retry_at = deadline;  // waiting for a new primary does not amplify load
  }
  co_return state_.runtime.now() < deadline;
}

Duration PrimaryWait::next_pause() {
  const Duration pause =
      std::min(kPrimaryRetryPause * (std::int64_t{1} << std::min(retries_, kMaximumDoublings)),
               kPrimaryRetryPauseLimit);
  ++retries_;
  return pause;
}

Refused refuse(const PrimaryFailure& failure) {
  auto refused = refuse(failure.reason);
  if (failure.retry_after > Duration(0)) refused.retry_after = failure.retry_after;
  return refused;
}

}  // namespace cairnhollow::declared::proxy
