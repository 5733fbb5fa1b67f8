// Runs further statements, commits and rollbacks of open transactions, at the backend where they were opened
// or through the proxy that opened them.
#pragma once

#include "registered/placement/rejection_reason.h"
#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/cold_tokens.h"
#include "registered/proxy/statement/statement_log.h"
#include "registered/proxy/statement/statement_request.h"

namespace cairnhollow::registered::proxy {

class PinnedTransactions {
 public:
  explicit PinnedTransactions(SessionServices services)
      : services_(services), cold_tokens_(services), log_(services) {}

  /// Runs a further statement of a transaction, or its commit, under the scope that the transaction was
  /// opened with. `wrote`: the transaction contains writes. The link is closed if no answer arrives.
  Awaitable<Answer> run(PinnedLink pinned, StatementContent statement, bool commits, bool wrote);
  /// Rolls the transaction back and returns the link to its pool. A transaction at another proxy is ended
  /// there.
  Awaitable<void> roll_back(PinnedLink pinned);
  /// Returns the link to its pool, after a rollback if the transaction is still open.
  Awaitable<void> end(PinnedLink pinned);
  /// Returns the link to its pool without a rollback. A transaction at another proxy is ended there in the
  /// background.
  void release(const PinnedLink& pinned);
  /// Whether nothing more may be sent to the transaction's backend, because its zone is evacuated and the
  /// grace period of open transactions has ended.
  [[nodiscard]] bool is_off_limits(const PinnedLink& pinned) const {
    return pinned.backend && pinned.backend->is_off_limits(services_.runtime.now());
  }
  /// Aborts the transaction immediately by closing its link; it can't be committed afterwards.
  void abort(const PinnedLink& pinned);

 private:
  /// Why the transaction may not continue, by this proxy's current state; kNone if it may.
  [[nodiscard]] placement::RejectionReason rejection_of(const PinnedLink& pinned,
                                                        const StatementRequest& request,
                                                        bool commits_stall) const;
  Awaitable<Answer> forward(RemotePin remote, StatementRequest request, bool commits, bool wrote);
  Awaitable<void> end_remote(RemotePin remote);

  SessionServices services_;
  ColdTokens cold_tokens_;
  StatementLog log_;
};

}  // namespace cairnhollow::registered::proxy
