#include "registered/proxy/group/primary_positions.h"

namespace cairnhollow::registered::proxy {

void PrimaryPositions::record_wanted(Duration staleness) {
  staleness_wanted_ = is_staleness_wanted() ? std::min(staleness, staleness_wanted_) : staleness;
  staleness_wanted_at_ = runtime_.now();
}

bool PrimaryPositions::is_staleness_wanted() const {
  return staleness_wanted_ > Duration(0) && runtime_.now() - staleness_wanted_at_ <= kPositionInterest;
}

bool PrimaryPositions::is_older_than(Duration age) const {
  const auto newest = history_.newest();
  return !newest || runtime_.now() - *newest > age;
}

}  // namespace cairnhollow::registered::proxy
