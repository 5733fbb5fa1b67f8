#include "declared/proxy/statement/retry_budget.h"

#include <algorithm>

namespace cairnhollow::declared::proxy {

void RetryBudget::record_success() { balance_ = std::min(balance_ + kUnitsPerSuccess, kMaximumBalance); }

bool RetryBudget::try_spend(Reason& reason) {
  if (balance_ >= kUnitsPerRetry) {
    balance_ -= kUnitsPerRetry;
    return true;
  }
  reason = Reason{ReasonCode::kRetryBudgetExhausted, reason.step, reason.peer, reason.to_string()};
  return false;
}

double RetryBudget::retries_left() const {
  return static_cast<double>(balance_) / static_cast<double>(kUnitsPerRetry);
}

}  // namespace cairnhollow::declared::proxy
