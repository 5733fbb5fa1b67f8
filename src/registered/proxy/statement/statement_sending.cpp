#include "registered/proxy/statement/statement_sending.h"

#include "registered/placement/attempt_outcome.h"

namespace cairnhollow::registered::proxy {

BackendRequest make_request(const StatementRequest& request, const StatefulLink& link,
                            std::optional<Position> required) {
  if (!request.prepared) return SimpleQuery{request.id, request.text, required};
  return Execute{request.id, link.prepared_name(*request.prepared), request.argument, required};
}

void apply_primary_answer(const SessionServices& services, GroupAccess& group, const PrimaryExchange& primary,
                          Answer& answer) {
  if (primary.commits) group.primary_health.record_commit_answered(primary.sent_at);
  const bool current = services.view.may_use_primary(group, primary.epoch);
  const auto success =
      placement::after_primary_success(primary.commits, current, answer.position.has_value());
  if (success.record_position) group.positions.record(primary.sent_at, *answer.position);
  if (success.acknowledge) group.positions.record_acknowledged(*answer.position, primary.shown_before);
  if (!success.in_doubt) return;
  const TransactionState state = answer.state;
  answer = Answer{};
  answer.refusal = Refusal::kInDoubt;
  answer.state = state;
  answer.detail = "the commit was answered, but its primary may not be used any more or sent no log position";
}

}  // namespace cairnhollow::registered::proxy
