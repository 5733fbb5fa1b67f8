#include "registered/proxy/statement/statement_runner.h"

#include <fmt/format.h>

#include <algorithm>

#include "registered/proxy/statement/statement_attempt.h"

namespace cairnhollow::registered::proxy {

using placement::RejectionReason;
using placement::SendAction;
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
  if (!order.allowed.is_anywhere() && is_shut_out(order)) co_return refuse_outside(std::move(order));
  std::optional<placement::Forwarding> elsewhere;
  PeersInside inside;
  if (!order.is_forwarded) elsewhere = find_elsewhere(order, inside);
  if (!elsewhere) co_return co_await run_here(std::move(order));
  services_.metrics.count_forwarded(elsewhere->since);
  std::vector<subset::ProxyPointer> proxies = *elsewhere->proxies;
  co_return co_await forward(std::move(order), std::move(proxies));
}

Awaitable<RunResult> StatementRunner::run_here(RunOrder order) {
  runtime::Runtime& runtime = services_.runtime;
  auto attempt = std::make_shared<Attempt>(std::move(order));
  attempt->refuse_at = refuse_limit(attempt->order);
  const bool writes = attempt->order.writes;
  const bool stalls = writes && attempt->order.group->primary_health.refuses_commits();
  if (placement::commit_rejection(writes, stalls) != RejectionReason::kNone)
    co_return refuse_stalled(*attempt);
  if (!attempt->order.allowed.is_anywhere()) co_await bring_position(attempt);
  Step step = Step::kNext;
  while (step != Step::kDone) {
    const bool chosen = co_await choose(attempt);
    if (!chosen) break;
    ++attempt->count;
    step = co_await try_backend(attempt);
    give_cold_token_back(*attempt);
    if (step == Step::kWait) co_await runtime.sleep_for(kBusyPause);
  }
  if (!attempt->moved_to.empty())
    co_return co_await forward(std::move(attempt->order), std::move(attempt->moved_to));
  const Answer& answer = attempt->result.answer;
  if (!answer.refusal && runtime.now() - attempt->order.arrived > kSlowStatement) log_slow(*attempt);
  if (answer.refusal) log_refusal(attempt->order, answer, attempt->reason, attempt->count, attempt->unplaced);
  attempt->result.nothing_run = !attempt->order.may_have_run;
  co_return std::move(attempt->result);
}

