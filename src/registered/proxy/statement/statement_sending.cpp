#include "registered/proxy/statement/statement_sending.h"

#include "registered/placement/attempt_outcome.h"

namespace cairnhollow::registered::proxy {

BackendRequest make_request(const StatementRequest& order, const StatefulLink& link,
                            std::optional<Position> required) {
  if (!order.prepared) return SimpleQuery{order.id, order.text, required};
  return Execute{order.id, link.prepared_name(*order.prepared), order.argument, required};
}

void take_primary_answer(const SessionServices& services, GroupAccess& group, PrimaryAnswer primary,
                         Answer& answer) {
  if (primary.commits) group.primary_health.record_commit_answered(primary.asked_at);
  const bool current = services.view.may_use_primary(group, primary.epoch);
  const auto success =
      placement::after_primary_success(primary.commits, current, answer.position.has_value());
  if (success.record_position) group.positions.record(primary.asked_at, *answer.position);
  if (success.acknowledge) group.positions.record_acknowledged(*answer.position);
  if (!success.in_doubt) return;
  const TransactionState state = answer.state;
  answer = Answer{};
  answer.refusal = Refusal::kInDoubt;
  answer.state = state;
  answer.detail = "its primary was given up before the answer came";
}

}  // namespace cairnhollow::registered::proxy
