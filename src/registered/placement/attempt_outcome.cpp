#include "registered/placement/attempt_outcome.h"

#include "registered/placement/statement_progress.h"

namespace cairnhollow::registered::placement {

Retry make_retry(bool needs_primary) {
  return needs_primary ? Retry{NextStep::kRetryAfterPause, false} : Retry{NextStep::kReselectBackend, true};
}

LinkFailureOutcome after_link_failure(const LinkFailure& failure, bool at_primary) {
  LinkFailureOutcome outcome;
  outcome.avoid_backend = !failure.full;
  outcome.primary_unreachable = !failure.full && !failure.refused && at_primary;
  outcome.may_have_restarted = !failure.full && !failure.refused;
  return outcome;
}

LossOutcome after_loss(const AttemptFacts& attempt, const LossFacts& loss) {
  LossOutcome outcome;
  outcome.may_have_restarted = may_have_restarted(loss, attempt.term_is_current);
  outcome.suspect_primary = attempt.at_primary && attempt.term_is_current;
  outcome.counts_as_disconnect = outcome.suspect_primary && loss.connection_lost && loss.may_have_arrived;
  if (!is_in_doubt(!attempt.repeatable, loss.may_have_arrived))
    outcome.retry = make_retry(attempt.needs_primary);
  return outcome;
}

bool may_have_restarted(const LossFacts& loss, bool term_is_current) {
  return term_is_current && loss.connection_lost;
}

bool is_in_doubt(bool makes_durable_changes, bool may_have_arrived) {
  return makes_durable_changes && may_have_arrived;
}

RefusalEffects effects_of_refusal(Refusal refusal, const AttemptFacts& attempt) {
  RefusalEffects effects;
  // A primary that lacks a position which it reported before has restarted without its log.
  const bool lost_its_log = refusal == Refusal::kTooStale && attempt.primary_only;
  effects.record_lag = refusal == Refusal::kTooStale && !attempt.primary_only;
  effects.forget_prepared = refusal == Refusal::kUnknownStatement;
  effects.close_link = refusal == Refusal::kWrongBackend || lost_its_log;
  const bool lost_primary_role =
      refusal == Refusal::kNotPrimary && attempt.at_primary && attempt.may_use_primary;
  effects.suspect_primary = lost_primary_role || lost_its_log;
  return effects;
}

RefusalEffects effects_of_refused_begin(Refusal refusal, bool primary_only) {
  RefusalEffects effects;
  effects.record_lag = refusal == Refusal::kTooStale && !primary_only;
  effects.close_link = refusal == Refusal::kTooStale && primary_only;
  effects.suspect_primary = refusal == Refusal::kNotPrimary || effects.close_link;
  return effects;
}

Retry after_answer(const std::optional<Refusal>& refusal, const AttemptFacts& attempt) {
  if (!refusal) return {};
  if (guarantees_not_run(*refusal)) return make_retry(attempt.needs_primary);
  const bool may_succeed_elsewhere = attempt.reads && attempt.attempts < kMaxFailedReads;
  if (*refusal == Refusal::kFailed && may_succeed_elsewhere) return {NextStep::kReselectBackend, true};
  return {};
}

PrimarySuccess after_primary_success(bool commits, bool may_use_primary, bool has_position) {
  PrimarySuccess success;
  success.record_position = may_use_primary && has_position;
  success.acknowledge = success.record_position && commits;
  success.in_doubt = commits && !success.record_position;
  return success;
}

}  // namespace cairnhollow::registered::placement
