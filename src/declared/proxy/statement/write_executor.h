// Executes one write: it takes effect at most once, and its outcome is determined from the request ledger if
// no answer arrives.
#pragma once

#include "declared/proxy/calls/decision_log.h"
#include "declared/proxy/statement/attempt.h"
#include "declared/proxy/statement/outcome_resolver.h"
#include "declared/proxy/statement/primary_wait.h"
#include "declared/proxy/statement/retry_budget.h"

namespace cairnhollow::declared::proxy {

class WriteExecutor {
 public:
  /// All arguments must outlive the executor.
  WriteExecutor(ProxyState& state, RetryBudget& budget, DecisionLog& decisions, OutcomeResolver& resolver)
      : state_(state), budget_(budget), decisions_(decisions), resolver_(resolver) {}

  /// While nothing has been sent, or the backend reported that it did not run the write, the write is retried
  /// within the deadline and the retry budget. Once sent and unanswered it is never sent again; its outcome
  /// is resolved instead.
  Awaitable<Outcome> run(StatementCall call);

 private:
  struct Attempt {
    std::optional<Outcome> outcome;           ///< set if final
    std::optional<AttemptTarget> unanswered;  ///< set if the write was sent there and not answered
    PrimaryFailure failure;                   ///< otherwise: the write did not run and may be retried
  };

  // `call` must outlive both coroutines.
  Awaitable<Attempt> attempt(const StatementCall& call);
  Awaitable<Attempt> send_to(AttemptTarget target, const StatementCall& call);
  /// Translates the backend's answer into the result of the attempt.
  static Attempt interpret_answer(const AttemptTarget& target, backend::ExecuteAnswer answer, Reason reason);

  ProxyState& state_;
  RetryBudget& budget_;
  DecisionLog& decisions_;
  OutcomeResolver& resolver_;
};

/// Returns the outcome that an answer to a write or commit implies, or std::nullopt if it implies none.
std::optional<Outcome> outcome_of_write(const AttemptTarget& target, const backend::ExecuteAnswer& answer,
                                        const Reason& reason);

}  // namespace cairnhollow::declared::proxy
