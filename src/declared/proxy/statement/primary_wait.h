// Parks work that only the primary can do while there is none, and paces retries at the same primary.
#pragma once

#include "declared/proxy/statement/attempt.h"
#include "declared/proxy/statement/retry_budget.h"

namespace cairnhollow::declared::proxy {

/// Why an attempt at the primary did not run.
struct PrimaryFailure {
  std::optional<AttemptTarget> refused_by;  ///< empty: no primary was known
  Duration retry_after{0};                  ///< named by a busy primary
  Reason reason;
};

/// Whether work that found no connection for this reason may be tried at another primary, or again.
bool may_run_elsewhere(const Reason& reason);

/// Of one statement.
class PrimaryWait {
 public:
  PrimaryWait(ProxyState& state, RetryBudget& budget) : state_(state), budget_(budget) {}

  /// Returns true when another attempt makes sense: a new primary is known, the same one may have recovered
  /// and the retry budget allows to ask it, or it was only too busy, where admission paces the next attempt.
  /// False when `deadline` comes first, the budget is spent and no new primary comes, or as many as
  /// queue_limit_per_backend wait already; `failure.reason` then says why.
  Awaitable<bool> wait(PrimaryFailure& failure, TimePoint deadline);

 private:
  [[nodiscard]] bool has_new_primary(const AttemptTarget& failed) const;
  /// Before the same primary is tried again; longer each time.
  Duration next_pause();

  ProxyState& state_;
  RetryBudget& budget_;
  std::uint32_t retries_ = 0;
};

/// The refusal of work that no primary took.
Refused refuse(const PrimaryFailure& failure);

}  // namespace cairnhollow::declared::proxy
