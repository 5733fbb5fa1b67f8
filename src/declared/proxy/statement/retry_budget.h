// Retry budget: limits retries to a fraction of recent successes, so that they cannot amplify an outage (as
// in Finagle's and Envoy's retry budgets).
#pragma once

#include <cstdint>

#include "base/reason.h"

namespace cairnhollow::declared::proxy {

/// Counted in hundredths of a retry, so that results do not depend on floating-point rounding.
class RetryBudget {
 public:
  /// Each answered statement earns a fifth of a retry, up to the cap.
  void record_success();
  /// Spends one retry. Returns false with kRetryBudgetExhausted if none is left; the text of the previous
  /// reason is kept as detail.
  bool try_spend(Reason& reason);
  [[nodiscard]] double retries_left() const;

 private:
  static constexpr std::int64_t kUnitsPerRetry = 100;
  static constexpr std::int64_t kUnitsPerSuccess = 20;
  static constexpr std::int64_t kMaximumBalance = 100 * kUnitsPerRetry;

  std::int64_t balance_ = kMaximumBalance / 2;
};

}  // namespace cairnhollow::declared::proxy
