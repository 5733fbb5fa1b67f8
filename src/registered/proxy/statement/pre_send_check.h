// Checks a statement once more while it is on its way to the backend that was chosen for it, and last before
// it is sent: while it waited, its key, its proxy's lease, the primary and the backend may have changed.
#pragma once

#include <memory>

#include "registered/placement/placement.h"
#include "registered/proxy/session_services.h"
#include "registered/proxy/statement/cold_tokens.h"
#include "registered/proxy/statement/statement_attempt.h"

namespace cairnhollow::registered::proxy {

class PreSendCheck {
 public:
  explicit PreSendCheck(SessionServices services) : services_(services), cold_tokens_(services) {}

  /// After each wait on the way, all but the key; kept as the attempt's `pre_send_check`.
  bool may_go_on(StatementAttempt& attempt) const;
  /// Right before it is sent, its key as well: what runs again takes a token of its tenant.
  Awaitable<placement::SendDecision> check(std::shared_ptr<StatementAttempt> attempt) const;

 private:
  /// What may have changed while it waited for the backend, but the key.
  [[nodiscard]] placement::SendFacts send_facts(const StatementAttempt& attempt) const;
  [[nodiscard]] placement::SendDecision decide(const StatementAttempt& attempt,
                                               const placement::SendFacts& facts) const;

  SessionServices services_;
  ColdTokens cold_tokens_;
};

}  // namespace cairnhollow::registered::proxy
