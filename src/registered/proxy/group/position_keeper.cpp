#include "registered/proxy/group/position_keeper.h"

#include "registered/proxy/group/status_question.h"
#include "registered/proxy/watch_tick.h"

namespace cairnhollow::registered::proxy {

void PositionRefresher::start() { runtime_.spawn("position_keeper", run()); }

Awaitable<void> PositionRefresher::run() {
  while (!stopping_) {
    co_await runtime_.sleep_for(kWatchTick);
    // Otherwise every proxy that serves a group sees answers of its primary.
    if (view_.requires_keys() || view_.divides_by_region()) query_due_groups();
  }
}

void PositionRefresher::query_due_groups() {
  for (const auto& [name, group] : view_.groups()) {
    if (!group->positions.is_query_due() || !view_.holds_lease_for(*group)) continue;
    const auto primary = group->evaluator.primary();
    if (!primary || !queried_groups_.insert(name).second) continue;
    runtime_.spawn("ask_position", query_primary(group, primary));
  }
}

Awaitable<void> PositionRefresher::query_primary(std::shared_ptr<GroupAccess> group,
                                                 std::shared_ptr<BackendState> primary) {
  const registry::GroupTerm term = group->term();
  const registry::GroupEpoch epoch = group->epoch();
  const TimePoint deadline = runtime_.now() + kLinkSetupTimeout;
  Reason reason;
  const auto answer = co_await query_status(runtime_, primary, deadline, reason);
  const bool leads = answer && answer->status.is_primary && answer->status.term == term.term;
  // The answer covers everything acknowledged before the query only while the term is open.
  if (leads && answer->position && view_.may_use_primary(*group, epoch))
    group->positions.record(answer->sent_at, *answer->position);
  queried_groups_.erase(group->name);
}

}  // namespace cairnhollow::registered::proxy
