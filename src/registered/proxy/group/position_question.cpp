#include "registered/proxy/group/position_question.h"

#include "registered/proxy/group/status_question.h"

namespace cairnhollow::registered::proxy {

namespace {

/// `runtime` and `view` must outlive the coroutine.
Awaitable<void> query_primary(runtime::Runtime* runtime, FleetView* view,
                              std::shared_ptr<GroupAccess> group) {
  const auto primary = group->evaluator.primary();
  const registry::GroupEpoch epoch = group->epoch();
  const TimePoint asked_at = runtime->now();
  std::optional<StatusAnswer> answer;
  Reason reason;
  if (primary) answer = co_await query_status(*runtime, primary, asked_at + kLinkSetupTimeout, reason);
  const bool leads = answer && answer->status.is_primary && view->may_use_primary(*group, epoch);
  if (leads) group->positions.record(asked_at, answer->status.received);
  group->positions.end_query();
}

}  // namespace

void query_position(runtime::Runtime& runtime, FleetView& view, const std::shared_ptr<GroupAccess>& group) {
  if (group->positions.begin_query()) runtime.spawn("ask_position", query_primary(&runtime, &view, group));
}

}  // namespace cairnhollow::registered::proxy
