// Transactions that are open: their further statements, their commit and their end, at the backend where they
// began, or through the proxy that opened them.
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

  /// A further statement of a transaction, or its commit. A missing answer leaves the link closed.
  Awaitable<Answer> run(PinnedLink pinned, StatementRequest order, bool commits, bool wrote);
  /// Ends a transaction without commit and gives the link back.
  Awaitable<void> roll_back(PinnedLink pinned);
  /// The same, unless nothing is open there any more.
  Awaitable<void> end(PinnedLink pinned);
  void give_back(const PinnedLink& pinned);
  /// Whether nothing may be sent to the transaction's backend any more since its zone is left.
  [[nodiscard]] bool is_off_limits(const PinnedLink& pinned) const {
    return pinned.backend && pinned.backend->is_off_limits(services_.runtime.now());
  }
  /// Gives the transaction up at once: a commit can't be sent any more.
  void abort(const PinnedLink& pinned);

 private:
  /// Why it may not go on, as far as this proxy knows now.
  [[nodiscard]] placement::RejectionReason rejection_of(const PinnedLink& pinned,
                                                        const StatementRequest& order,
                                                        bool commits_stall) const;
  Awaitable<Answer> forward(RemotePin remote, StatementRequest order, bool commits, bool wrote);
  Awaitable<void> end_remote(RemotePin remote);

  SessionServices services_;
  ColdTokens cold_tokens_;
  StatementLog log_;
};

}  // namespace cairnhollow::registered::proxy
