// Serves one read: tries the candidates of the decision in order within the deadline.
#pragma once

#include "declared/proxy/calls/decision_log.h"
#include "declared/proxy/statement/attempt.h"
#include "declared/proxy/statement/read_watch.h"
#include "declared/proxy/statement/retry_budget.h"

namespace cairnhollow::declared::proxy {

class ReadExecutor {
 public:
  /// All outlive the executor.
  ReadExecutor(ProxyState& state, RetryBudget& budget, DecisionLog& decisions)
      : state_(state), budget_(budget), decisions_(decisions), watch_(state.runtime, state.estimates.load) {}

  /// A read leaves no trace, so it may be tried at several backends; every refusal of it is not_run.
  Awaitable<Outcome> run(StatementCall call);

 private:
  struct Attempt {
    std::optional<Done> done;
    bool try_next = true;   ///< false: the refusal is final
    bool was_sent = false;  ///< the backend had work with it
    Reason reason;
    Duration retry_after{0};  ///< named by a busy backend or its queue
  };

  /// A decision with the view that it was made from.
  struct Chosen {
    routing::ViewPointer view;
    routing::Decision decision;
  };

  /// Chooses, and holds the read as long as the choice says so and not too many are held already.
  /// `call` outlives it.
  Awaitable<Chosen> choose(const StatementCall& call, routing::Request& request);
  /// Tries the candidates one after the other. `before` is the last attempt of an earlier choice. The
  /// arguments outlive it.
  Awaitable<Attempt> try_candidates(const StatementCall& call, const Chosen& chosen,
                                    const routing::Request& request, Attempt before);
  /// Tries one until it is done or fails for another reason than being busy, when there is no other.
  Awaitable<Attempt> try_target(const StatementCall& call, const AttemptTarget& target,
                                const routing::Request& request, bool is_last);
  /// `call` outlives the attempt. A read that is not the last one's moves on when the backend is silent; one
  /// that waits for a primary ends soon after that was replaced.
  Awaitable<Attempt> attempt(const StatementCall& call, AttemptTarget target,
                             std::optional<Position> required, bool is_last);
  Awaitable<std::unique_ptr<ConnectionLease>> acquire_for(const StatementCall& call,
                                                          const AttemptTarget& target, Reason& reason);
  Awaitable<backend::ExecuteAnswer> send_watched(const StatementCall& call, const AttemptTarget& target,
                                                 ConnectionLease& lease, backend::Requirements wanted,
                                                 bool is_last, Reason& reason);
  [[nodiscard]] backend::Requirements requirements(const StatementCall& call, const AttemptTarget& target,
                                                   std::optional<Position> required) const;
  /// What the answer means for the read.
  static Attempt judge(const AttemptTarget& target, backend::ExecuteAnswer answer, Reason reason);

  ProxyState& state_;
  RetryBudget& budget_;
  DecisionLog& decisions_;
  ReadWatch watch_;
};

}  // namespace cairnhollow::declared::proxy
