// Executes one read: tries the candidates of the routing decision in order within the deadline.
#pragma once

#include "declared/proxy/calls/decision_log.h"
#include "declared/proxy/statement/attempt.h"
#include "declared/proxy/statement/read_watch.h"
#include "declared/proxy/statement/retry_budget.h"

namespace cairnhollow::declared::proxy {

class ReadExecutor {
 public:
  /// All arguments must outlive the executor.
  ReadExecutor(ProxyState& state, RetryBudget& budget, DecisionLog& decisions)
      : state_(state), budget_(budget), decisions_(decisions), watch_(state.runtime, state.estimates.load) {}

  /// A read has no side effects, so it may be tried at several backends; every refusal of it is not_run.
  Awaitable<Outcome> run(StatementCall call);

 private:
  struct Attempt {
    std::optional<Done> done;
    bool try_next = true;   ///< false if the refusal is final
    bool was_sent = false;  ///< the statement was sent to the backend
    Reason reason;
    Duration retry_after{0};  ///< given by a busy backend or its admission queue
  };

  /// A decision with the view that it was based on.
  struct Choice {
    routing::ViewPointer view;
    routing::Decision decision;
  };

  /// Selects the candidates. Holds the read for as long as the decision requires, unless too many reads are
  /// already held. `call` must outlive the coroutine.
  Awaitable<Choice> choose(const StatementCall& call, routing::Request& request);
  /// Tries the candidates in order. `previous` is the last attempt of an earlier selection. The arguments
  /// must outlive the coroutine.
  Awaitable<Attempt> try_candidates(const StatementCall& call, const Choice& chosen,
                                    const routing::Request& request, Attempt previous);
  /// Tries one candidate. The last candidate is retried while it reports that it is busy, until the deadline.
  Awaitable<Attempt> try_target(const StatementCall& call, const AttemptTarget& target,
                                const routing::Request& request, bool is_last);
  /// `call` must outlive the coroutine. Unless `is_last`, the read is ended if the backend stops answering. A
  /// read at a primary ends soon after the primary is replaced.
  Awaitable<Attempt> attempt(const StatementCall& call, AttemptTarget target,
                             std::optional<Position> required, bool is_last);
  Awaitable<std::unique_ptr<ConnectionLease>> acquire_for(const StatementCall& call,
                                                          const AttemptTarget& target, Reason& reason);
  Awaitable<backend::ExecuteAnswer> send_watched(const StatementCall& call, const AttemptTarget& target,
                                                 ConnectionLease& lease, backend::Requirements wanted,
                                                 bool is_last, Reason& reason);
  [[nodiscard]] backend::Requirements requirements(const StatementCall& call, const AttemptTarget& target,
                                                   std::optional<Position> required) const;
  /// Translates the backend's answer into the result of the attempt.
  static Attempt interpret_answer(const AttemptTarget& target, backend::ExecuteAnswer answer, Reason reason);

  ProxyState& state_;
  RetryBudget& budget_;
  DecisionLog& decisions_;
  ReadWatch watch_;
};

}  // namespace cairnhollow::declared::proxy
