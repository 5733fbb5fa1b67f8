// Holds retries back so that they cannot multiply an outage: each success earns a part of a retry (as in
// Finagle's and Envoy's retry budgets).
#pragma once

#include <cstdint>

#include "base/reason.h"

namespace cairnhollow::declared::proxy {

/// Counted in hundredths of a retry, so that no rounding depends on the machine.
class RetryBudget {
 public:
  /// One answered statement earns a fifth of a retry, up to the cap.
  void record_success();
  /// Takes one retry out; false with kRetryBudgetExhausted (keeping the earlier reason's text as detail)
  /// when there is none left.
  bool try_spend(Reason& reason);
  [[nodiscard]] double retries_left() const;

 private:
  static constexpr std::int64_t kOneRetry = 100;
  static constexpr std::int64_t kEarnedPerSuccess = 20;
  static constexpr std::int64_t kCap = 100 * kOneRetry;

  std::int64_t balance_ = kCap / 2;
};

}  // namespace cairnhollow::declared::proxy
