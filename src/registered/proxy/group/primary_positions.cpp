#include "registered/proxy/group/primary_positions.h"

namespace cairnhollow::registered::proxy {

void PrimaryPositions::record_acknowledged(Position position, std::optional<Position> shown_before) {
  highest_acknowledged_ = std::max(highest_acknowledged_, position);
  if (!shown_before || shown_before->term != position.term) return;
  const Position next{shown_before->term, shown_before->index + 1};
  certainly_acknowledged_ = std::max(certainly_acknowledged_, std::min(next, position));
}

void PrimaryPositions::record_read(Duration staleness) {
  requested_staleness_ = has_recent_reads() ? std::min(staleness, requested_staleness_) : staleness;
  last_read_at_ = runtime_.now();
}

bool PrimaryPositions::has_recent_reads() const {
  return requested_staleness_ > Duration(0) && runtime_.now() - last_read_at_ <= kRecentReadWindow;
}

bool PrimaryPositions::is_older_than(Duration age) const {
  const auto newest = history_.newest();
  return !newest || runtime_.now() - *newest > age;
}

}  // namespace cairnhollow::registered::proxy
