// Holds work that only the primary can do while no primary is known, and paces retries at the same primary.
#pragma once

#include "declared/proxy/statement/attempt.h"
#include "declared/proxy/statement/retry_budget.h"

namespace cairnhollow::declared::proxy {

/// Why an attempt at the primary did not run.
struct PrimaryFailure {
  std::optional<AttemptTarget> refused_by;  ///< std::nullopt if no primary was known
  Duration retry_after{0};                  ///< given by a busy primary
  Reason reason;
};

/// Whether work that failed to get a connection for this reason may be tried at another primary, or again.
bool is_retryable_at_primary(const Reason& reason);

/// Waits of one statement.
class PrimaryWait {
 public:
  PrimaryWait(ProxyState& state, RetryBudget& budget) : state_(state), budget_(budget) {}

  /// Returns true if another attempt is worthwhile: a new primary is known, the same one may have recovered
  /// and the retry budget permits a retry, or it was merely too busy, in which case admission paces the next
  /// attempt. Returns false if `deadline` passes first, if the budget is exhausted and no new primary
  /// appears, or if queue_limit_per_backend statements are already waiting; `failure.reason` then has the
  /// reason.
  Awaitable<bool> wait(PrimaryFailure& failure, TimePoint deadline);

 private:
  [[nodiscard]] bool has_new_primary(const AttemptTarget& failed) const;
  /// Returns the pause before the same primary is retried; grows with each call up to
  /// kPrimaryRetryPauseLimit.
  Duration next_pause();

  ProxyState& state_;
  RetryBudget& budget_;
  std::uint32_t retries_ = 0;
};

/// The refusal of work that no primary accepted.
Refused refuse(const PrimaryFailure& failure);

}  // namespace cairnhollow::declared::proxy
