#include "registered/proxy/group/position_question.h"

#include "registered/proxy/group/status_question.h"

namespace cairnhollow::registered::proxy {

namespace {

/// `runtime` and `view` must outlive the coroutine.
Awaitable<void> ask(runtime::Runtime* runtime, FleetView* view, std::shared_ptr<GroupAccess> group) {
  const auto leader = group->standing.primary();
  const std::uint64_t epoch = group->term().epoch;
  const TimePoint asked_at = runtime->now();
  std::optional<StatusAnswer> answer;
  Reason reason;
  if (leader) answer = co_await ask_status(*runtime, leader, asked_at + kLinkSetupTimeout, reason);
  const bool leads = answer && answer->status.is_primary && view->may_use_primary(*group, epoch);
  if (leads) group->positions.record(asked_at, answer->status.received);
  group->positions.end_question();
}

}  // namespace

void ask_position(runtime::Runtime& runtime, FleetView& view, const std::shared_ptr<GroupAccess>& group) {
  if (group->positions.begin_question()) runtime.spawn("ask_position", ask(&runtime, &view, group));
}

}  // namespace cairnhollow::registered::proxy
