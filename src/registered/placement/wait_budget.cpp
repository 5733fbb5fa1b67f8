#include "registered/placement/wait_budget.h"

#include <algorithm>

namespace cairnhollow::registered::placement {

TimePoint shared_wait_end(const WaitBudget& budget) {
  return budget.arrived + (budget.deadline - budget.arrived) / kRefusalDivisor;
}

TimePoint useful_wait_end(const WaitBudget& budget) {
  const TimePoint target = budget.arrived - budget.waited_before + budget.target_latency;
  return std::min(target - budget.run_time, budget.deadline - budget.run_time * kDeadlineRunTimes);
}

bool allows_longer_wait(const WaitBudget& budget) {
  return useful_wait_end(budget) > shared_wait_end(budget);
}

TimePoint wait_end(const WaitBudget& budget) {
  return std::max(shared_wait_end(budget), useful_wait_end(budget));
}

TimePoint session_wait_end(TimePoint arrived, bool knows_document) {
  return arrived + (knows_document ? kSessionWait : kSessionOpenLimit - kSessionOpenMargin);
}

}  // namespace cairnhollow::registered::placement
