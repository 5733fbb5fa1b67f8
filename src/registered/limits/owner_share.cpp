#include "registered/limits/owner_share.h"

#include <algorithm>

namespace cairnhollow::registered::limits {

namespace {

double to_seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

double allowance(const Limit& limit) {
  const double in_window = limit.rate_per_s * to_seconds(limit.window.window);
  return (in_window + limit.burst) * (1 + limit.window.overshoot) + limit.window.slack;
}

OwnerShare owner_share(const Limit& limit, std::size_t owners) {
  // One token per owner.
  const auto minimum_depths = static_cast<double>(owners);
  const double allowed = allowance(limit);
  if (allowed < minimum_depths) return {0, 0};
  const double counted_s = to_seconds(limit.window.window + kTokenLifetime);
  const double rate = std::min(limit.rate_per_s, (allowed - minimum_depths) / counted_s);
  return {rate / minimum_depths, (allowed - rate * counted_s) / minimum_depths};
}

}  // namespace cairnhollow::registered::limits
