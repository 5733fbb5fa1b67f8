#include "declared/proxy/statement/retry_budget.h"

#include <algorithm>

namespace cairnhollow::declared::proxy {

void RetryBudget::record_success() { balance_ = std::min(balance_ + kEarnedPerSuccess, kCap); }

bool RetryBudget::try_spend(Reason& reason) {
  if (balance_ >= kOneRetry) {
    balance_ -= kOneRetry;
    return true;
  }
  reason = Reason{ReasonCode::kRetryBudgetExhausted, reason.step, reason.peer, reason.to_string()};
  return false;
}

double RetryBudget::retries_left() const {
  return static_cast<double>(balance_) / static_cast<double>(kOneRetry);
}

}  // namespace cairnhollow::declared::proxy
