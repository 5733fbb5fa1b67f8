#include "limits/limit_budget.h"

#include <algorithm>

namespace cairnhollow::limits {

namespace {

double seconds_of(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

double allowance(const registry::TenantRule& tenant, const LimitWindow& window) {
  const double in_window = static_cast<double>(tenant.rate_per_s) * seconds_of(window.window);
  return (in_window + static_cast<double>(tenant.burst)) * (1 + window.overshoot) + window.slack;
}

HomeBudget home_budget(const registry::TenantRule& tenant, const LimitWindow& window) {
  const auto rate = static_cast<double>(tenant.rate_per_s);
  const double granted = rate * seconds_of(window.window + kGrantLife);
  const double depths = allowance(tenant, window) - granted;
  // Less than one token a home would let nothing pass, ever.
  return {rate / kHomes, std::max(depths / kHomes, 1.0)};
}

}  // namespace cairnhollow::limits
