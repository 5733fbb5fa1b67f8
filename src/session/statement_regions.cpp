// StatementRunner's part for statements that are bound to regions. Those that are not never come here.
#include <fmt/format.h>

#include <algorithm>

#include "placement/backend_choice.h"
#include "session/position_question.h"
#include "session/statement_attempt.h"
#include "session/statement_runner.h"

namespace cairnhollow::session {

namespace {

bool reads_only(const RunOrder& order) {
  return order.opens_transaction ? order.read_only_transaction : !order.writes;
}

/// Whether a replica that is recent enough may run it.
bool may_use_replicas(const RunOrder& order) {
  return reads_only(order) && order.route.reads != registry::ReadPolicy::kPrimary;
}

}  // namespace

std::vector<routing::ProxyPointer> StatementRunner::inside(const std::vector<routing::ProxyPointer>& proxies,
                                                           const RunOrder& order) const {
  if (order.allowed.is_anywhere()) return proxies;
  auto allowed = services_.view.in_regions(proxies, order.allowed);
  // The first choice is this proxy: nothing is to be passed on.
  if (!allowed.empty() && allowed.front()->name == services_.view.node()) allowed.clear();
  return allowed;
}

bool StatementRunner::is_shut_out(const RunOrder& order) {
  if (order.allowed.is_nowhere()) return true;
  ReadNeed need;
  need.primary_only = !may_use_replicas(order);
  need.allowed = &order.allowed;
  const auto choice = placement::choose_backend(need.primary_only, order.group->facts({&need}));
  return choice.is_final && choice.obstacle == placement::Obstacle::kOutsideRegions;
}

RunResult StatementRunner::refuse_outside(const RunOrder& order) {
  RunResult result;
  result.nothing_run = !order.may_have_run;
  result.answer.refusal = Refusal::kBusy;
  result.answer.detail = fmt::format("{} is in the regions that it may run in ({}); come back in {} ms",
                                     may_use_replicas(order) ? "no backend" : "no primary",
                                     order.allowed.to_string(), in_ms(kOutsideRegionsComeBack));
  const Reason reason{ReasonCode::kNoBackend, "check_regions", order.group->term().primary.value,
                      placement::obstacle_name(placement::Obstacle::kOutsideRegions)};
  log_refusal(order, result.answer, reason, 0);
  return result;
}

Awaitable<void> StatementRunner::bring_position(std::shared_ptr<Attempt> attempt) {
  const RunOrder& order = attempt->order;
  GroupAccess& group = *order.group;
  if (!may_use_replicas(order) || !group.is_primary_outside(order.allowed)) co_return;
  const Duration staleness = std::chrono::milliseconds(order.route.max_staleness_ms);
  if (group.wants_position(staleness)) ask_position(services_.runtime, services_.view, order.group);
  const TimePoint patience = std::min(attempt->refuse_at, services_.runtime.now() + kPositionPatience);
  while (group.need_of(order.route, order.committed, &order.allowed).primary_only &&
         group.is_primary_outside(order.allowed) && services_.runtime.now() < patience)
    co_await group.changed().wait_until(patience);
}

}  // namespace cairnhollow::session
