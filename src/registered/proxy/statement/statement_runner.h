// Runs one statement, or opens one transaction, at a backend of the group or through another proxy. It
// carries out, one step a function; where a statement goes, how long it is tried and what an answer means is
// decided by the rules of placement/.
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

  /// A single statement, or with `opens_transaction` the first one of a transaction.
  Awaitable<RunResult> run(StatementRequest order);
  /// Of the transactions that it has opened.
  [[nodiscard]] PinnedTransactions& transactions() { return transactions_; }

 private:
  using Attempt = std::shared_ptr<StatementAttempt>;

  Awaitable<RunResult> forward(StatementRequest order, std::vector<subset::ProxyPointer> proxies);
  Awaitable<RunResult> run_here(StatementRequest order);
  /// False when it is refused, or passed on.
  Awaitable<bool> choose(Attempt attempt);
  Awaitable<placement::NextStep> try_backend(Attempt attempt);
  /// Takes a token where the attempt's backend is cold. False: there is none.
  Awaitable<bool> take_cold_token(Attempt attempt);
  Awaitable<bool> prepare_link(Attempt attempt);
  Awaitable<bool> acquire_link(Attempt attempt);
  Awaitable<bool> begin_transaction(Attempt attempt);
  Awaitable<std::optional<Answer>> exchange(Attempt attempt);
  /// It does not go to the backend for which it has waited.
  placement::NextStep stop_before_sending(StatementAttempt& attempt, bool begun);
  placement::NextStep take_answer(StatementAttempt& attempt, Answer answer);
  placement::NextStep take_final_answer(StatementAttempt& attempt, Answer answer);
  placement::NextStep take_loss(StatementAttempt& attempt, const Reason& reason);
  /// Does what the chosen backend's refusal tells of it.
  void apply(const placement::RefusalEffects& effects, StatementAttempt& attempt);
  /// Passes over the attempt's backend where that is asked.
  static placement::NextStep apply(const placement::Retry& retry, StatementAttempt& attempt);

  /// The attempt's answer: not run, since this stands in the way.
  static void refuse(StatementAttempt& attempt, placement::RejectionReason since, Duration retry_after);
  /// The same of a statement that is not tried at all.
  RunResult refuse_untried(StatementAttempt& attempt, placement::RejectionReason since, Duration retry_after,
                           Reason reason);
  RunResult refuse_outside(StatementRequest order);
  /// A write, while writes sent before have no answer.
  RunResult refuse_stalled(StatementAttempt& attempt);

  SessionServices services_;
  StatementPlacer placer_;
  PreSendCheck check_;
  ColdTokens cold_tokens_;
  StatementForwarding forwarding_;
  PinnedTransactions transactions_;
  StatementLog log_;
};

}  // namespace cairnhollow::registered::proxy
