// Runs a single statement, or the first statement of a transaction, at a backend of the group or through
// another proxy. The rules in placement/ decide where it runs, how long it is tried and what an answer means.
#pragma once

#include <memory>
#include <vector>

#include "registered/placement/attempt_outcome.h"
#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/cold_tokens.h"
#include "registered/proxy/statement/pinned_transactions.h"
#include "registered/proxy/statement/pre_send_check.h"
#include "registered/proxy/statement/statement_attempt.h"
#include "registered/proxy/statement/statement_forwarding.h"
#include "registered/proxy/statement/statement_log.h"
#include "registered/proxy/statement/statement_placer.h"
#include "registered/proxy/statement/statement_request.h"

namespace cairnhollow::registered::proxy {

class StatementRunner {
 public:
  explicit StatementRunner(SessionServices services)
      : services_(services),
        placer_(services),
        check_(services),
        cold_tokens_(services),
        forwarding_(services),
        transactions_(services),
        log_(services) {}

  /// Runs a single statement or, with `opens_transaction`, the first one of a transaction.
  Awaitable<RunResult> run(StatementRequest request);
  /// Runs and ends the transactions that run() has opened.
  [[nodiscard]] PinnedTransactions& transactions() { return transactions_; }

  /// Refuses a statement whose class this overloaded proxy does not admit.
  RunResult refuse_overloaded(StatementRequest request);

 private:
  using AttemptPointer = std::shared_ptr<StatementAttempt>;

  Awaitable<RunResult> forward(StatementRequest request, std::vector<subset::ProxyPointer> proxies);
  Awaitable<RunResult> run_here(StatementRequest request);
  /// Chooses a backend for the attempt, waiting if necessary. Returns false if it is refused or to be
  /// forwarded.
  Awaitable<bool> choose(AttemptPointer attempt);
  Awaitable<placement::NextStep> try_backend(AttemptPointer attempt);
  /// Acquires a token if the attempt's backend is cold. Returns false if none is available.
  Awaitable<bool> acquire_cold_token(AttemptPointer attempt);
  /// Waits for a slot at the attempt's backend.
  Awaitable<bool> enter_gate(AttemptPointer attempt);
  /// Waits for a slot, then acquires a link. Returns false without a slot; `has_link`: whether the link is
  /// ready, too.
  Awaitable<bool> enter_with_link(AttemptPointer attempt, bool& has_link);
  /// Handles an attempt that got no slot.
  placement::NextStep refuse_slot(StatementAttempt& attempt);
  Awaitable<bool> prepare_link(AttemptPointer attempt);
  Awaitable<bool> acquire_link(AttemptPointer attempt);
  Awaitable<bool> begin_transaction(AttemptPointer attempt);
  Awaitable<std::optional<Answer>> exchange(AttemptPointer attempt);
  /// Handles a pre-send check that did not pass. `begun`: the attempt still holds its link.
  placement::NextStep stop_before_sending(StatementAttempt& attempt, bool begun);
  placement::NextStep handle_answer(StatementAttempt& attempt, Answer answer);
  placement::NextStep handle_final_answer(StatementAttempt& attempt, Answer answer);
  placement::NextStep handle_lost_answer(StatementAttempt& attempt, const Reason& reason);
  /// Applies the effects of a refusal to the chosen backend, its link and its group.
  void apply(const placement::RefusalEffects& effects, StatementAttempt& attempt);
  /// Excludes the attempt's backend from later attempts if the retry requires it.
  static placement::NextStep apply(const placement::Retry& retry, StatementAttempt& attempt);

  /// Sets the attempt's answer to a refusal by this proxy. `retry_after`: suggested delay for the caller; 0:
  /// none.
  static void refuse(StatementAttempt& attempt, placement::RejectionReason cause, Duration retry_after);
  /// Refuses and logs a statement that was never tried.
  RunResult refuse_untried(StatementAttempt& attempt, placement::RejectionReason cause, Duration retry_after,
                           Reason reason);
  /// Refuses a statement that no backend in its permitted regions can run.
  RunResult refuse_outside_regions(StatementRequest request);
  /// Refuses a write because earlier commits have no answer.
  RunResult refuse_stalled_write(StatementAttempt& attempt);

  SessionServices services_;
  StatementPlacer placer_;
  PreSendCheck check_;
  ColdTokens cold_tokens_;
  StatementForwarding forwarding_;
  PinnedTransactions transactions_;
  StatementLog log_;
};

}  // namespace cairnhollow::registered::proxy