RunResult StatementRunner::refuse_stalled(Attempt& attempt) {
  refuse(attempt, RejectionReason::kCommitsStall, kRetryAfterWithoutPrimary);
  attempt.reason = Reason{ReasonCode::kOverloaded, "check_commits", attempt.order.group->term().primary.value,
                          "commits sent before have no answer"};
  log_refusal(attempt.order, attempt.result.answer, attempt.reason, 0, attempt.unplaced);
  attempt.result.nothing_run = !attempt.order.may_have_run;
  return std::move(attempt.result);
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

Awaitable<bool> StatementRunner::acquire_link(std::shared_ptr<Attempt> attempt) {
  const RunOrder& order = attempt->order;
  BackendUse& backend = *attempt->backend;
  std::optional<Refusal> refusal;
  const LinkDeadlines deadlines{gate_limit(*attempt), wait_limit(*attempt)};
  LinkWish wish{order.tenant, order.values};
  attempt->link = co_await backend.pool.acquire(std::move(wish), deadlines, refusal, attempt->reason);
  const bool full = !attempt->link && attempt->reason.code == ReasonCode::kOverloaded;
  record_dial(backend, attempt->link != nullptr, full || refusal);
  if (attempt->link) co_return true;
  if (!full) backend.avoid_until = services_.runtime.now() + kAvoidBackend;
  if (!full && attempt->at_primary && !refusal) {
    services_.link.report_suspicion(*order.group, SuspicionKind::kUnreachable);
    order.group->leadership.mark_primary_unreachable();
  }
  co_return false;
}

Awaitable<bool> StatementRunner::prepare_link(std::shared_ptr<Attempt> attempt) {
  if (!may_go_on(*attempt)) co_return false;
  const bool acquired = co_await acquire_link(attempt);
  if (!acquired) co_return false;
  const RunOrder& order = attempt->order;
  // What the link is brought in order by is sent there, too.
  bool ready = may_go_on(*attempt);
  const TimePoint deadline = std::min(order.deadline, services_.runtime.now() + kLinkSetupTimeout);
  if (ready)
    ready = co_await attempt->link->bring_in_order(order.values, order.prepared, deadline, attempt->reason);
  if (ready && order.opens_transaction) ready = may_go_on(*attempt);
  if (!ready) attempt->backend->pool.release(attempt->link);
  co_return ready;
}

void StatementRunner::mark_too_stale(Attempt& attempt) {
  GroupAccess& group = *attempt.order.group;
  if (!attempt.need.primary_only) return group.record_replica(*attempt.backend, attempt.need, std::nullopt);
  // A primary without what it showed before has started again.
  attempt.link->link().close();
  services_.link.report_suspicion(group, SuspicionKind::kSilent);
}

Awaitable<bool> StatementRunner::begin_transaction(std::shared_ptr<Attempt> attempt) {
  const auto required = attempt->order.group->required_of(*attempt->backend, attempt->need);
  const Begin begin{attempt->order.read_only_transaction, required};
  const TimePoint deadline = std::min(attempt->order.deadline, services_.runtime.now() + kLinkSetupTimeout);
  SendState sent = SendState::kNotSent;
  BackendRequest request = begin;
  const auto answer = co_await attempt->link->link().run(std::move(request), deadline, sent, attempt->reason);
  if (answer && answer->succeeded()) co_return true;
  if (answer) services_.metrics.count_retry(*answer->refusal);
  if (answer && *answer->refusal == Refusal::kTooStale) mark_too_stale(*attempt);
  if (answer && *answer->refusal == Refusal::kNotPrimary)
    services_.link.report_suspicion(*attempt->order.group, SuspicionKind::kSilent);
  attempt->backend->pool.release(attempt->link);
  co_return false;
}

Awaitable<StatementRunner::Step> StatementRunner::try_backend(std::shared_ptr<Attempt> attempt) {
  const std::shared_ptr<BackendUse> backend = attempt->backend;
  attempt->last_look = {};
  bool admitted = holds_cold_token(*attempt);
  if (!admitted) admitted = co_await pass_cold(attempt);
  if (!admitted) co_return Step::kNext;
  const std::uint8_t priority = urgency_of(attempt->order);
  const TimePoint begun_at = services_.runtime.now();
  const bool entered = co_await backend->gate.enter(priority, gate_limit(*attempt));
  const TimePoint entered_at = services_.runtime.now();
  attempt->at_gate += entered_at - begun_at;
  attempt->path += backend->entry.name.value + ' ';
  if (!entered) {
    attempt->reason = Reason{ReasonCode::kOverloaded, "enter_gate", backend->entry.name.value,
                             "its turn would not come in time"};
    co_return pass_over(*attempt);
  }
  bool begun = co_await prepare_link(attempt);
  attempt->at_pool += services_.runtime.now() - entered_at;
  if (begun && attempt->order.opens_transaction) begun = co_await begin_transaction(attempt);
  if (begun) attempt->last_look = co_await last_look(attempt);
  const bool may_be_sent = attempt->last_look.action == SendAction::kSend;
  if (!begun || !may_be_sent) backend->gate.leave_unanswered();
  if (!may_be_sent) co_return stop_before_sending(*attempt, begun);
  if (!begun) co_return pass_over(*attempt);
  attempt->cold_token.reset();
  auto answer = co_await exchange(attempt);
  const bool not_run = answer && answer->refusal && is_not_run(*answer->refusal);
  if (attempt->sent == SendState::kMaybeSent && !not_run) attempt->order.may_have_run = true;
  attempt->at_backend += services_.runtime.now() - attempt->sent_at;
  leave_gate(backend->gate, answer, services_.runtime.now() - attempt->sent_at);
  if (answer) co_return take_answer(*attempt, std::move(*answer));
  const Reason reason = attempt->reason;
  backend->pool.release(attempt->link);
  co_return take_loss(*attempt, reason);
}

Awaitable<std::optional<Answer>> StatementRunner::exchange(std::shared_ptr<Attempt> attempt) {
  const RunOrder& order = attempt->order;
  attempt->offered = true;
  attempt->sent_at = services_.runtime.now();
  TimePoint deadline = order.deadline;
  const bool may_go_elsewhere =
      attempt->count < kMaxAttempts - 1 && attempt->is_read() && !attempt->needs_primary;
  // Given up here and sent here again, it would only be run twice.
  if (may_go_elsewhere && order.group->standing.has_other_reader(attempt->need, *attempt->backend)) {
    const Duration target = std::chrono::milliseconds(order.route.target_latency_ms);
    const Duration patience = std::max<Duration>(target / kReadPatienceDivisor, kLeastReadPatience);
    deadline = std::min(deadline, attempt->sent_at + patience);
  }
  const bool reads = !order.opens_transaction && attempt->is_read();
  const auto required = reads ? order.group->required_of(*attempt->backend, attempt->need) : std::nullopt;
  std::optional<WorkScope> work;
  if (attempt->at_primary) {
    const bool commits = order.writes && !order.opens_transaction;
    work.emplace(order.group->primary_health,
                 PrimaryWork{attempt->link->shared_link(), attempt->sent_at, commits});
  }
  BackendRequest request = make_request(order, *attempt->link, required);
  co_return co_await attempt->link->link().run(std::move(request), deadline, attempt->sent, attempt->reason);
}

StatementRunner::Step StatementRunner::take_loss(Attempt& attempt, const Reason& reason) {
  services_.metrics.count_lost_answer();
  GroupAccess& group = *attempt.order.group;
  attempt.backend->avoid_until = services_.runtime.now() + kAvoidBackend;
  record_loss(group, *attempt.backend, attempt.epoch, reason);
  if (attempt.at_primary && group.term().epoch == attempt.epoch) {
    const bool broke_off = reason.code == ReasonCode::kConnectionLost && attempt.sent != SendState::kNotSent;
    const bool is_of_no_use = broke_off && group.primary_health.mark_broken_off();
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
  if (primary.commits) group.primary_health.record_commit_answered(primary.asked_at);
  const bool current = services_.view.may_use_primary(group, primary.epoch);
  if (current && answer.position) {
    group.positions.record(primary.asked_at, *answer.position);
    if (primary.commits) group.positions.record_acknowledged(*answer.position);
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
  attempt.link->record_state(answer.state);
  const bool current = services_.view.may_use_primary(group, attempt.epoch);
  if (attempt.at_primary) group.primary_health.record_answered();
  const auto drop = [&] {
    if (order.opens_transaction) {
      services_.runtime.spawn("roll_back", roll_back(pinned));
    } else {
      backend.pool.release(attempt.link);
    }
  };
  if (answer.succeeded()) group.standing.record_latency(backend, services_.runtime.now() - attempt.sent_at);
  if (answer.refusal && is_not_run(*answer.refusal)) {
    services_.metrics.count_retry(*answer.refusal);
    if (*answer.refusal == Refusal::kUnknownStatement) attempt.link->forget_prepared();
    if (*answer.refusal == Refusal::kNotPrimary && attempt.at_primary && current)
      services_.link.report_suspicion(group, SuspicionKind::kSilent);
    if (*answer.refusal == Refusal::kWrongBackend) attempt.link->link().close();
    if (*answer.refusal == Refusal::kTooStale) mark_too_stale(attempt);
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
    group.record_replica(backend, attempt.need, answer.position);
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

}  // namespace cairnhollow::registered::proxy
