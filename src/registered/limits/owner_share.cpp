#include "registered/limits/owner_share.h"

#include <algorithm>

namespace cairnhollow::registered::limits {

namespace {

double seconds_of(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

double allowance(const Limit& limit) {
  const double in_window = limit.rate_per_s * seconds_of(limit.window.window);
  return (in_window + limit.burst) * (1 + limit.window.overshoot) + limit.window.slack;
}

OwnerShare owner_share(const Limit& limit) {
  constexpr double kLeastDepths = kQuotaOwners;
  const double allowed = allowance(limit);
  if (allowed < kLeastDepths) return {0, 0};
  const double counted_s = seconds_of(limit.window.window + kGrantLife);
  const double rate = std::min(limit.rate_per_s, (allowed - kLeastDepths) / counted_s);
  return {rate / kQuotaOwners, (allowed - rate * counted_s) / kQuotaOwners};
}

}  // namespace cairnhollow::registered::limits
