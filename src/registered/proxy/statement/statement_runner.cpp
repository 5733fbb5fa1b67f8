#include "registered/proxy/statement/statement_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "registered/placement/retry_after.h"
#include "registered/proxy/statement/placement_facts.h"
#include "registered/proxy/statement/statement_sending.h"

namespace cairnhollow::registered::proxy {

using placement::Action;
using placement::NextStep;
using placement::RejectionReason;
using placement::SendAction;
using runtime::SendState;

namespace {

/// Behind the statements of open transactions, which hold connections.
std::uint8_t urgency_of(const StatementRequest& order) {
  constexpr std::uint64_t kLeastUrgent = 100;
  return static_cast<std::uint8_t>(std::min(order.route.priority + 1, kLeastUrgent));
}

}  // namespace

Awaitable<RunResult> StatementRunner::run(StatementRequest order) {
  if (!order.allowed.is_unrestricted() && StatementPlacer::is_shut_out(order))
    co_return refuse_outside(std::move(order));
  std::optional<placement::Forwarding> elsewhere;
  PeersInside inside;
  if (!order.is_forwarded) elsewhere = placer_.find_elsewhere(order, inside);
  if (!elsewhere) co_return co_await run_here(std::move(order));
  services_.metrics.count_forwarded(elsewhere->since);
  std::vector<subset::ProxyPointer> proxies = *elsewhere->proxies;
  co_return co_await forward(std::move(order), std::move(proxies));
}

Awaitable<RunResult> StatementRunner::forward(StatementRequest order,
                                              std::vector<subset::ProxyPointer> proxies) {
  Forwarded forwarded = co_await forwarding_.forward(std::move(order), std::move(proxies));
  if (forwarded.next == ForwardedNext::kRunHere) co_return co_await run_here(std::move(forwarded.order));
  if (forwarded.next == ForwardedNext::kRunAgain) co_return co_await run(std::move(forwarded.order));
  co_return std::move(forwarded.result);
}

Awaitable<RunResult> StatementRunner::run_here(StatementRequest order) {
  runtime::Runtime& runtime = services_.runtime;
  auto attempt = std::make_shared<StatementAttempt>(std::move(order));
  const bool writes = attempt->order.writes;
  const bool stalls = writes && attempt->order.group->primary_health.refuses_commits();
  if (placement::commit_rejection(writes, stalls) != RejectionReason::kNone)
    co_return refuse_stalled(*attempt);
  if (!attempt->order.allowed.is_unrestricted()) co_await placer_.bring_position(attempt);
  NextStep next = NextStep::kChooseAgain;
  while (next != NextStep::kAnswer) {
    const bool chosen = co_await choose(attempt);
    if (!chosen) break;
    ++attempt->progress.attempts;
    next = co_await try_backend(attempt);
    cold_tokens_.give_back(*attempt->backend, std::exchange(attempt->cold_token, {}));
    if (next == NextStep::kPauseAndTryAgain) co_await runtime.sleep_for(placement::kRetryPause);
  }
  if (!attempt->moved_to.empty())
    co_return co_await forward(std::move(attempt->order), std::move(attempt->moved_to));
  const Answer& answer = attempt->result.answer;
  if (!answer.refusal && runtime.now() - attempt->order.arrived > kSlowStatement) log_.slow(*attempt);
  if (answer.refusal)
    log_.refusal(attempt->order, answer, attempt->reason, attempt->progress.attempts, attempt->unplaced);
  attempt->result.nothing_run = !attempt->order.may_have_run;
  co_return std::move(attempt->result);
}

Awaitable<bool> StatementRunner::choose(Attempt attempt) {
  placement::Placement placed = placer_.place(*attempt);
  bool has_waited = false;
  while (placed.action == Action::kWait) {
    attempt->excluded.clear();
    const TimePoint again = services_.runtime.now() + placement::kRetryPause;
    const TimePoint limit = placement::refusal_time(attempt->progress);
    co_await attempt->order.group->changed.wait_until(std::min(limit, again));
    placed = placer_.place(*attempt);
    has_waited = true;
  }
  if (placed.action == Action::kRefuse) refuse(*attempt, placed.rejection, placed.retry_after);
  if (placed.action != Action::kRun) co_return false;
  co_return !has_waited || !placer_.reroute(*attempt);
}

void StatementRunner::refuse(StatementAttempt& attempt, RejectionReason since, Duration retry_after) {
  Answer& answer = attempt.result.answer;
  answer.refusal = refusal_of(since);
  answer.state = TransactionState::kIdle;
  answer.detail = placement::rejection_text(since);
  attempt.unplaced = Unplaced{since, retry_after, {}};
  if (retry_after == Duration(0)) return;
  answer.detail += fmt::format("; come back in {} ms", in_ms(retry_after));
  const GroupFacts backends = attempt.order.group->standing.facts(attempt.question());
  for (const placement::BackendFacts& backend : backends) {
    const RejectionReason rejection = placement::rejection_at(backend, attempt.need.primary_only, backends);
    if (rejection == RejectionReason::kNone) continue;
    std::string& passed_over = attempt.unplaced.passed_over;
    if (!passed_over.empty()) passed_over += ' ';
    passed_over += fmt::format("{}:{}", backend.name, placement::rejection_name(rejection));
  }
}

RunResult StatementRunner::refuse_untried(StatementAttempt& attempt, RejectionReason since,
                                          Duration retry_after, Reason reason) {
  refuse(attempt, since, retry_after);
  attempt.reason = std::move(reason);
  log_.refusal(attempt.order, attempt.result.answer, attempt.reason, 0, attempt.unplaced);
  attempt.result.nothing_run = !attempt.order.may_have_run;
  return std::move(attempt.result);
}

RunResult StatementRunner::refuse_stalled(StatementAttempt& attempt) {
  Reason reason{ReasonCode::kOverloaded, "check_commits", attempt.order.group->term().primary.value,
                "commits sent before have no answer"};
  return refuse_untried(attempt, RejectionReason::kCommitsStall, placement::kRetryAfterWithoutPrimary,
                        std::move(reason));
}

RunResult StatementRunner::refuse_outside(StatementRequest order) {
  StatementAttempt attempt(std::move(order));
  attempt.need.primary_only = !attempt.order.may_use_replicas();
  Reason reason{ReasonCode::kNoBackend, "check_regions", attempt.order.group->term().primary.value,
                "allowed regions: " + attempt.order.allowed.to_string()};
  return refuse_untried(attempt, RejectionReason::kOutsideRegions, placement::kRetryAfterOutsideRegions,
                        std::move(reason));
}

Awaitable<bool> StatementRunner::acquire_link(Attempt attempt) {
  const StatementRequest& order = attempt->order;
  BackendUse& backend = *attempt->backend;
  std::optional<Refusal> refusal;
  const TimePoint now = services_.runtime.now();
  const LinkDeadlines deadlines{placement::slot_wait_end(attempt->progress, now),
                                placement::link_wait_end(attempt->progress, now)};
  LinkRequest wish{order.tenant, order.values};
  attempt->link = co_await backend.pool.acquire(std::move(wish), deadlines, refusal, attempt->reason);
  // Idle links that ended by themselves may have ended with their backend's process.
  if (backend.pool.take_lost_idle()) backend.rebirth.mark_unreachable();
  if (attempt->link) {
    backend.rebirth.record_reached(services_.runtime.now());
    co_return true;
  }
  const placement::LinkFailure failure{refusal.has_value(), attempt->reason.code == ReasonCode::kOverloaded};
  const auto outcome = placement::after_link_failure(failure, attempt->at_primary);
  if (outcome.may_be_reborn) backend.rebirth.mark_unreachable();
  if (outcome.avoid_backend) backend.avoid_until = services_.runtime.now() + placement::kAvoidBackend;
  if (outcome.primary_unreachable) {
    services_.link.report_suspicion(*order.group, SuspicionKind::kUnreachable);
    order.group->leadership.mark_primary_unreachable();
  }
  co_return false;
}

Awaitable<bool> StatementRunner::prepare_link(Attempt attempt) {
  if (!check_.may_go_on(*attempt)) co_return false;
  const bool acquired = co_await acquire_link(attempt);
  if (!acquired) co_return false;
  const StatementRequest& order = attempt->order;
  // What the link is given the session state by is sent there, too.
  bool ready = check_.may_go_on(*attempt);
  const TimePoint deadline = std::min(order.deadline, services_.runtime.now() + kLinkSetupTimeout);
  if (ready)
    ready =
        co_await attempt->link->apply_session_state(order.values, order.prepared, deadline, attempt->reason);
  if (ready && order.opens_transaction) ready = check_.may_go_on(*attempt);
  if (!ready) attempt->backend->pool.release(attempt->link);
  co_return ready;
}

void StatementRunner::apply(const placement::RefusalEffects& effects, StatementAttempt& attempt) {
  GroupAccess& group = *attempt.order.group;
  if (effects.forget_prepared) attempt.link->forget_prepared();
  if (effects.close_link) attempt.link->link().close();
  if (effects.record_lag) group.record_replica(*attempt.backend, attempt.need, std::nullopt);
  if (effects.suspect_primary) services_.link.report_suspicion(group, SuspicionKind::kSilent);
}

NextStep StatementRunner::apply(const placement::Retry& retry, StatementAttempt& attempt) {
  if (retry.passes_over) attempt.excluded.insert(attempt.backend->entry.name);
  return retry.next;
}

Awaitable<bool> StatementRunner::begin_transaction(Attempt attempt) {
  const auto required = attempt->order.group->required_of(*attempt->backend, attempt->need);
  const Begin begin{attempt->order.read_only_transaction, required};
  const TimePoint deadline = std::min(attempt->order.deadline, services_.runtime.now() + kLinkSetupTimeout);
  SendState sent = SendState::kNotSent;
  BackendRequest request = begin;
  const auto answer = co_await attempt->link->link().run(std::move(request), deadline, sent, attempt->reason);
  if (answer && answer->succeeded()) co_return true;
  if (answer) {
    services_.metrics.count_retry(*answer->refusal);
    apply(placement::effects_of_refused_begin(*answer->refusal, attempt->need.primary_only), *attempt);
  }
  attempt->backend->pool.release(attempt->link);
  co_return false;
}

Awaitable<bool> StatementRunner::take_cold_token(Attempt attempt) {
  const auto group = attempt->order.group;
  const auto backend = attempt->backend;
  if (cold_tokens_.holds(*group, *backend, attempt->cold_token)) co_return true;
  const AdmissionAnswer admission = co_await cold_tokens_.take(group, backend);
  attempt->cold_token = admission.expires_at;
  if (admission.outcome == AdmissionOutcome::kAdmitted) co_return true;
  attempt->reason = Reason{ReasonCode::kOverloaded, "pass_cold", backend->entry.name.value,
                           "there is no token for the cold backend"};
  co_return false;
}

Awaitable<NextStep> StatementRunner::try_backend(Attempt attempt) {
  const std::shared_ptr<BackendUse> backend = attempt->backend;
  attempt->pre_send_check = {};
  const bool admitted = co_await take_cold_token(attempt);
  if (!admitted) co_return NextStep::kChooseAgain;
  const std::uint8_t priority = urgency_of(attempt->order);
  const TimePoint begun_at = services_.runtime.now();
  const TimePoint wait_end = placement::slot_wait_end(attempt->progress, begun_at);
  const bool entered = co_await backend->gate.enter(priority, wait_end);
  const TimePoint entered_at = services_.runtime.now();
  attempt->at_gate += entered_at - begun_at;
  attempt->path += backend->entry.name.value + ' ';
  if (!entered) {
    attempt->reason = Reason{ReasonCode::kOverloaded, "enter_gate", backend->entry.name.value,
                             "its turn would not come in time"};
    co_return apply(placement::run_again(attempt->needs_primary), *attempt);
  }
  bool begun = co_await prepare_link(attempt);
  attempt->at_pool += services_.runtime.now() - entered_at;
  if (begun && attempt->order.opens_transaction) begun = co_await begin_transaction(attempt);
  if (begun) attempt->pre_send_check = co_await check_.check(attempt);
  const bool may_be_sent = attempt->pre_send_check.action == SendAction::kSend;
  if (!begun || !may_be_sent) backend->gate.leave_unanswered();
  if (!may_be_sent) co_return stop_before_sending(*attempt, begun);
  if (!begun) co_return apply(placement::run_again(attempt->needs_primary), *attempt);
  attempt->cold_token.reset();
  auto answer = co_await exchange(attempt);
  const bool not_run = answer && answer->refusal && guarantees_not_run(*answer->refusal);
  if (attempt->sent == SendState::kMaybeSent && !not_run) attempt->order.may_have_run = true;
  attempt->at_backend += services_.runtime.now() - attempt->sent_at;
  leave_gate(backend->gate, answer, services_.runtime.now() - attempt->sent_at);
  if (answer) co_return take_answer(*attempt, std::move(*answer));
  const Reason reason = attempt->reason;
  backend->pool.release(attempt->link);
  co_return take_loss(*attempt, reason);
}

Awaitable<std::optional<Answer>> StatementRunner::exchange(Attempt attempt) {
  const StatementRequest& order = attempt->order;
  attempt->progress.offered = true;
  attempt->sent_at = services_.runtime.now();
  TimePoint deadline = order.deadline;
  // Given up here and sent here again, it would only be run twice.
  if (placement::may_leave_silent_backend(attempt->needs_primary, attempt->progress) &&
      order.group->standing.has_other_reader(attempt->need, *attempt->backend))
    deadline = placement::silent_backend_wait_end(attempt->progress, attempt->sent_at);
  const bool reads = !order.opens_transaction && order.reads();
  const auto required = reads ? order.group->required_of(*attempt->backend, attempt->need) : std::nullopt;
  std::optional<WorkScope> work;
  if (attempt->at_primary)
    work.emplace(order.group->primary_health,
                 PrimaryWork{attempt->link->shared_link(), attempt->sent_at, order.keeps_changes()});
  BackendRequest request = make_request(order, *attempt->link, required);
  co_return co_await attempt->link->link().run(std::move(request), deadline, attempt->sent, attempt->reason);
}

NextStep StatementRunner::stop_before_sending(StatementAttempt& attempt, bool begun) {
  const placement::SendDecision& decision = attempt.pre_send_check;
  const bool is_given_up = decision.rejection == RejectionReason::kPrimaryGivenUp;
  if (begun) {
    if (attempt.order.opens_transaction || is_given_up) attempt.link->link().close();
    attempt.backend->pool.release(attempt.link);
  }
  if (decision.action == SendAction::kChooseAgain) return NextStep::kChooseAgain;
  refuse(attempt, decision.rejection, Duration(0));
  return NextStep::kAnswer;
}

NextStep StatementRunner::take_loss(StatementAttempt& attempt, const Reason& reason) {
  services_.metrics.count_lost_answer();
  GroupAccess& group = *attempt.order.group;
  const placement::LossFacts loss{attempt.sent != SendState::kNotSent,
                                  reason.code == ReasonCode::kConnectionLost};
  const auto outcome = placement::after_loss(attempt.facts(false), loss);
  attempt.backend->avoid_until = services_.runtime.now() + placement::kAvoidBackend;
  if (outcome.may_be_reborn) attempt.backend->rebirth.mark_unreachable();
  if (outcome.suspect_primary) {
    const bool is_of_no_use = outcome.broke_off && group.primary_health.mark_broken_off();
    services_.link.report_suspicion(group,
                                    is_of_no_use ? SuspicionKind::kUnreachable : SuspicionKind::kSilent);
  }
  log_.lost_answer(attempt, reason);
  if (outcome.retry.next != NextStep::kAnswer) return apply(outcome.retry, attempt);
  Answer& answer = attempt.result.answer;
  answer = Answer{};
  answer.refusal = Refusal::kInDoubt;
  answer.detail = "it was sent and its outcome is not known";
  return NextStep::kAnswer;
}

NextStep StatementRunner::take_answer(StatementAttempt& attempt, Answer answer) {
  GroupAccess& group = *attempt.order.group;
  BackendUse& backend = *attempt.backend;
  const StatementRequest& order = attempt.order;
  attempt.link->record_state(answer.state);
  const bool current = services_.view.may_use_primary(group, attempt.epoch);
  if (attempt.at_primary) group.primary_health.record_answered();
  if (answer.succeeded()) group.standing.record_latency(backend, services_.runtime.now() - attempt.sent_at);
  const placement::AttemptFacts facts = attempt.facts(current);
  const placement::Retry retry = placement::after_answer(answer.refusal, facts);
  if (retry.next == NextStep::kAnswer) return take_final_answer(attempt, std::move(answer));
  if (guarantees_not_run(*answer.refusal)) {
    services_.metrics.count_retry(*answer.refusal);
    apply(placement::effects_of_refusal(*answer.refusal, facts), attempt);
    attempt.reason = Reason{ReasonCode::kOverloaded, "run_statement", backend.entry.name.value,
                            refusal_name(*answer.refusal)};
  }
  if (order.opens_transaction) {
    services_.runtime.spawn("roll_back", transactions_.roll_back(attempt.pinned()));
  } else {
    backend.pool.release(attempt.link);
  }
  return apply(retry, attempt);
}

NextStep StatementRunner::take_final_answer(StatementAttempt& attempt, Answer answer) {
  GroupAccess& group = *attempt.order.group;
  const StatementRequest& order = attempt.order;
  if (answer.succeeded() && attempt.at_primary)
    take_primary_answer(services_, group,
                        PrimaryAnswer{attempt.epoch, attempt.sent_at, order.keeps_changes()}, answer);
  if (answer.succeeded() && !attempt.at_primary && answer.position)
    group.record_replica(*attempt.backend, attempt.need, answer.position);
  attempt.result.served_by = attempt.at_primary ? ServedBy::kPrimary : ServedBy::kReplica;
  if (order.opens_transaction) {
    attempt.result.pinned = attempt.pinned();
  } else {
    if (answer.state != TransactionState::kIdle) attempt.link->link().close();
    answer.state = TransactionState::kIdle;
    attempt.backend->pool.release(attempt.link);
  }
  attempt.result.answer = std::move(answer);
  return NextStep::kAnswer;
}

}  // namespace cairnhollow::registered::proxy
