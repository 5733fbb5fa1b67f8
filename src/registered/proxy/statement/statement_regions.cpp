// StatementRunner's part for statements that are bound to regions. Those that are not never come here.
#include <algorithm>

#include "registered/placement/backend_choice.h"
#include "registered/proxy/group/position_question.h"
#include "registered/proxy/statement/statement_attempt.h"
#include "registered/proxy/statement/statement_runner.h"

namespace cairnhollow::registered::proxy {

namespace {

/// Whether a replica that is recent enough may run it.
bool may_use_replicas(const RunOrder& order) {
  return order.reads() && order.route.reads != registry::ReadPolicy::kPrimary;
}

}  // namespace

const placement::ProxyList* StatementRunner::keep_inside(const placement::ProxyList& proxies,
                                                         const RunOrder& order,
                                                         placement::ProxyList& kept) const {
  if (order.allowed.is_anywhere()) return &proxies;
  kept = services_.view.in_regions(proxies, order.allowed);
  // The first choice is this proxy: nothing is to be passed on.
  if (!kept.empty() && kept.front()->name == services_.view.node()) kept.clear();
  return &kept;
}

bool StatementRunner::is_shut_out(const RunOrder& order) {
  if (order.allowed.is_nowhere()) return true;
  ReadNeed need;
  need.primary_only = !may_use_replicas(order);
  const auto choice =
      placement::choose_backend(need.primary_only, order.group->facts({&need, nullptr, &order.allowed}));
  return choice.is_final && choice.rejection == placement::RejectionReason::kOutsideRegions;
}

RunResult StatementRunner::refuse_outside(RunOrder order) {
  Attempt attempt(std::move(order));
  attempt.need.primary_only = !may_use_replicas(attempt.order);
  refuse(attempt, placement::RejectionReason::kOutsideRegions, placement::kRetryAfterOutsideRegions);
  attempt.reason = Reason{ReasonCode::kNoBackend, "check_regions", attempt.order.group->term().primary.value,
                          "allowed regions: " + attempt.order.allowed.to_string()};
  log_refusal(attempt.order, attempt.result.answer, attempt.reason, 0, attempt.unplaced);
  attempt.result.nothing_run = !attempt.order.may_have_run;
  return std::move(attempt.result);
}

Awaitable<void> StatementRunner::bring_position(std::shared_ptr<Attempt> attempt) {
  const RunOrder& order = attempt->order;
  GroupAccess& group = *order.group;
  if (!may_use_replicas(order) || !group.is_primary_outside(order.allowed)) co_return;
  const Duration staleness = std::chrono::milliseconds(order.route.max_staleness_ms);
  if (group.wants_position(staleness)) ask_position(services_.runtime, services_.view, order.group);
  const TimePoint patience =
      std::min(placement::refusal_time(attempt->progress), services_.runtime.now() + kPositionPatience);
  while (group.need_of(order.route, order.committed, &order.allowed).primary_only &&
         group.is_primary_outside(order.allowed) && services_.runtime.now() < patience)
    co_await group.changed().wait_until(patience);
}

}  // namespace cairnhollow::registered::proxy
