#include "registered/balancing/expected_completion.h"

#include <algorithm>

namespace cairnhollow::registered::balancing {

namespace {

double way_ms(Way way) {
  if (way == Way::kOtherRegion) return kOtherZoneCostMs + kOtherRegionCostMs;
  return way == Way::kOtherZone ? kOtherZoneCostMs : 0;
}

}  // namespace

double expected_completion_ms(const ReadCandidate& candidate) {
  const auto slots = static_cast<double>(std::max<std::uint64_t>(candidate.slots, 1));
  const double turns = 1.0 + static_cast<double>(candidate.pending) / slots;
  return candidate.latency_ms * turns + way_ms(candidate.way) +
         (candidate.is_primary ? kPrimaryReadCostMs : 0);
}

}  // namespace cairnhollow::registered::balancing
