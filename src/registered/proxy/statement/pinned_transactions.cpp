#include "registered/proxy/statement/pinned_transactions.h"

#include <fmt/format.h>

#include <algorithm>

#include "registered/placement/attempt_outcome.h"
#include "registered/placement/placement.h"
#include "registered/proxy/statement/placement_facts.h"
#include "registered/proxy/statement/slot_admission.h"
#include "registered/proxy/statement/statement_forwarding.h"
#include "registered/proxy/statement/statement_sending.h"

namespace cairnhollow::registered::proxy {

using placement::RejectionReason;
using runtime::SendState;

namespace {

/// The message that tells the caller why its transaction was aborted.
std::string abort_detail(RejectionReason rejection) {
  const char* why = "the transaction can't continue at its backend";
  if (rejection == RejectionReason::kCommitsStall) why = placement::rejection_text(rejection);
  if (rejection == RejectionReason::kZoneEvacuated)
    why = "the zone of the transaction's backend is evacuated";
  return fmt::format("{}; the transaction was aborted and its changes are not kept", why);
}

}  // namespace

RejectionReason PinnedTransactions::rejection_of(const PinnedLink& pinned, const StatementRequest& request,
                                                 bool commits_stall) const {
  const GroupAccess& group = *request.group;
  placement::TransactionFacts facts;
  facts.at_primary = pinned.at_primary;
  facts.read_only = request.read_only_transaction;
  facts.may_use_primary = services_.view.may_use_primary(group, pinned.epoch);
  facts.commits_stall = commits_stall;
  facts.key = key_facts(services_.view, request.route, request.key, request.tenant, services_.runtime.now());
  return placement::rejection_in_transaction(facts, group.evaluator.facts_of(*pinned.backend, {}));
}

Awaitable<Answer> PinnedTransactions::run(PinnedLink pinned, StatementContent statement, bool commits,
                                          bool wrote) {
  StatementRequest request{*pinned.scope, std::move(statement)};
  if (pinned.remote) co_return co_await forward(*pinned.remote, std::move(request), commits, wrote);
  GroupAccess& group = *request.group;
  runtime::Runtime& runtime = services_.runtime;
  Answer aborted;
  aborted.refusal = Refusal::kAborted;
  aborted.state = TransactionState::kFailed;
  aborted.detail = abort_detail(RejectionReason::kNone);
  Reason reason;
  const bool stalls = commits && wrote && pinned.at_primary && group.primary_health.refuses_commits();
  const RejectionReason rejection = rejection_of(pinned, request, stalls);
  const TimePoint setup_deadline = std::min(request.deadline, runtime.now() + kLinkSetupTimeout);
  bool ready = rejection == RejectionReason::kNone && pinned.link->link().is_open();
  if (ready)
    ready =
        co_await pinned.link->apply_session_state(request.values, request.prepared, setup_deadline, reason);
  bool entered = false;
  StatementRefusal refused{rejection, kTransactionStep};
  const scheduling::SlotRequest slot = slot_request_in_transaction(services_.view, request);
  if (ready) entered = co_await cold_tokens_.enter_gate(request.group, pinned.backend, slot, refused);
  if (entered) refused.cause = rejection_of(pinned, request, false);
  if (!entered || refused.cause != RejectionReason::kNone) {
    if (entered) pinned.backend->gate.leave_unanswered();
    pinned.link->link().close();
    aborted.detail = abort_detail(refused.cause);
    refused.step = kTransactionStep;
    if (refused.cause == RejectionReason::kNone) refused.cause = RejectionReason::kTransactionLost;
    log_.refusal(request, aborted, reason, 0, refused);
    co_return aborted;
  }
  const TimePoint sent_at = runtime.now();
  const std::optional<Position> shown_before = group.positions.highest_shown();
  SendState sent = SendState::kNotSent;
  std::optional<PrimaryWorkScope> work;
  if (pinned.at_primary)
    work.emplace(group.primary_health,
                 PendingStatement{pinned.link->shared_link(), sent_at, commits && wrote});
  BackendRequest backend_request = make_request(request, *pinned.link, std::nullopt);
  auto answer = co_await pinned.link->link().run(std::move(backend_request), request.deadline, sent, reason);
  // It is sent as soon as it is admitted.
  const Duration took = runtime.now() - sent_at;
  leave_gate(pinned.backend->gate, answer, SlotUse{slot, took, took});
  work.reset();
  const bool current = services_.view.may_use_primary(group, pinned.epoch);
  if (answer) pinned.link->record_state(answer->state);
  if (answer && pinned.at_primary) group.primary_health.record_answered();
  if (!answer) {
    services_.metrics.count_lost_answer();
    const placement::LossFacts loss{sent == SendState::kMaybeSent,
                                    reason.code == ReasonCode::kConnectionLost};
    if (placement::may_have_restarted(loss, group.epoch() == pinned.epoch))
      pinned.backend->restart_detector.mark_unreachable();
    if (pinned.at_primary && current) services_.link.report_suspicion(group, SuspicionKind::kSilent);
    const bool in_doubt = placement::is_in_doubt(commits && wrote, loss.may_have_arrived);
    if (in_doubt) aborted.refusal = Refusal::kInDoubt;
    if (in_doubt) aborted.detail = "the commit was sent but no answer arrived; its outcome is unknown";
    log_.refusal(request, aborted, reason, 1, StatementRefusal{RejectionReason::kAnswerLost, kRunStep});
    co_return aborted;
  }
  if (answer->succeeded() && pinned.at_primary)
    apply_primary_answer(services_, group,
                         PrimaryExchange{pinned.epoch, sent_at, commits && wrote, shown_before}, *answer);
  if (answer->refusal)
    log_.refusal(request, *answer, reason, 1, StatementRefusal{RejectionReason::kRefusedByBackend, kRunStep});
  co_return std::move(*answer);
}

Awaitable<Answer> PinnedTransactions::forward(RemotePin remote, StatementRequest request, bool commits,
                                              bool wrote) {
  Reason reason;
  ForwardRequest forward_request;
  forward_request.body =
      ForwardInTransaction{remote.pin, to_forwarded(request, services_.runtime.now()), commits, wrote};
  const bool was_open = remote.connection->is_open();
  const TimePoint deadline = request.deadline + kForwardSlack;
  std::optional<ForwardAnswer> answer;
  if (was_open) answer = co_await remote.connection->call(std::move(forward_request), deadline, reason);
  if (answer) co_return std::move(answer->answer);
  Answer lost;
  lost.state = TransactionState::kFailed;
  const bool in_doubt = placement::is_in_doubt(commits && wrote, was_open);
  lost.refusal = in_doubt ? Refusal::kInDoubt : Refusal::kAborted;
  lost.detail =
      in_doubt
          ? "the commit was sent but no answer arrived; its outcome is unknown"
          : "the proxy that served the transaction did not answer; the transaction's changes are not kept";
  if (was_open) services_.runtime.spawn("forward_end", end_remote(remote));
  const auto cause = was_open ? RejectionReason::kAnswerLost : RejectionReason::kTransactionLost;
  log_.refusal(request, lost, reason, 1, StatementRefusal{cause, kForwardStep});
  co_return lost;
}

Awaitable<void> PinnedTransactions::roll_back(PinnedLink pinned) {
  if (pinned.remote) {
    co_await end_remote(*pinned.remote);
    co_return;
  }
  Reason reason;
  SendState sent = SendState::kNotSent;
  const TimePoint deadline = services_.runtime.now() + kLinkSetupTimeout;
  // Closing the link makes the backend roll the transaction back.
  if (pinned.backend->is_off_limits(services_.runtime.now())) pinned.link->link().close();
  if (pinned.link->link().is_open()) {
    BackendRequest backend_request = Rollback{};
    const auto answer = co_await pinned.link->link().run(std::move(backend_request), deadline, sent, reason);
    if (!answer || answer->state != TransactionState::kIdle) pinned.link->link().close();
    pinned.link->record_state(TransactionState::kIdle);
  }
  release(pinned);
}

Awaitable<void> PinnedTransactions::end(PinnedLink pinned) {
  if (pinned.link && !pinned.link->has_open_transaction()) {
    release(pinned);
    co_return;
  }
  co_await roll_back(pinned);
}

void PinnedTransactions::release(const PinnedLink& pinned) {
  if (pinned.remote) {
    services_.runtime.spawn("forward_end", end_remote(*pinned.remote));
  } else {
    pinned.backend->pool.release(pinned.link);
  }
}

void PinnedTransactions::abort(const PinnedLink& pinned) {
  if (pinned.remote) {
    services_.runtime.spawn("forward_end", end_remote(*pinned.remote));
  } else {
    pinned.link->link().close();
  }
}

Awaitable<void> PinnedTransactions::end_remote(RemotePin remote) {
  if (!remote.connection->is_open()) co_return;
  Reason reason;
  ForwardRequest forward_request;
  forward_request.body = ForwardEnd{remote.pin};
  co_await remote.connection->call(std::move(forward_request), services_.runtime.now() + kLinkSetupTimeout,
                                   reason);
}

}  // namespace cairnhollow::registered::proxy
