#include "session/statement_runner.h"

#include <fmt/format.h>

#include <algorithm>

#include "session/statement_attempt.h"

namespace cairnhollow::session {

using runtime::LogLevel;
using runtime::SendState;

namespace {

/// Behind the statements of open transactions, which hold connections.
std::uint8_t urgency_of(const RunOrder& order) {
  constexpr std::uint64_t kLeastUrgent = 100;
  return static_cast<std::uint8_t>(std::min(order.route.priority + 1, kLeastUrgent));
}

}  // namespace

BackendRequest StatementRunner::make_request(const RunOrder& order, const StatefulLink& link,
                                             std::optional<Position> required) const {
  if (!order.prepared) return PassOn{order.id, order.text, required};
  return Execute{order.id, link.prepared_name(*order.prepared), order.argument, required};
}

Awaitable<RunResult> StatementRunner::run(RunOrder order) {
  std::vector<routing::ProxyPointer> proxies;
  ForwardCause cause = ForwardCause::kServedElsewhere;
  if (!order.is_forwarded)
    proxies = services_.view.forward_to(order.group->group(), order.tenant, work_of(order));
  if (proxies.empty() && must_relay(order)) {
    proxies = services_.view.others();
    cause = services_.view.holds_lease_for(*order.group) ? ForwardCause::kPrimaryUnreachable
                                                         : ForwardCause::kNoLease;
  }
  if (proxies.empty() && !order.is_forwarded && order.group->is_primary_full() && needs_primary(order)) {
    // Another that serves the group may have links.
    proxies = services_.view.also_serving(order.group->group());
    cause = ForwardCause::kPrimaryFull;
  }
  if (proxies.empty()) co_return co_await run_here(std::move(order));
  services_.metrics.count_forwarded(cause);
  co_return co_await forward(std::move(order), std::move(proxies));
}

std::optional<Refusal> StatementRunner::key_fault(const RunOrder& order) const {
  const FleetView& view = services_.view;
  if (order.tenant.empty() && !view.needs_key(order.route)) return std::nullopt;
  const registry::TenantRule* tenant = view.tenants().find_by_key(order.key);
  if (tenant == nullptr || tenant->name != order.tenant) return Refusal::kUnauthorized;
  if (!view.keys_confirmed().allows(services_.runtime.now())) return Refusal::kBusy;
  return std::nullopt;
}

bool StatementRunner::must_relay(const RunOrder& order) const {
  const GroupAccess& group = *order.group;
  if (order.is_forwarded) return false;
  const bool is_unreachable = group.term().open && group.is_primary_unreachable();
  if (services_.view.holds_lease_for(group) && !is_unreachable) return false;
  return needs_primary(order);
}

bool StatementRunner::needs_primary(const RunOrder& order) {
  const bool reads = order.opens_transaction ? order.read_only_transaction : !order.writes;
  return !reads || order.group->need_of(order.route, order.committed).primary_only;
}

Awaitable<RunResult> StatementRunner::run_here(RunOrder order) {
  runtime::Runtime& runtime = services_.runtime;
  auto attempt = std::make_shared<Attempt>(std::move(order));
  attempt->refuse_at = refuse_limit(attempt->order);
  if (attempt->order.writes && attempt->order.group->refuses_commits()) co_return refuse_stalled(*attempt);
  Step step = Step::kNext;
  while (step != Step::kDone) {
    const bool worth_trying = attempt->count < kMaxAttempts && runtime.now() < attempt->order.deadline;
    std::shared_ptr<BackendUse> backend;
    if (worth_trying) backend = co_await choose(attempt);
    if (!backend) {
      give_up(*attempt);
      break;
    }
    ++attempt->count;
    step = co_await try_backend(attempt, backend);
    if (step == Step::kWait) co_await runtime.sleep_for(kBusyPause);
  }
  const Answer& answer = attempt->result.answer;
  if (!answer.refusal && runtime.now() - attempt->order.arrived > kSlowStatement) log_slow(*attempt);
  if (answer.refusal) log_refusal(attempt->order, answer, attempt->reason, attempt->count);
  attempt->result.nothing_run = !attempt->order.may_have_run;
  co_return std::move(attempt->result);
}

RunResult StatementRunner::refuse_stalled(Attempt& attempt) {
  Answer& answer = attempt.result.answer;
  answer.refusal = Refusal::kBusy;
  answer.detail = fmt::format("commits reach no replica now; come back in {} ms", in_ms(kComeBackAfter));
  attempt.reason = Reason{ReasonCode::kOverloaded, "check_commits", attempt.order.group->term().primary.value,
                          "commits sent before have no answer"};
  log_refusal(attempt.order, answer, attempt.reason, 0);
  return std::move(attempt.result);
}

Awaitable<std::shared_ptr<BackendUse>> StatementRunner::choose(std::shared_ptr<Attempt> attempt) {
  GroupAccess& group = *attempt->order.group;
  while (true) {
    attempt->needs_primary = false;
    if (attempt->is_read()) {
      attempt->need = group.need_of(attempt->order.route, attempt->order.committed);
    } else {
      attempt->need = ReadNeed{true, std::nullopt};
    }
    const bool leased = services_.view.holds_lease_for(group);
    std::shared_ptr<BackendUse> backend;
    if (leased || !attempt->need.primary_only)
      backend = group.choose_reader(attempt->need, attempt->excluded);
    const bool is_primary = backend && group.term().open && backend->entry.name == group.term().primary;
    if (backend && is_primary && !leased && attempt->need.primary_only) backend = nullptr;
    if (backend) {
      attempt->epoch = group.term().epoch;
      attempt->at_primary = is_primary;
      attempt->needs_primary = attempt->need.primary_only;
      co_return backend;
    }
    if (!is_worth_waiting(*attempt)) co_return nullptr;
    attempt->excluded.clear();
    co_await group.changed().wait_until(std::min(attempt->refuse_at, services_.runtime.now() + kBusyPause));
  }
}

bool StatementRunner::is_worth_waiting(const Attempt& attempt) const {
  if (services_.runtime.now() >= attempt.refuse_at) return false;
  const GroupAccess& group = *attempt.order.group;
  if (!services_.view.holds_lease_for(group)) return services_.view.expects_lease();
  return group.term().open || group.is_changing();
}

void StatementRunner::give_up(Attempt& attempt) {
  const registry::GroupTerm& term = attempt.order.group->term();
  const bool leased = services_.view.holds_lease_for(*attempt.order.group);
  Answer& answer = attempt.result.answer;
  answer.refusal = Refusal::kBusy;
  answer.state = TransactionState::kIdle;
  std::string why = "no backend can serve it now";
  if (!leased) why = "the serving lease has run out";
  if (leased && !term.open) why = "the group has no primary now";
  if (attempt.offered) why = "the backends are busy";
  answer.detail = fmt::format("{}; come back in {} ms", why, in_ms(kComeBackAfter));
}

TimePoint StatementRunner::wait_limit(const Attempt& attempt) const {
  if (!attempt.offered) return attempt.refuse_at;
  return std::min(attempt.order.deadline, services_.runtime.now() + kLeastReadPatience);
}

TimePoint StatementRunner::gate_limit(const Attempt& attempt) const {
  const Duration target = std::chrono::milliseconds(attempt.order.route.target_latency_ms);
  const TimePoint useful = attempt.order.arrived + target / kGatePatienceDivisor;
  return std::min(wait_limit(attempt), std::max(useful, services_.runtime.now() + kBusyPause));
}

Awaitable<bool> StatementRunner::prepare_link(std::shared_ptr<Attempt> attempt,
                                              std::shared_ptr<BackendUse> backend) {
  const RunOrder& order = attempt->order;
  std::optional<Refusal> refusal;
  const LinkDeadlines deadlines{gate_limit(*attempt), wait_limit(*attempt)};
  LinkWish wish{order.tenant, order.values};
  attempt->link = co_await backend->pool.acquire(std::move(wish), deadlines, refusal, attempt->reason);
  if (!attempt->link) {
    const bool full = attempt->reason.code == ReasonCode::kOverloaded;
    if (!full) backend->avoid_until = services_.runtime.now() + kAvoidBackend;
    if (!full && attempt->at_primary && !refusal) {
      services_.link.report_suspicion(*order.group, SuspicionKind::kUnreachable);
      order.group->note_primary_unreachable();
    }
    co_return false;
  }
  const TimePoint deadline = std::min(order.deadline, services_.runtime.now() + kLinkSetupTimeout);
  const bool ready =
      co_await attempt->link->bring_in_order(order.values, order.prepared, deadline, attempt->reason);
  if (ready) co_return true;
  backend->pool.release(attempt->link);
  co_return false;
}

Awaitable<bool> StatementRunner::begin_transaction(std::shared_ptr<Attempt> attempt) {
  Begin begin{attempt->order.read_only_transaction, std::nullopt};
  if (!attempt->need.primary_only) begin.required = attempt->need.required;
  const TimePoint deadline = std::min(attempt->order.deadline, services_.runtime.now() + kLinkSetupTimeout);
  SendState sent = SendState::kNotSent;
  BackendRequest request = begin;
  const auto answer = co_await attempt->link->link().run(std::move(request), deadline, sent, attempt->reason);
  if (answer && answer->succeeded()) co_return true;
  if (answer) services_.metrics.count_retry(*answer->refusal);
  if (answer && *answer->refusal == Refusal::kTooStale)
    attempt->order.group->note_replica(*attempt->backend, attempt->need, std::nullopt);
  if (answer && *answer->refusal == Refusal::kNotPrimary)
    services_.link.report_suspicion(*attempt->order.group, SuspicionKind::kSilent);
  attempt->backend->pool.release(attempt->link);
  co_return false;
}

Awaitable<StatementRunner::Step> StatementRunner::try_backend(std::shared_ptr<Attempt> attempt,
                                                              std::shared_ptr<BackendUse> backend) {
  attempt->backend = backend;
  GroupAccess& group = *attempt->order.group;
  const std::uint8_t priority = urgency_of(attempt->order);
  const TimePoint begun_at = services_.runtime.now();
  const bool entered = co_await backend->gate.enter(priority, gate_limit(*attempt));
  const TimePoint entered_at = services_.runtime.now();
  attempt->at_gate += entered_at - begun_at;
  attempt->path += backend->entry.name.value + ' ';
  bool begun = false;
  if (entered) begun = co_await prepare_link(attempt, backend);
  attempt->at_pool += services_.runtime.now() - entered_at;
  if (begun && attempt->order.opens_transaction) begun = co_await begin_transaction(attempt);
  if (!entered)
    attempt->reason = Reason{ReasonCode::kOverloaded, "enter_gate", backend->entry.name.value,
                             "its turn would not come in time"};
  if (!begun) {
    if (entered) backend->gate.leave_unanswered();
    if (!attempt->needs_primary) attempt->excluded.insert(backend->entry.name);
    co_return attempt->needs_primary ? Step::kWait : Step::kNext;
  }
  if (attempt->needs_primary && !services_.view.may_use_primary(group, attempt->epoch)) {
    attempt->link->link().close();
    backend->pool.release(attempt->link);
    backend->gate.leave_unanswered();
    co_return Step::kNext;
  }
  const bool may_be_sent = co_await may_send(attempt);
  if (!may_be_sent) {
    if (attempt->order.opens_transaction) attempt->link->link().close();
    backend->pool.release(attempt->link);
    backend->gate.leave_unanswered();
    co_return Step::kDone;
  }
  auto answer = co_await exchange(attempt);
  const bool not_run = answer && answer->refusal && is_not_run(*answer->refusal);
  if (attempt->sent == SendState::kMaybeSent && !not_run) attempt->order.may_have_run = true;
  attempt->at_backend += services_.runtime.now() - attempt->sent_at;
  leave_gate(backend->gate, answer, services_.runtime.now() - attempt->sent_at);
  if (!answer) {
    const Reason reason = attempt->reason;
    backend->pool.release(attempt->link);
    co_return take_loss(*attempt, reason);
  }
  co_return take_answer(*attempt, std::move(*answer));
}

Awaitable<bool> StatementRunner::may_send(std::shared_ptr<Attempt> attempt) {
  RunOrder& order = attempt->order;
  Answer& answer = attempt->result.answer;
  if (order.may_have_run && !order.tenant.empty()) {
    const AdmissionAnswer admission = co_await services_.limits.admit(order.tenant);
    if (admission.outcome != AdmissionOutcome::kAdmitted) {
      answer.refusal = Refusal::kOverLimit;
      answer.detail = "there is no token to run it once more";
      co_return false;
    }
  }
  const auto fault = key_fault(order);
  if (!fault) co_return true;
  answer.refusal = fault;
  answer.detail = "the key can't be used any more";
  co_return false;
}

Awaitable<std::optional<Answer>> StatementRunner::exchange(std::shared_ptr<Attempt> attempt) {
  const RunOrder& order = attempt->order;
  attempt->offered = true;
  attempt->sent_at = services_.runtime.now();
  TimePoint deadline = order.deadline;
  const bool may_go_elsewhere =
      attempt->count < kMaxAttempts - 1 && attempt->is_read() && !attempt->needs_primary;
  // Given up here and sent here again, it would only be run twice.
  if (may_go_elsewhere && order.group->has_other_reader(attempt->need, *attempt->backend)) {
    const Duration target = std::chrono::milliseconds(order.route.target_latency_ms);
    const Duration patience = std::max<Duration>(target / kReadPatienceDivisor, kLeastReadPatience);
    deadline = std::min(deadline, attempt->sent_at + patience);
  }
  std::optional<Position> required;
  if (!order.opens_transaction && !attempt->need.primary_only) required = attempt->need.required;
  std::optional<WorkScope> work;
  if (attempt->at_primary) {
    const bool commits = order.writes && !order.opens_transaction;
    work.emplace(*order.group, PrimaryWork{attempt->link->shared_link(), attempt->sent_at, commits});
  }
  BackendRequest request = make_request(order, *attempt->link, required);
  co_return co_await attempt->link->link().run(std::move(request), deadline, attempt->sent, attempt->reason);
}

StatementRunner::Step StatementRunner::take_loss(Attempt& attempt, const Reason& reason) {
  services_.metrics.count_lost_answer();
  GroupAccess& group = *attempt.order.group;
  attempt.backend->avoid_until = services_.runtime.now() + kAvoidBackend;
  if (attempt.at_primary && group.term().epoch == attempt.epoch) {
    const bool broke_off = reason.code == ReasonCode::kConnectionLost && attempt.sent != SendState::kNotSent;
    const bool is_of_no_use = broke_off && group.note_broken_off();
    services_.link.report_suspicion(group,
                                    is_of_no_use ? SuspicionKind::kUnreachable : SuspicionKind::kSilent);
  }
  services_.runtime.logger().log(
      LogLevel::kWarning, "answer_lost", reason,
      {{"id", attempt.order.id},
       {"backend", attempt.backend->entry.name.value},
       {"at_primary", attempt.at_primary ? "true" : "false"},
       {"epoch", std::to_string(attempt.epoch)},
       {"writes", attempt.order.writes ? "true" : "false"},
       {"waited_ms", std::to_string(in_ms(services_.runtime.now() - attempt.sent_at))}});
  const bool not_sent = attempt.sent == SendState::kNotSent;
  if (not_sent || attempt.may_run_again()) {
    if (!attempt.needs_primary) attempt.excluded.insert(attempt.backend->entry.name);
    return attempt.needs_primary ? Step::kWait : Step::kNext;
  }
  Answer& answer = attempt.result.answer;
  answer = Answer{};
  answer.refusal = Refusal::kInDoubt;
  answer.detail = "it was sent and its outcome is not known";
  return Step::kDone;
}

void StatementRunner::take_primary_answer(GroupAccess& group, PrimaryAnswer primary, Answer& answer) {
  if (primary.commits) group.note_commit_answered(primary.asked_at);
  const bool current = services_.view.may_use_primary(group, primary.epoch);
  if (current && answer.position) {
    group.note_primary_position(primary.asked_at, *answer.position);
    if (primary.commits) group.note_acknowledged(*answer.position);
    return;
  }
  if (!primary.commits) return;
  const TransactionState state = answer.state;
  answer = Answer{};
  answer.refusal = Refusal::kInDoubt;
  answer.state = state;
  answer.detail = "its primary was given up before the answer came";
}

StatementRunner::Step StatementRunner::take_answer(Attempt& attempt, Answer answer) {
  GroupAccess& group = *attempt.order.group;
  BackendUse& backend = *attempt.backend;
  const RunOrder& order = attempt.order;
  const PinnedLink pinned{attempt.backend, attempt.link, std::nullopt, attempt.epoch, attempt.at_primary};
  attempt.link->note_state(answer.state);
  const bool current = services_.view.may_use_primary(group, attempt.epoch);
  if (attempt.at_primary) group.note_primary_answered();
  const auto drop = [&] {
    if (order.opens_transaction) {
      services_.runtime.spawn("roll_back", roll_back(pinned));
    } else {
      backend.pool.release(attempt.link);
    }
  };
  if (answer.succeeded()) group.note_latency(backend, services_.runtime.now() - attempt.sent_at);
  if (answer.refusal && is_not_run(*answer.refusal)) {
    services_.metrics.count_retry(*answer.refusal);
    if (*answer.refusal == Refusal::kUnknownStatement) attempt.link->forget_prepared();
    if (*answer.refusal == Refusal::kNotPrimary && attempt.at_primary && current)
      services_.link.report_suspicion(group, SuspicionKind::kSilent);
    if (*answer.refusal == Refusal::kWrongBackend) attempt.link->link().close();
    if (*answer.refusal == Refusal::kTooStale) group.note_replica(backend, attempt.need, std::nullopt);
    attempt.reason = Reason{ReasonCode::kOverloaded, "run_statement", backend.entry.name.value,
                            refusal_name(*answer.refusal)};
    drop();
    if (!attempt.needs_primary) attempt.excluded.insert(backend.entry.name);
    return attempt.needs_primary ? Step::kWait : Step::kNext;
  }
  if (answer.refusal && *answer.refusal == Refusal::kFailed && attempt.is_read() && attempt.count < 2) {
    drop();
    attempt.excluded.insert(backend.entry.name);
    return Step::kNext;
  }
  const bool commits = order.writes && !order.opens_transaction;
  if (answer.succeeded() && attempt.at_primary)
    take_primary_answer(group, PrimaryAnswer{attempt.epoch, attempt.sent_at, commits}, answer);
  if (answer.succeeded() && !attempt.at_primary && answer.position)
    group.note_replica(backend, attempt.need, answer.position);
  attempt.result.served_by = attempt.at_primary ? ServedBy::kPrimary : ServedBy::kReplica;
  if (order.opens_transaction) {
    attempt.result.pinned = pinned;
  } else {
    if (answer.state != TransactionState::kIdle) attempt.link->link().close();
    answer.state = TransactionState::kIdle;
    backend.pool.release(attempt.link);
  }
  attempt.result.answer = std::move(answer);
  return Step::kDone;
}

}  // namespace cairnhollow::session
