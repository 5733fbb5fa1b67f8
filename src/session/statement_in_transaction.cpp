// StatementRunner's part for transactions that are open: their further statements, commit, end; and what is
// asked of a backend inside and outside of them.
#include <algorithm>

#include "session/statement_attempt.h"
#include "session/statement_runner.h"

namespace cairnhollow::session {

using runtime::SendState;

BackendRequest StatementRunner::make_request(const RunOrder& order, const StatefulLink& link,
                                             std::optional<Position> required) const {
  if (!order.prepared) return PassOn{order.id, order.text, required};
  return Execute{order.id, link.prepared_name(*order.prepared), order.argument, required};
}

Awaitable<Answer> StatementRunner::run_pinned(PinnedLink pinned, RunOrder order, bool commits, bool wrote) {
  if (pinned.remote) co_return co_await forward_pinned(*pinned.remote, std::move(order), commits, wrote);
  GroupAccess& group = *order.group;
  runtime::Runtime& runtime = services_.runtime;
  Answer aborted;
  aborted.refusal = Refusal::kAborted;
  aborted.state = TransactionState::kFailed;
  aborted.detail = "the transaction's backend was given up; nothing of it is kept";
  const auto usable = [&] {
    if (key_fault(order)) return false;
    return !pinned.at_primary || order.read_only_transaction ||
           services_.view.may_use_primary(group, pinned.epoch);
  };
  Reason reason;
  if (commits && wrote && pinned.at_primary && group.refuses_commits()) {
    pinned.link->link().close();
    aborted.detail = "commits reach no replica now; nothing of it is kept";
    log_refusal(order, aborted, reason, 0);
    co_return aborted;
  }
  const TimePoint setup_deadline = std::min(order.deadline, runtime.now() + kLinkSetupTimeout);
  bool ready = usable() && pinned.link->link().is_open();
  if (ready)
    ready = co_await pinned.link->bring_in_order(order.values, order.prepared, setup_deadline, reason);
  bool entered = false;
  if (ready) entered = co_await pinned.backend->gate.enter(backend::kUrgentClass, order.deadline);
  bool passed = entered;
  if (entered && group.is_cold(*pinned.backend))
    passed = co_await wait_for_cold_token(order.group, pinned.backend, order.deadline);
  if (!passed || !usable()) {
    if (entered) pinned.backend->gate.leave_unanswered();
    pinned.link->link().close();
    log_refusal(order, aborted, reason, 0);
    co_return aborted;
  }
  const TimePoint sent_at = runtime.now();
  SendState sent = SendState::kNotSent;
  std::optional<WorkScope> work;
  if (pinned.at_primary)
    work.emplace(group, PrimaryWork{pinned.link->shared_link(), sent_at, commits && wrote});
  BackendRequest request = make_request(order, *pinned.link, std::nullopt);
  auto answer = co_await pinned.link->link().run(std::move(request), order.deadline, sent, reason);
  leave_gate(pinned.backend->gate, answer, runtime.now() - sent_at);
  work.reset();
  const bool current = services_.view.may_use_primary(group, pinned.epoch);
  if (answer) pinned.link->note_state(answer->state);
  if (answer && pinned.at_primary) group.note_primary_answered();
  if (!answer) {
    services_.metrics.count_lost_answer();
    note_loss(group, *pinned.backend, pinned.epoch, reason);
    if (pinned.at_primary && current) services_.link.report_suspicion(group, SuspicionKind::kSilent);
    const bool in_doubt = commits && wrote && sent == SendState::kMaybeSent;
    if (in_doubt) aborted.refusal = Refusal::kInDoubt;
    if (in_doubt) aborted.detail = "the commit was sent and its outcome is not known";
    log_refusal(order, aborted, reason, 1);
    co_return aborted;
  }
  if (answer->succeeded() && pinned.at_primary)
    take_primary_answer(group, PrimaryAnswer{pinned.epoch, sent_at, commits && wrote}, *answer);
  if (answer->refusal) log_refusal(order, *answer, reason, 1);
  co_return std::move(*answer);
}

Awaitable<void> StatementRunner::roll_back(PinnedLink pinned) {
  if (pinned.remote) {
    co_await end_remote(*pinned.remote);
    co_return;
  }
  Reason reason;
  SendState sent = SendState::kNotSent;
  const TimePoint deadline = services_.runtime.now() + kLinkSetupTimeout;
  if (pinned.link->link().is_open()) {
    BackendRequest request = Rollback{};
    const auto answer = co_await pinned.link->link().run(std::move(request), deadline, sent, reason);
    if (!answer || answer->state != TransactionState::kIdle) pinned.link->link().close();
    pinned.link->note_state(TransactionState::kIdle);
  }
  give_back(pinned);
}

Awaitable<void> StatementRunner::end(PinnedLink pinned) {
  if (pinned.link && !pinned.link->has_open_transaction()) {
    give_back(pinned);
    co_return;
  }
  co_await roll_back(pinned);
}

void StatementRunner::give_back(const PinnedLink& pinned) {
  if (pinned.remote) {
    services_.runtime.spawn("forward_end", end_remote(*pinned.remote));
  } else {
    pinned.backend->pool.release(pinned.link);
  }
}

void StatementRunner::abort(const PinnedLink& pinned) {
  if (pinned.remote) {
    services_.runtime.spawn("forward_end", end_remote(*pinned.remote));
  } else {
    pinned.link->link().close();
  }
}

}  // namespace cairnhollow::session
