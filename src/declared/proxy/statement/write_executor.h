// Serves one write: sends it at most once, and learns its outcome from the request ledger when no answer
// came.
#pragma once

#include "declared/proxy/calls/decision_log.h"
#include "declared/proxy/statement/attempt.h"
#include "declared/proxy/statement/outcome_resolver.h"
#include "declared/proxy/statement/primary_wait.h"
#include "declared/proxy/statement/retry_budget.h"

namespace cairnhollow::declared::proxy {

class WriteExecutor {
 public:
  /// All outlive the executor.
  WriteExecutor(ProxyState& state, RetryBudget& budget, DecisionLog& decisions, OutcomeResolver& resolver)
      : state_(state), budget_(budget), decisions_(decisions), resolver_(resolver) {}

  /// As long as nothing was sent (or the backend said that it did not run it) the write is tried again
  /// within deadline and retry budget. Once sent and unanswered it is never sent again but resolved.
  Awaitable<Outcome> run(StatementCall call);

 private:
  struct Attempt {
    std::optional<Outcome> outcome;           ///< final
    std::optional<AttemptTarget> unanswered;  ///< sent there, no answer came
    PrimaryFailure failure;                   ///< else: it did not run, and may be tried again
  };

  // `call` outlives both.
  Awaitable<Attempt> attempt(const StatementCall& call);
  Awaitable<Attempt> send_to(AttemptTarget target, const StatementCall& call);
  /// What the answer means for the write.
  static Attempt judge(const AttemptTarget& target, backend::ExecuteAnswer answer, Reason reason);

  ProxyState& state_;
  RetryBudget& budget_;
  DecisionLog& decisions_;
  OutcomeResolver& resolver_;
};

/// What an answer to a write or commit means: its outcome, or empty when it gave none.
std::optional<Outcome> outcome_of_write(const AttemptTarget& target, const backend::ExecuteAnswer& answer,
                                        const Reason& reason);

}  // namespace cairnhollow::declared::proxy
