#include "registered/proxy/statement/statement_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "registered/placement/retry_after.h"
#include "registered/proxy/statement/placement_facts.h"
#include "registered/proxy/statement/slot_admission.h"
#include "registered/proxy/statement/statement_sending.h"
#include "registered/proxy/statement/waiting_place.h"

namespace cairnhollow::registered::proxy {

using placement::Action;
using placement::NextStep;
using placement::RejectionReason;
using placement::SendAction;
using runtime::SendState;

Awaitable<RunResult> StatementRunner::run(StatementRequest request) {
  if (!request.allowed.is_unrestricted() && StatementPlacer::lacks_permitted_backend(request))
    co_return refuse_outside_regions(std::move(request));
  std::optional<placement::Forwarding> forwarding;
  PermittedProxies permitted;
  if (!request.is_forwarded) forwarding = placer_.find_forwarding(request, permitted);
  if (!forwarding) co_return co_await run_here(std::move(request));
  services_.metrics.count_forwarded(forwarding->cause);
  std::vector<subset::ProxyPointer> proxies = *forwarding->proxies;
  co_return co_await forward(std::move(request), std::move(proxies));
}

Awaitable<RunResult> StatementRunner::forward(StatementRequest request,
                                              std::vector<subset::ProxyPointer> proxies) {
  ForwardingResult forwarded = co_await forwarding_.forward(std::move(request), std::move(proxies));
  if (forwarded.next == ForwardingNextStep::kRunHere)
    co_return co_await run_here(std::move(forwarded.request));
  if (forwarded.next == ForwardingNextStep::kStartOver) co_return co_await run(std::move(forwarded.request));
  co_return std::move(forwarded.result);
}

Awaitable<RunResult> StatementRunner::run_here(StatementRequest request) {
  runtime::Runtime& runtime = services_.runtime;
  auto attempt = std::make_shared<StatementAttempt>(std::move(request));
  const bool writes = attempt->request.writes;
  const bool stalls = writes && attempt->request.group->primary_health.refuses_commits();
  if (placement::commit_rejection(writes, stalls) != RejectionReason::kNone)
    co_return refuse_stalled_write(*attempt);
  if (!attempt->request.allowed.is_unrestricted()) co_await placer_.await_primary_position(attempt);
  NextStep next = NextStep::kReselectBackend;
  while (next != NextStep::kAnswer) {
    const bool chosen = co_await choose(attempt);
    if (!chosen) break;
    ++attempt->progress.attempts;
    next = co_await try_backend(attempt);
    cold_tokens_.release(*attempt->backend, std::exchange(attempt->cold_token, {}));
    if (next == NextStep::kRetryAfterPause)
      co_await runtime.sleep_for(placement::retry_pause(attempt->progress));
  }
  if (!attempt->reroute_targets.empty())
    co_return co_await forward(std::move(attempt->request), std::move(attempt->reroute_targets));
  const Answer& answer = attempt->result.answer;
  if (!answer.refusal && runtime.now() - attempt->request.arrived > kSlowStatementThreshold)
    log_.slow(*attempt);
  if (attempt->had_no_slot) attempt->refusal.gate = attempt->gate;
  if (answer.refusal)
    log_.refusal(attempt->request, answer, attempt->reason, attempt->progress.attempts, attempt->refusal);
  attempt->result.nothing_run = !attempt->request.may_have_run;
  co_return std::move(attempt->result);
}

Awaitable<bool> StatementRunner::choose(AttemptPointer attempt) {
  placement::Placement placed = placer_.place(*attempt);
  bool has_waited = false;
  WaitingPlace place(services_.waiting);
  while (placed.action == Action::kWait) {
    if (!place.keep(attempt->request)) {
      refuse(*attempt, RejectionReason::kTooManyWait, placement::kRetryAfterWithoutPrimary);
      co_return false;
    }
    attempt->excluded.clear();
    const TimePoint again =
        services_.runtime.now() + placement::wait_pause(attempt->progress, placed.rejection);
    const TimePoint limit = placement::refusal_time(attempt->progress);
    co_await attempt->request.group->changed.wait_until(std::min(limit, again));
    placed = placer_.place(*attempt);
    has_waited = true;
  }
  if (placed.action == Action::kRefuse) refuse(*attempt, placed.rejection, placed.retry_after);
  if (placed.action != Action::kRun) co_return false;
  co_return !has_waited || !placer_.reroute(*attempt);
}

void StatementRunner::refuse(StatementAttempt& attempt, RejectionReason cause, Duration retry_after) {
  Answer& answer = attempt.result.answer;
  answer.refusal = refusal_of(cause);
  answer.state = TransactionState::kIdle;
  answer.detail = placement::rejection_text(cause);
  attempt.refusal = StatementRefusal{cause, kPlaceStep, retry_after};
  if (retry_after == Duration(0)) return;
  answer.detail += fmt::format("; retry in {} ms", in_ms(retry_after));
  const GroupFacts backends = attempt.request.group->evaluator.facts(attempt.placement_request());
  for (const placement::BackendFacts& backend : backends) {
    const RejectionReason rejection = placement::rejection_at(backend, attempt.need.primary_only, backends);
    if (rejection == RejectionReason::kNone) continue;
    std::string& passed_over = attempt.refusal.passed_over;
    if (!passed_over.empty()) passed_over += ' ';
    passed_over += fmt::format("{}:{}", backend.name, placement::rejection_name(rejection));
  }
}

RunResult StatementRunner::refuse_untried(StatementAttempt& attempt, RejectionReason cause,
                                          Duration retry_after, Reason reason) {
  refuse(attempt, cause, retry_after);
  attempt.reason = std::move(reason);
  log_.refusal(attempt.request, attempt.result.answer, attempt.reason, 0, attempt.refusal);
  attempt.result.nothing_run = !attempt.request.may_have_run;
  return std::move(attempt.result);
}

RunResult StatementRunner::refuse_stalled_write(StatementAttempt& attempt) {
  Reason reason{ReasonCode::kOverloaded, "check_commits", attempt.request.group->term().primary.value,
                "earlier commits to the primary have no answer; refusing the write"};
  return refuse_untried(attempt, RejectionReason::kCommitsStall, placement::kRetryAfterWithoutPrimary,
                        std::move(reason));
}

RunResult StatementRunner::refuse_outside_regions(StatementRequest request) {
  StatementAttempt attempt(std::move(request));
  attempt.need.primary_only = !attempt.request.may_use_replicas();
  Reason reason{ReasonCode::kNoBackend, "check_regions", attempt.request.group->term().primary.value,
                "no suitable backend in the permitted regions: " + attempt.request.allowed.to_string()};
  return refuse_untried(attempt, RejectionReason::kOutsideRegions, placement::kRetryAfterOutsideRegions,
                        std::move(reason));
}

RunResult StatementRunner::refuse_overloaded(StatementRequest request) {
  StatementAttempt attempt(std::move(request));
  Reason reason{
      ReasonCode::kOverloaded, "admit_class", services_.view.node().value,
      fmt::format("{:.2f} of the network link is used, {:.2f} of the classes are refused from the lowest",
                  services_.overload.load(), services_.overload.refused_classes())};
  return refuse_untried(attempt, RejectionReason::kOverloaded, placement::kRetryAfterOverload,
                        std::move(reason));
}

Awaitable<bool> StatementRunner::acquire_link(AttemptPointer attempt) {
  const StatementRequest& request = attempt->request;
  BackendState& backend = *attempt->backend;
  std::optional<Refusal> refusal;
  const TimePoint now = services_.runtime.now();
  // Where statements are scheduled, they wait for a link without a slot.
  const bool is_scheduled = backend.gate.is_shared_room();
  const LinkDeadlines deadlines{is_scheduled ? now : placement::slot_wait_end(attempt->progress, now),
                                placement::link_wait_end(attempt->progress, now)};
  LinkRequest link_request{request.tenant, request.values};
  attempt->link = co_await backend.pool.acquire(std::move(link_request), deadlines, refusal, attempt->reason);
  // Idle links that were closed by the other side may indicate that the backend process ended.
  if (backend.pool.take_lost_idle()) backend.restart_detector.mark_unreachable();
  if (attempt->link) {
    services_.view.record_step(ReturnStep::kLink);
    backend.restart_detector.record_reached(services_.runtime.now());
    co_return true;
  }
  const bool is_full = !refusal && attempt->reason.code == ReasonCode::kOverloaded;
  attempt->lacks_link = is_scheduled && is_full;
  const placement::LinkFailure failure{refusal.has_value(), attempt->reason.code == ReasonCode::kOverloaded};
  const auto outcome = placement::after_link_failure(failure, attempt->at_primary);
  if (outcome.may_have_restarted) backend.restart_detector.mark_unreachable();
  if (outcome.avoid_backend) backend.avoid_until = services_.runtime.now() + placement::kBackendAvoidanceTime;
  if (outcome.primary_unreachable) {
    services_.link.report_suspicion(*request.group, SuspicionKind::kUnreachable);
    request.group->leadership.mark_primary_unreachable();
  }
  co_return false;
}

Awaitable<bool> StatementRunner::prepare_link(AttemptPointer attempt) {
  attempt->lacks_link = false;
  if (!check_.may_proceed(*attempt)) co_return false;
  const bool acquired = co_await acquire_link(attempt);
  if (!acquired) co_return false;
  const StatementRequest& request = attempt->request;
  // Applying the session state already sends requests to the backend, so check first.
  bool ready = check_.may_proceed(*attempt);
  const TimePoint deadline = std::min(request.deadline, services_.runtime.now() + kLinkSetupTimeout);
  const bool is_exchanged = ready && attempt->link->needs_setup(request.values, request.prepared);
  if (is_exchanged) attempt->backend->gate.begin_setup();
  if (ready)
    ready = co_await attempt->link->apply_session_state(request.values, request.prepared, deadline,
                                                        attempt->reason);
  if (is_exchanged) attempt->backend->gate.end_setup();
  if (ready && request.opens_transaction) ready = check_.may_proceed(*attempt);
  if (!ready) attempt->backend->pool.release(attempt->link);
  co_return ready;
}

void StatementRunner::apply(const placement::RefusalEffects& effects, StatementAttempt& attempt) {
  GroupAccess& group = *attempt.request.group;
  if (effects.forget_prepared) attempt.link->forget_prepared();
  if (effects.close_link) attempt.link->link().close();
  if (effects.record_lag) group.record_replica_answer(*attempt.backend, attempt.need, std::nullopt);
  if (effects.suspect_primary) services_.link.report_suspicion(group, SuspicionKind::kSilent);
}

NextStep StatementRunner::apply(const placement::Retry& retry, StatementAttempt& attempt) {
  if (retry.excludes_backend) attempt.excluded.insert(attempt.backend->entry.name);
  return retry.next;
}

Awaitable<bool> StatementRunner::begin_transaction(AttemptPointer attempt) {
  const auto required = attempt->request.group->required_of(*attempt->backend, attempt->need);
  const Begin begin{attempt->request.read_only_transaction, required};
  const TimePoint deadline = std::min(attempt->request.deadline, services_.runtime.now() + kLinkSetupTimeout);
  SendState sent = SendState::kNotSent;
  BackendRequest backend_request = begin;
  attempt->backend->gate.begin_setup();
  const auto answer =
      co_await attempt->link->link().run(std::move(backend_request), deadline, sent, attempt->reason);
  attempt->backend->gate.end_setup();
  if (answer && answer->succeeded()) co_return true;
  if (answer) {
    services_.metrics.count_retry(*answer->refusal);
    apply(placement::effects_of_refused_begin(*answer->refusal, attempt->need.primary_only), *attempt);
  }
  attempt->backend->pool.release(attempt->link);
  co_return false;
}

Awaitable<bool> StatementRunner::acquire_cold_token(AttemptPointer attempt) {
  const auto group = attempt->request.group;
  const auto backend = attempt->backend;
  if (cold_tokens_.may_send(*group, *backend, attempt->cold_token)) co_return true;
  const AdmissionAnswer admission = co_await cold_tokens_.acquire(group, backend);
  attempt->cold_token = admission.expires_at;
  if (admission.outcome == AdmissionOutcome::kAdmitted) co_return true;
  attempt->reason = Reason{ReasonCode::kOverloaded, "pass_cold", backend->entry.name.value,
                           "no rate-limit token for the cold backend"};
  co_return false;
}

Awaitable<bool> StatementRunner::enter_gate(AttemptPointer attempt) {
  attempt->slot = slot_request_of(services_, *attempt);
  services_.demands.announce_wait(attempt->request.group, attempt->backend);
  attempt->gate = co_await attempt->backend->gate.enter(scheduling::SlotRequest(attempt->slot));
  attempt->admitted_at = services_.runtime.now();
  attempt->gate_time += attempt->gate.waited;
  services_.metrics.record_gate(attempt->slot, attempt->gate);
  co_return attempt->gate.admitted();
}

Awaitable<bool> StatementRunner::enter_with_link(AttemptPointer attempt, bool& has_link) {
  const std::shared_ptr<BackendState> backend = attempt->backend;
  attempt->tried_backends += backend->entry.name.value + ' ';
  bool entered = co_await enter_gate(attempt);
  while (entered) {
    has_link = co_await prepare_link(attempt);
    attempt->pool_time += services_.runtime.now() - attempt->admitted_at;
    if (!attempt->lacks_link) break;
    // Another statement took the link meanwhile. It arrived as before, so its place in the queue is the same.
    backend->gate.leave_unused(attempt->slot, attempt->gate);
    entered = co_await enter_gate(attempt);
  }
  co_return entered;
}

NextStep StatementRunner::refuse_slot(StatementAttempt& attempt) {
  const GateOutcome& gate = attempt.gate;
  if (gate.verdict == GateVerdict::kRetired) {
    attempt.reason = Reason{ReasonCode::kUnreachable, "enter_gate", attempt.backend->entry.name.value,
                            "the backend has restarted or was removed"};
    // The backend's next incarnation, which has the same name, may be chosen.
    return placement::make_retry(attempt.needs_primary).next;
  }
  attempt.reason = Reason{ReasonCode::kOverloaded, "enter_gate", attempt.backend->entry.name.value,
                          "no slot at the backend is free, or expected to be free, in time"};
  const bool has_other = !attempt.needs_primary && attempt.request.group->evaluator.has_other_reader(
                                                       attempt.placement_request(), *attempt.backend);
  attempt.had_no_slot = true;
  // After a change of primary or of the backend's incarnation another one may have room.
  const auto& known = attempt.request.group->backends.all();
  const auto found = known.find(attempt.backend->entry.name);
  const bool is_current =
      found != known.end() && found->second == attempt.backend &&
      (!attempt.needs_primary || services_.view.may_use_primary(*attempt.request.group, attempt.epoch));
  const bool is_final = attempt.backend->gate.is_shared_room() && is_current && !has_other;
  if (!is_final) return apply(placement::make_retry(attempt.needs_primary), attempt);
  refuse(attempt, RejectionReason::kBackendsBusy, retry_after_gate(gate));
  return NextStep::kAnswer;
}

Awaitable<NextStep> StatementRunner::try_backend(AttemptPointer attempt) {
  const std::shared_ptr<BackendState> backend = attempt->backend;
  attempt->pre_send_check = {};
  attempt->had_no_slot = false;
  const bool admitted = co_await acquire_cold_token(attempt);
  if (!admitted) co_return NextStep::kReselectBackend;
  bool begun = false;
  const bool entered = co_await enter_with_link(attempt, begun);
  if (!entered) co_return refuse_slot(*attempt);
  if (begun && attempt->request.opens_transaction) begun = co_await begin_transaction(attempt);
  if (begun) attempt->pre_send_check = co_await check_.check(attempt);
  const bool may_be_sent = attempt->pre_send_check.action == SendAction::kSend;
  if (!begun || !may_be_sent) backend->gate.leave_unanswered();
  if (!may_be_sent) co_return stop_before_sending(*attempt, begun);
  if (!begun) co_return apply(placement::make_retry(attempt->needs_primary), *attempt);
  attempt->cold_token.reset();
  auto answer = co_await exchange(attempt);
  const bool not_run = answer && answer->refusal && guarantees_not_run(*answer->refusal);
  if (attempt->sent == SendState::kMaybeSent && !not_run) attempt->request.may_have_run = true;
  attempt->backend_time += services_.runtime.now() - attempt->sent_at;
  const TimePoint now = services_.runtime.now();
  leave_gate(backend->gate, answer, {attempt->slot, now - attempt->sent_at, now - attempt->admitted_at});
  if (answer) co_return handle_answer(*attempt, std::move(*answer));
  const Reason reason = attempt->reason;
  backend->pool.release(attempt->link);
  co_return handle_lost_answer(*attempt, reason);
}

Awaitable<std::optional<Answer>> StatementRunner::exchange(AttemptPointer attempt) {
  const StatementRequest& request = attempt->request;
  attempt->progress.was_sent = true;
  attempt->sent_at = services_.runtime.now();
  attempt->shown_before = attempt->request.group->positions.highest_shown();
  TimePoint deadline = request.deadline;
  // Without another reader, abandoning the attempt would only run the read twice at the same backend.
  if (placement::may_abandon_backend(attempt->needs_primary, attempt->progress) &&
      request.group->evaluator.has_other_reader(attempt->need, *attempt->backend))
    deadline = placement::answer_wait_end(attempt->progress, attempt->sent_at);
  const bool reads = !request.opens_transaction && request.reads();
  const auto required = reads ? request.group->required_of(*attempt->backend, attempt->need) : std::nullopt;
  std::optional<PrimaryWorkScope> work;
  if (attempt->at_primary)
    work.emplace(
        request.group->primary_health,
        PendingStatement{attempt->link->shared_link(), attempt->sent_at, request.makes_durable_changes()});
  BackendRequest backend_request = make_request(request, *attempt->link, required);
  co_return co_await attempt->link->link().run(std::move(backend_request), deadline, attempt->sent,
                                               attempt->reason);
}

NextStep StatementRunner::stop_before_sending(StatementAttempt& attempt, bool begun) {
  const placement::SendDecision& decision = attempt.pre_send_check;
  const bool is_given_up = decision.rejection == RejectionReason::kPrimaryGivenUp;
  if (begun) {
    if (attempt.request.opens_transaction || is_given_up) attempt.link->link().close();
    attempt.backend->pool.release(attempt.link);
  }
  if (decision.action == SendAction::kReselectBackend) return NextStep::kReselectBackend;
  refuse(attempt, decision.rejection, Duration(0));
  return NextStep::kAnswer;
}

NextStep StatementRunner::handle_lost_answer(StatementAttempt& attempt, const Reason& reason) {
  services_.metrics.count_lost_answer();
  GroupAccess& group = *attempt.request.group;
  const placement::LossFacts loss{attempt.sent != SendState::kNotSent,
                                  reason.code == ReasonCode::kConnectionLost};
  const auto outcome = placement::after_loss(attempt.facts(false), loss);
  attempt.backend->avoid_until = services_.runtime.now() + placement::kBackendAvoidanceTime;
  if (attempt.request.reads()) group.evaluator.record_outcome(*attempt.backend, true);
  if (outcome.may_have_restarted) attempt.backend->restart_detector.mark_unreachable();
  if (outcome.suspect_primary) {
    const bool is_of_no_use = outcome.counts_as_disconnect && group.primary_health.record_dropped_statement();
    services_.link.report_suspicion(group,
                                    is_of_no_use ? SuspicionKind::kUnreachable : SuspicionKind::kSilent);
  }
  log_.lost_answer(attempt, reason);
  if (outcome.retry.next != NextStep::kAnswer) return apply(outcome.retry, attempt);
  attempt.refusal = StatementRefusal{RejectionReason::kAnswerLost, kRunStep};
  Answer& answer = attempt.result.answer;
  answer = Answer{};
  answer.refusal = Refusal::kInDoubt;
  answer.detail = "the statement was sent but no answer arrived; its outcome is unknown";
  return NextStep::kAnswer;
}

NextStep StatementRunner::handle_answer(StatementAttempt& attempt, Answer answer) {
  GroupAccess& group = *attempt.request.group;
  BackendState& backend = *attempt.backend;
  const StatementRequest& request = attempt.request;
  attempt.link->record_state(answer.state);
  const bool current = services_.view.may_use_primary(group, attempt.epoch);
  if (attempt.at_primary) group.primary_health.record_answered();
  const bool failed = answer.refusal == Refusal::kFailed;
  if (request.reads() && (answer.succeeded() || failed)) group.evaluator.record_outcome(backend, failed);
  const Duration took = services_.runtime.now() - attempt.sent_at;
  if (answer.succeeded()) group.evaluator.record_latency(backend, took);
  if (answer.succeeded()) group.run_time.record(took);
  if (answer.succeeded()) services_.view.record_step(ReturnStep::kAnswer);
  const placement::AttemptFacts facts = attempt.facts(current);
  const placement::Retry retry = placement::after_answer(answer.refusal, facts);
  if (retry.next == NextStep::kAnswer) return handle_final_answer(attempt, std::move(answer));
  if (guarantees_not_run(*answer.refusal)) {
    services_.metrics.count_retry(*answer.refusal);
    apply(placement::effects_of_refusal(*answer.refusal, facts), attempt);
    attempt.reason = Reason{ReasonCode::kOverloaded, "run_statement", backend.entry.name.value,
                            refusal_name(*answer.refusal)};
  }
  if (request.opens_transaction) {
    services_.runtime.spawn("roll_back", transactions_.roll_back(attempt.pinned()));
  } else {
    backend.pool.release(attempt.link);
  }
  return apply(retry, attempt);
}

NextStep StatementRunner::handle_final_answer(StatementAttempt& attempt, Answer answer) {
  GroupAccess& group = *attempt.request.group;
  const StatementRequest& request = attempt.request;
  if (answer.succeeded() && attempt.at_primary)
    apply_primary_answer(services_, group,
                         PrimaryExchange{attempt.epoch, attempt.sent_at, request.makes_durable_changes(),
                                         attempt.shown_before},
                         answer);
  if (answer.succeeded() && !attempt.at_primary && answer.position)
    group.record_replica_answer(*attempt.backend, attempt.need, answer.position);
  if (answer.refusal) {
    attempt.reason = Reason{};
    attempt.refusal = StatementRefusal{RejectionReason::kRefusedByBackend, kRunStep};
  }
  attempt.result.served_by = attempt.at_primary ? ServedBy::kPrimary : ServedBy::kReplica;
  attempt.result.group = group.name;
  if (request.opens_transaction) {
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
